//! Serializable state of a pool for operators and metrics.

use celerytide_types::{ClassName, EndpointId, Tier, ZoneId, data};

use crate::Refusal;

data! {
    /// How a pool classifies an endpoint.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum EndpointState {
        /// In cold start, limited to its cold slots.
        Cold,
        /// Warmed up; gets its full or growing limit.
        Warm,
        /// Slower than the other endpoints of the pool; its limit is reduced.
        Suspect,
        /// Gets no new work.
        Closed,
    }

    /// State of one endpoint.
    pub struct EndpointStatus {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// How the pool classifies it.
        pub state: EndpointState,
        /// Permits counted against it.
        pub in_flight: u32,
        /// How many of these permits lost their connection.
        pub orphans: u32,
        /// Permits that it may have in flight now.
        pub limit: u32,
        /// Prompt tokens in prefill.
        pub prefill_tokens: u64,
    }

    /// Queue length of one tier.
    pub struct TierStatus {
        /// The tier.
        pub tier: Tier,
        /// Requests that wait.
        pub queued: u64,
    }

    /// Number of refusals with one cause.
    pub struct RefusalCount {
        /// Why the requests were refused.
        #[serde(rename = "why")]
        pub cause: Refusal,
        /// Number of refusals.
        pub count: u64,
    }

    /// State of one class.
    pub struct ClassStatus {
        /// Name of the class.
        pub name: ClassName,
        /// Its tier.
        pub tier: Tier,
        /// Requests that wait.
        pub queued: u64,
        /// Permits in flight.
        pub in_flight: u64,
        /// Grants since the pool was created.
        pub granted: u64,
        /// Refusals since the pool was created.
        pub refused: Vec<RefusalCount>,
    }

    /// State of the whole pool.
    pub struct PoolStatus {
        /// Queue lengths, the highest tier first.
        pub tiers: Vec<TierStatus>,
        /// All classes, also those that the current plan no longer names.
        pub classes: Vec<ClassStatus>,
        /// All endpoints, also those that the current plan no longer names.
        pub endpoints: Vec<EndpointStatus>,
        /// Generated tokens per second, averaged over several seconds.
        pub tokens_per_second: f64,
        /// Finished requests per second, averaged over the latest ones.
        pub drain_per_second: f64,
        /// Permits granted since the pool was created.
        pub granted: u64,
        /// Permits adopted from a previous owner.
        pub adopted: u64,
        /// Permits settled.
        pub settled: u64,
        /// Orphaned permits released without a settlement.
        pub released: u64,
        /// Permits in flight now.
        pub in_flight: u64,
    }
}
