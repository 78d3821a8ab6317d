//! Failure detector: whether this instance reaches no endpoint of a service.
//!
//! Designed for a partition between this instance and all endpoints, or those of one service: connections hang, are reset, or live on while new
//! ones are refused. The head of a response on a new connection proves that endpoints are reachable. One on a used
//! connection proves only that this connection lives. An endpoint that ends a connection after it has read a request proves
//! neither: a cut that ends connections refuses or loses the new ones too, and an endpoint that fails accepts them.
//! Whether the endpoints are down for everyone isn't told here: peers that are cut off themselves say so.
//! docs/design/partition.md describes the design.

mod peers;

pub use peers::PeerChoice;

use std::time::Duration;

use celerytide_types::BootTime;

/// Age up to which a failed attempt counts.
const WINDOW: Duration = Duration::from_secs(2);
/// Endpoints that have to fail; all of them if there are fewer.
const MIN_ENDPOINTS: usize = 3;
/// Attempts that have to fail.
const MIN_ATTEMPTS: usize = 3;
/// Most failed attempts that are remembered.
const MAX_ATTEMPTS: usize = 16;
/// Time for which no request is handed over after a failure of its own if a peer couldn't serve one either.
const NO_HELP_TIME: Duration = Duration::from_secs(1);

/// How an attempt failed without the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection.
    Connect,
    /// Silence after the request was written.
    Silent,
    /// The end of the connection after the request was written.
    Ended,
}

/// What is known of the way to the endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reachability {
    /// Nothing speaks against it.
    #[default]
    Open,
    /// No endpoint is reached.
    CutOff,
    /// A connection was established after a cut; no response has come on one yet.
    Trial,
}

/// A change that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// From now on no endpoint is reached, though nothing spoke against it before.
    CutOff,
    /// The first attempt after a probe failed.
    StillCutOff,
    /// From now on requests are tried here again.
    Trial,
    /// Endpoints are reached.
    Open,
}

#[derive(Debug, Clone, Copy)]
struct Failed {
    endpoint: u32,
    failure: Failure,
    at: BootTime,
}

/// Whether these are enough attempts, at enough endpoints.
fn are_many<'a>(failed: impl Iterator<Item = &'a Failed>, known: usize) -> bool {
    let mut endpoints: Vec<u32> = failed.map(|failed| failed.endpoint).collect();
    let attempts = endpoints.len();
    endpoints.sort_unstable();
    endpoints.dedup();
    attempts >= MIN_ATTEMPTS && endpoints.len() >= MIN_ENDPOINTS.min(known.max(1))
}

/// Failed attempts of late at the endpoints of one service, and what follows from them.
#[derive(Debug, Default)]
pub struct Reach {
    state: Reachability,
    failed: Vec<Failed>,
    no_help_until: Option<BootTime>,
    is_probed: bool,
    /// Which peers are asked to serve requests.
    pub peers: PeerChoice,
}

impl Reach {
    /// Whether no endpoint is reached.
    pub fn is_cut_off(&self) -> bool {
        self.state == Reachability::CutOff
    }

    /// Records the head of a response, on a new connection or a used one.
    pub fn note_heard(&mut self, is_new_connection: bool) -> Option<Change> {
        if !is_new_connection {
            self.failed.retain(|failed| failed.failure == Failure::Connect);
            return None;
        }
        self.failed.clear();
        let was = std::mem::take(&mut self.state);
        (was != Reachability::Open).then_some(Change::Open)
    }

    /// Records an attempt at an endpoint, given by the hash of its id, that failed without a response; `known` endpoints
    /// may get requests.
    pub fn note_failed(&mut self, endpoint: u32, failure: Failure, known: usize, now: BootTime) -> Option<Change> {
        self.failed.retain(|failed| now.since(failed.at) < WINDOW);
        if self.failed.len() >= MAX_ATTEMPTS {
            self.failed.remove(0);
        }
        self.failed.push(Failed {
            endpoint,
            failure,
            at: now,
        });
        let change = match self.state {
            _ if failure == Failure::Ended => return None,
            Reachability::Trial => Change::StillCutOff,
            Reachability::Open if self.is_conclusive(known) => Change::CutOff,
            Reachability::Open | Reachability::CutOff => return None,
        };
        self.state = Reachability::CutOff;
        Some(change)
    }

    fn is_conclusive(&self, known: usize) -> bool {
        let failed = self.failed.iter().filter(|failed| failed.failure != Failure::Ended);
        are_many(failed, known)
    }

    /// Whether the connections that end may be ended by a cut, which isn't sure: as many endpoints failed in a row as for a
    /// conclusion, in whatever way.
    pub fn may_be_cut_off(&self, known: usize, now: BootTime) -> bool {
        let recent = self.failed.iter().filter(|failed| now.since(failed.at) < WINDOW);
        self.is_cut_off() || are_many(recent, known)
    }

    /// Records that a connection to an endpoint was established by a probe.
    pub fn note_connected(&mut self) -> Option<Change> {
        if self.state != Reachability::CutOff {
            return None;
        }
        self.state = Reachability::Trial;
        self.failed.clear();
        Some(Change::Trial)
    }

    /// Whether a probe is to begin: none runs yet.
    pub fn begin_probe(&mut self) -> bool {
        !std::mem::replace(&mut self.is_probed, true)
    }

    /// Records that the probe has ended.
    pub fn end_probe(&mut self) {
        self.is_probed = false;
    }

    /// Records that a peer couldn't serve a request either.
    pub fn note_no_help(&mut self, now: BootTime) {
        self.no_help_until = Some(now.after(NO_HELP_TIME));
    }

    /// Whether a request that reached no endpoint may be handed over.
    pub fn may_help(&self, now: BootTime) -> bool {
        self.is_cut_off() || self.no_help_until.is_none_or(|until| until <= now)
    }
}
