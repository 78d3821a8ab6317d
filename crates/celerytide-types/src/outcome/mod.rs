//! The outcome of a request as reported to the caller.
//!
//! There are exactly three execution statuses. [`ExecutionStatus::NotRun`] guarantees that no endpoint ran the
//! request: it may be reported only if no byte of the request reached an endpoint, or if the endpoint's contract
//! defines that its response status means that the request did not run.

use crate::data;

data! {
    /// Whether a request was run by an endpoint.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "kebab-case")]
    pub enum ExecutionStatus {
        /// The endpoint ran the request and the complete response was delivered.
        Done,
        /// The request did not run and will not run.
        NotRun,
        /// The request may or may not have run.
        Unknown,
    }

    /// Execution status of a request with its cause and the time to wait before a retry.
    pub struct RequestOutcome {
        /// Whether the request ran; `word` in JSON.
        #[serde(rename = "word")]
        pub status: ExecutionStatus,
        /// Stable machine-readable cause, for example `queue-full`.
        pub cause: String,
        /// Time after which to retry, in milliseconds; `None` if a retry is pointless.
        pub retry_after_ms: Option<u64>,
    }
}

impl ExecutionStatus {
    /// The status as written to headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::Done => "done",
            ExecutionStatus::NotRun => "not-run",
            ExecutionStatus::Unknown => "unknown",
        }
    }
}
