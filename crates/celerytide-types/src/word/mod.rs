//! What a caller is told at the end of its request.
//!
//! There are three words and no fourth. `NotRun` is a promise about the endpoint: it may be said only if no byte
//! of the request reached it, or if the endpoint's contract says that its status means the request did not run.

use crate::data;

data! {
    /// The final word on a request.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "kebab-case")]
    pub enum ExecutionStatus {
        /// The endpoint ran the request and the whole answer was delivered.
        Done,
        /// The request did not run and will not run.
        NotRun,
        /// The request may or may not have run.
        Unknown,
    }

    /// A final word with its cause and the time to come back.
    pub struct RequestOutcome {
        /// The word.
        pub word: ExecutionStatus,
        /// Stable machine-readable cause, for example `queue-full`.
        pub cause: String,
        /// When to retry, in milliseconds from now; absent where a retry makes no sense.
        pub retry_after_ms: Option<u64>,
    }
}

impl ExecutionStatus {
    /// The word as it stands in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::Done => "done",
            ExecutionStatus::NotRun => "not-run",
            ExecutionStatus::Unknown => "unknown",
        }
    }
}
