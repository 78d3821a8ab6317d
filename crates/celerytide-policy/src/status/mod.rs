//! A pool's state as data, for operators and metrics.

use celerytide_types::{ClassName, EndpointId, Tier, ZoneId, data};

use crate::Refusal;

data! {
    /// What an endpoint is taken for.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum EndpointState {
        /// In cold start.
        Cold,
        /// Bears its full or growing limit.
        Warm,
        /// Slower than its kin; gets less.
        Suspect,
        /// Gets no new work.
        Closed,
    }

    /// One endpoint.
    pub struct EndpointStatus {
        /// The endpoint.
        pub id: EndpointId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// What it is taken for.
        pub state: EndpointState,
        /// Permits counted against it.
        pub in_flight: u32,
        /// Of these, permits whose connection was lost.
        pub orphans: u32,
        /// Permits that it may bear now.
        pub limit: u32,
        /// Prompt tokens being prefilled.
        pub prefill_tokens: u64,
    }

    /// Queued asks of one tier.
    pub struct TierStatus {
        /// The tier.
        pub tier: Tier,
        /// Asks that wait.
        pub queued: u64,
    }

    /// Refusals of one cause.
    pub struct RefusalCount {
        /// The cause.
        pub why: Refusal,
        /// How many.
        pub count: u64,
    }

    /// One class.
    pub struct ClassStatus {
        /// The class.
        pub name: ClassName,
        /// Its tier.
        pub tier: Tier,
        /// Asks that wait.
        pub queued: u64,
        /// Permits in flight.
        pub in_flight: u64,
        /// Grants since the pool was made.
        pub granted: u64,
        /// Refusals since the pool was made.
        pub refused: Vec<RefusalCount>,
    }

    /// The whole pool.
    pub struct PoolStatus {
        /// Queued asks, the highest tier first.
        pub tiers: Vec<TierStatus>,
        /// The classes.
        pub classes: Vec<ClassStatus>,
        /// The endpoints.
        pub endpoints: Vec<EndpointStatus>,
        /// Tokens generated a second, averaged over some seconds.
        pub tokens_per_second: f64,
        /// Requests finished a second, averaged over the last ones.
        pub drain_per_second: f64,
        /// Permits granted since the pool was made.
        pub granted: u64,
        /// Permits adopted from a former owner.
        pub adopted: u64,
        /// Permits settled.
        pub settled: u64,
        /// Orphans dropped without a settlement.
        pub released: u64,
        /// Permits counted now.
        pub in_flight: u64,
    }
}
