//! What goes into a pool and what comes out of it.

use std::time::Duration;

use celerytide_types::{BootTime, ClassName, CustomerId, EndpointId, PermitId, RequestId, data};

/// A request in a pool's queue; unique within one pool.
pub type AskId = u64;

/// A request for a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The request that it is for.
    pub request: RequestId,
    /// Its class.
    pub class: ClassName,
    /// Whose it is.
    pub customer: CustomerId,
    /// When it must have begun at the latest.
    pub deadline: BootTime,
    /// When it arrived.
    pub arrived: BootTime,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The caller's bound on the answer's length in tokens.
    pub max_tokens: Option<u32>,
    /// Hashes of the prompt's leading blocks, the first block first.
    pub prefix: Vec<u64>,
    /// Endpoints that already failed it: used only where no other endpoint is open.
    pub avoid: Vec<EndpointId>,
}

/// A permit for one request on one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The ask that it answers.
    pub ask: AskId,
    /// The permit; to be settled exactly once.
    pub permit: PermitId,
    /// Where to send the request.
    pub endpoint: EndpointId,
    /// Whether the endpoint is in cold start.
    pub cold: bool,
}

data! {
    /// Why an ask was refused.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// No class of that name.
        UnknownClass,
        /// The queue is full.
        QueueFull,
        /// The queue in front of it is too long for its deadline.
        DeadlineUnreachable,
        /// Its deadline passed in the queue.
        DeadlinePassed,
        /// No endpoint is open.
        NoEndpoint,
        /// It was preempted and could not be queued again.
        Preempted,
        /// Its seat went to a higher tier.
        ShedForHigherTier,
        /// The process is stopping.
        Stopping,
        /// The pool is owned elsewhere.
        NotOwner,
    }

    /// How a permit ended.
    #[derive(Copy)]
    pub enum Ended {
        /// The whole answer arrived.
        Whole {
            /// Length of the answer in tokens.
            tokens: u32,
        },
        /// Reset or died: the endpoint counts as cold.
        Failed,
        /// Cancelled for being too slow.
        Slow,
        /// Cancelled by the caller or by preemption.
        Cancelled,
        /// Connection refused: the endpoint counts as cold.
        NotStarted,
    }

    /// How far the owner of a pool may trust its own view.
    #[derive(Copy)]
    pub enum Trust {
        /// The only owner, with a fresh view.
        Settled,
        /// A new owner while a former one can't be ruled out.
        Taking {
            /// Fraction of warm slots that may be used.
            share: f64,
        },
        /// No fresh view: warm endpoints go on, cold ones get nothing.
        Stale,
    }

    /// What a former owner knows an endpoint to bear; handed over when a pool changes hands by plan.
    pub struct Warmth {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Permits that it bears at once.
        pub limit: u32,
        /// When its process started, in milliseconds since the Unix epoch, if a report said so.
        pub started_unix_ms: Option<u64>,
    }

    /// An endpoint's report about itself; it lags.
    pub struct LoadReport {
        /// Requests running.
        pub running: u32,
        /// Requests waiting inside the endpoint.
        pub waiting: u32,
        /// Slots that it says it has.
        pub slots: u32,
        /// When its process started, in milliseconds since the Unix epoch.
        pub started_unix_ms: u64,
        /// When the report was made, in milliseconds since the Unix epoch.
        pub observed_unix_ms: u64,
        /// Whether it says that it is cold.
        pub cold: Option<bool>,
    }
}

/// A refused ask.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused {
    /// The ask.
    pub ask: AskId,
    /// The cause.
    pub why: Refusal,
    /// When to come back, from the queue's drain rate and jittered.
    pub retry_after: Duration,
}

/// The answer to an offered ask.
#[derive(Debug, Clone, PartialEq)]
pub enum Offer {
    /// It waits in the queue.
    Queued(AskId),
    /// It was refused at once.
    Refused(Refused),
}

impl Refusal {
    /// Stable machine-readable cause.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::UnknownClass => "unknown-class",
            Refusal::QueueFull => "queue-full",
            Refusal::DeadlineUnreachable => "deadline-unreachable",
            Refusal::DeadlinePassed => "deadline-passed",
            Refusal::NoEndpoint => "no-endpoint",
            Refusal::Preempted => "preempted",
            Refusal::ShedForHigherTier => "shed-for-higher-tier",
            Refusal::Stopping => "stopping",
            Refusal::NotOwner => "not-owner",
        }
    }
}
