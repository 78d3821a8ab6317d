//! What became of a request at a runner.

use std::time::Instant;

use super::runner::RunnerMode;

/// A request that a runner ran, or refused without running it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Attempt id of the request.
    pub id: String,
    /// Time at which the whole request had been read.
    pub at: Instant,
    /// Whether the runner ran it.
    pub ran: bool,
    /// Mode in which the runner responded.
    pub mode: RunnerMode,
    /// Rate limit that responses with a head of the runner named then.
    pub limit: Option<&'static str>,
    /// Milliseconds that the request says are left for it, as written; empty without.
    pub deadline_ms: String,
    /// When the runner had ended its work on it; `None` while it still works.
    pub ended: Option<Instant>,
    /// Number of its connection, counted from zero as they were accepted.
    pub connection: usize,
}
