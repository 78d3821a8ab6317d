//! What a pool is configured with: its endpoints, classes and customers.

use std::time::Duration;

use celerytide_types::{ClassName, CustomerId, EndpointId, Tier, ZoneId, data};

data! {
    /// One endpoint of the pool.
    pub struct EndpointPlan {
        /// The endpoint.
        pub id: EndpointId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Requests it bears at once when warm.
        pub slots: u32,
        /// Requests it bears at once when cold; at least one is assumed.
        pub cold_slots: u32,
        /// Prompt tokens it may be prefilling at once; 0 means unbounded.
        pub prefill_tokens: u32,
        /// Whether a cancelled stream can be resumed.
        pub resumes: bool,
        /// Whether it may get new work; work in flight goes on either way.
        pub open: bool,
    }

    /// One class of requests.
    pub struct ClassPlan {
        /// The class.
        pub name: ClassName,
        /// Service tier: 1 is the highest.
        pub tier: Tier,
        /// Order between classes of one tier: higher goes first.
        pub priority: u8,
        /// Target for the time to first token.
        pub first_token: Duration,
        /// Fraction of slot time that the class gets before tiers compete.
        pub guaranteed_share: f64,
        /// Whether its running work may be cancelled and resumed for a higher tier.
        pub preemptible: bool,
    }

    /// The weight of one customer; customers not listed weigh 1.
    pub struct CustomerPlan {
        /// The customer.
        pub id: CustomerId,
        /// Its weight against the other customers of a class.
        pub weight: u32,
    }

    /// The whole configuration of a pool.
    #[derive(Default)]
    pub struct PoolPlan {
        /// The endpoints.
        pub endpoints: Vec<EndpointPlan>,
        /// The classes.
        pub classes: Vec<ClassPlan>,
        /// The weights of customers.
        pub customers: Vec<CustomerPlan>,
    }
}

/// The share that a class really gets: its own, scaled down where all shares together exceed one.
pub fn effective_share(share: f64, sum: f64) -> f64 {
    let share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
    if sum > 1.0 { share / sum } else { share }
}

/// Seats of a queue of `seats` that are kept for a class with this effective share.
pub fn reserved_seats(share: f64, seats: usize) -> usize {
    (share * seats as f64).floor() as usize
}
