//! Record of a run: outcomes that callers saw, runs on endpoints, and the configuration active in each process.

use std::time::Duration;

use celerytide_load::caller::CallOutcome;
use celerytide_standin::plain::Run;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed model call with this maximum number of tokens.
    Chat(usize),
    /// A plain call that may be repeated.
    Get,
    /// A plain call that runs at most once.
    Protected,
}

/// A request and the outcome that its caller saw.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestRecord {
    /// Request id, unique within the run.
    pub request_id: String,
    /// What was called.
    pub kind: RequestKind,
    /// Ticket of an at-most-once call.
    pub ticket: Option<String>,
    /// Outcome; `None` if the request did not end within the caller's timeout.
    pub outcome: Option<CallOutcome>,
    /// Whether the fault silenced the caller's own connection for good, so that no outcome can be expected.
    pub connection_lost: bool,
}

/// Final execution status of a ticket, as reported by an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketOutcome {
    /// The ticket as issued by an entry.
    pub ticket: String,
    /// `done`, `not-run` or `unknown`; `None` if no entry reported one in time.
    pub word: Option<String>,
}

/// A run, with the plain service that recorded it.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedRun {
    /// Index of the plain service in the cluster.
    pub plain: usize,
    /// The run as the service recorded it.
    pub run: Run,
}

/// Configuration version that was active in a process at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveConfig {
    /// Daemon and its index.
    pub process: String,
    /// Incarnation of the process; it changes with each start.
    pub incarnation: String,
    /// Active version.
    pub version: u64,
}

/// An availability zone that was taken out of service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// Index of the plain service in that zone.
    pub plain: usize,
    /// Unix time in milliseconds from which every entry was able to learn of the change.
    pub reachable_unix_ms: u64,
}

/// Everything that a run recorded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// All requests of the run.
    pub requests: Vec<RequestRecord>,
    /// Final execution statuses of all tickets.
    pub ticket_outcomes: Vec<TicketOutcome>,
    /// Every run of the plain services.
    pub runs: Vec<RecordedRun>,
    /// Active configuration versions, in the order of observation.
    pub active_configs: Vec<ActiveConfig>,
    /// Version that has to be active everywhere at the end.
    pub newest_version: u64,
    /// Time until the newest version was active everywhere; `None` if it exceeded the timeout.
    pub convergence_time: Option<Duration>,
    /// An availability zone that was taken out of service.
    pub zone_evacuation: Option<ZoneEvacuation>,
    /// Number of times that a cold engine was given more work than its cold slots.
    pub overloads: u64,
    /// Kinds of new requests, with the entry, that were not served again in time.
    pub unserved: Vec<String>,
    /// Permits, queued requests and running work that were still counted at the end.
    pub still_held: Vec<String>,
}

impl History {
    /// Requests that carried `ticket`.
    pub fn requests_of_ticket<'a>(&'a self, ticket: &'a str) -> impl Iterator<Item = &'a RequestRecord> {
        self.requests
            .iter()
            .filter(move |s| s.ticket.as_deref() == Some(ticket))
    }

    /// Number of recorded runs of requests that carried `ticket`.
    pub fn runs_of_ticket(&self, ticket: &str) -> usize {
        self.requests_of_ticket(ticket)
            .map(|s| self.runs_of(&s.request_id))
            .sum()
    }

    /// Number of recorded runs of the request.
    pub fn runs_of(&self, request_id: &str) -> usize {
        self.runs.iter().filter(|r| r.run.request_id == request_id).count()
    }
}
