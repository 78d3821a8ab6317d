//! Inputs and outputs of a pool: requests for permits, grants, refusals, settlements and load reports.

use std::time::Duration;

use celerytide_types::{BootTime, ClassName, CustomerId, EndpointId, PermitId, RequestId, data};

use crate::quarantine::Content;

/// Number of a permit request, unique within one pool.
pub type PermitRequestId = u64;

/// A request for a permit to run one caller's request on an endpoint of the pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The caller's request that needs the permit.
    pub request: RequestId,
    /// Class whose queue it joins.
    pub class: ClassName,
    /// Customer that is charged for it.
    pub customer: CustomerId,
    /// Time after which it must not be granted.
    pub deadline: BootTime,
    /// Time of its arrival; the class's latency target for the first token counts from here.
    pub arrived: BootTime,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The caller's bound on the length of the response in tokens.
    pub max_tokens: Option<u32>,
    /// Hashes of the prompt's leading blocks, starting with the first block.
    pub prefix: Vec<u64>,
    /// Endpoints on which the request already failed. They are used only if no other endpoint accepts
    /// requests.
    pub avoid: Vec<EndpointId>,
    /// What it asks for; requests without it are never withheld.
    pub content: Option<Content>,
}

/// A permit for one request on one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The permit request that is granted.
    pub req: PermitRequestId,
    /// The permit, which its receiver settles exactly once.
    pub permit: PermitId,
    /// Endpoint that the caller's request is sent to.
    pub endpoint: EndpointId,
    /// Whether the endpoint is in cold start at the time of the grant.
    pub cold: bool,
}

data! {
    /// Why a permit request was refused.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// No class of that name is configured.
        UnknownClass,
        /// The queue is full.
        QueueFull,
        /// The expected wait is too long for the deadline or for the class's latency target.
        DeadlineUnreachable,
        /// The deadline passed while the request was queued.
        DeadlinePassed,
        /// No endpoint accepts requests.
        NoEndpoint,
        /// Its permit was preempted and it could not be queued again.
        Preempted,
        /// Its place in the queue went to a request of a higher tier.
        ShedForHigherTier,
        /// The process is stopping.
        Stopping,
        /// Another process owns the pool.
        NotOwner,
        /// Endpoints crashed under requests with the same content.
        CrashesEndpoints,
    }

    /// How the work under a permit ended.
    #[derive(Copy)]
    pub enum Ended {
        /// The whole response arrived.
        Whole {
            /// Length of the response in tokens.
            tokens: u32,
        },
        /// The connection was reset or the endpoint died; the endpoint counts as cold.
        Failed,
        /// Cancelled because the endpoint was too slow.
        Slow,
        /// Cancelled by the caller or by preemption.
        Cancelled,
        /// The connection was refused; the endpoint counts as cold.
        NotStarted,
        /// The endpoint broke the connection off before any of the response; the endpoint counts as cold, and the content
        /// of the request is suspected.
        BrokeOff,
    }

    /// How far the owner of a pool may rely on its own counts and view.
    #[derive(Copy)]
    pub enum Trust {
        /// It is the only owner and its view is fresh.
        Settled,
        /// It is a new owner, and a previous owner may still be granting.
        Taking {
            /// Fraction of the warm slots that may be used.
            share: f64,
        },
        /// Its view is not fresh: warm endpoints stay in use, cold ones get nothing.
        Stale,
    }

    /// Limit that a previous owner has established for a warm endpoint, sent at a planned change of owners.
    pub struct WarmLimit {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Permits that the endpoint handles at once.
        pub limit: u32,
        /// Start of its process in milliseconds since the Unix epoch, if a report contained it.
        pub started_unix_ms: Option<u64>,
    }

    /// An endpoint's report about itself. It may be old when it arrives.
    pub struct LoadReport {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait inside the endpoint.
        pub waiting: u32,
        /// Slots of the endpoint by its own account.
        pub slots: u32,
        /// Start of its process in milliseconds since the Unix epoch.
        pub started_unix_ms: u64,
        /// Time of the report in milliseconds since the Unix epoch.
        pub observed_unix_ms: u64,
        /// Whether the endpoint is cold by its own account, if it says so.
        pub cold: Option<bool>,
    }
}

/// A refused permit request.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused {
    /// The refused request.
    pub req: PermitRequestId,
    /// Why it was refused.
    pub cause: Refusal,
    /// Time after which the caller should retry, from the drain rate of the queue, with jitter.
    pub retry_after: Duration,
}

/// Result of offering a permit request to a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum Offer {
    /// The request waits in the queue.
    Queued(PermitRequestId),
    /// The request was refused at once.
    Refused(Refused),
}

impl Refusal {
    /// Returns the stable machine-readable cause that callers and metrics get.
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
            Refusal::CrashesEndpoints => "crashes-endpoints",
        }
    }
}
