//! What a run recorded: what callers were told, what endpoints ran, which configuration was in force where.

use std::time::Duration;

use celerytide_load::caller::CallOutcome;
use celerytide_standin::plain::Run;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed model call of so many tokens at most.
    Chat(usize),
    /// A plain call that may be repeated.
    Get,
    /// A plain call that runs at most once.
    Protected,
}

/// One request and what its caller was told.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestRecord {
    /// Its id.
    pub request_id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// Its ticket, if it is protected.
    pub ticket: Option<String>,
    /// The answer; absent if none ended within the caller's patience.
    pub outcome: Option<CallOutcome>,
    /// Whether the fault took the caller's own connection for good.
    pub connection_lost: bool,
}

/// What became of a ticket in the end, as an entry says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketOutcome {
    /// The ticket.
    pub ticket: String,
    /// `done`, `not-run` or `unknown`; absent if no entry said it in time.
    pub word: Option<String>,
}

/// A run and the plain service that recorded it.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedRun {
    /// Index of the plain service.
    pub plain: usize,
    /// The run.
    pub run: Run,
}

/// A configuration in force at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The process.
    pub process: String,
    /// Its life.
    pub incarnation: String,
    /// The version in force.
    pub version: u64,
}

/// A zone that was taken out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// Plain service of that zone.
    pub plain: usize,
    /// When the news could reach every entry.
    pub reachable_unix_ms: u64,
}

/// All that a run recorded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Every request.
    pub requests: Vec<RequestRecord>,
    /// Every ticket's end.
    pub ticket_outcomes: Vec<TicketOutcome>,
    /// Every run of the plain services.
    pub runs: Vec<RecordedRun>,
    /// Configurations in force, in the order in which they were seen.
    pub active_configs: Vec<ActiveConfig>,
    /// Version that was to be in force everywhere in the end.
    pub newest_version: u64,
    /// How long it took to be in force everywhere; absent if longer than the bound.
    pub convergence_time: Option<Duration>,
    /// A zone that was taken out.
    pub zone_evacuation: Option<ZoneEvacuation>,
    /// Times a cold engine fell over because it was given more than it bears.
    pub overloads: u64,
    /// Kinds of new requests, by entry, that were not served again in time.
    pub unserved: Vec<String>,
    /// What was still held at the end.
    pub still_held: Vec<String>,
}

impl History {
    /// Requests that bore `ticket`.
    pub fn requests_of_ticket<'a>(&'a self, ticket: &'a str) -> impl Iterator<Item = &'a RequestRecord> {
        self.requests
            .iter()
            .filter(move |s| s.ticket.as_deref() == Some(ticket))
    }

    /// Runs of requests that bore `ticket`.
    pub fn runs_of_ticket(&self, ticket: &str) -> usize {
        self.requests_of_ticket(ticket)
            .map(|s| self.runs_of(&s.request_id))
            .sum()
    }

    /// Runs of the request.
    pub fn runs_of(&self, request_id: &str) -> usize {
        self.runs.iter().filter(|r| r.run.request_id == request_id).count()
    }
}
