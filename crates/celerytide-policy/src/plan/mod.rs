//! Configuration of a pool: its endpoints, classes and customer weights.

use std::time::Duration;

use celerytide_types::{ClassName, CustomerId, EndpointId, Tier, ZoneId, data};

data! {
    /// Configuration of one endpoint of the pool.
    pub struct EndpointPlan {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Requests that it handles at once when warm.
        pub slots: u32,
        /// Requests that it handles at once when cold; 0 counts as 1.
        pub cold_slots: u32,
        /// Upper bound on the prompt tokens in prefill; 0 means unbounded.
        pub prefill_tokens: u32,
        /// Whether a cancelled stream can be resumed.
        pub resumes: bool,
        /// Whether it may get new work. Work in flight continues either way.
        pub open: bool,
    }

    /// Configuration of one class of requests.
    pub struct ClassPlan {
        /// Name of the class.
        pub name: ClassName,
        /// Service tier; 1 is the highest.
        pub tier: Tier,
        /// Order between classes of one tier; higher values are served first.
        pub priority: u8,
        /// Latency target for the time to first token.
        pub first_token: Duration,
        /// Fraction of slot time that the class gets before tiers compete.
        pub guaranteed_share: f64,
        /// Whether its running work may be cancelled for a higher tier and resumed later.
        pub preemptible: bool,
    }

    /// Weight of one customer; customers that are not listed have weight 1.
    pub struct CustomerPlan {
        /// The customer.
        pub id: CustomerId,
        /// Weight against the other customers of a class.
        pub weight: u32,
    }

    /// Complete configuration of a pool.
    #[derive(Default)]
    pub struct PoolPlan {
        /// All endpoints.
        pub endpoints: Vec<EndpointPlan>,
        /// All classes.
        pub classes: Vec<ClassPlan>,
        /// Customers with a weight of their own.
        pub customers: Vec<CustomerPlan>,
    }
}

/// Scales a guaranteed share down where `sum`, the sum of all shares, exceeds one.
pub fn effective_share(share: f64, sum: f64) -> f64 {
    let share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
    if sum > 1.0 { share / sum } else { share }
}

/// Places in a queue of `queue_capacity` that are reserved for a class with this effective share.
pub fn reserved_places(share: f64, queue_capacity: usize) -> usize {
    (share * queue_capacity as f64).floor() as usize
}
