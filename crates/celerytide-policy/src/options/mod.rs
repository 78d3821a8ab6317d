//! Settings of a pool, and the switches that comparisons and tests use.

use std::time::Duration;

/// A scheduling order and placement without tiers, shares or cold-start ramps, for comparisons only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// Sends each request at once to a random endpoint that accepts requests.
    Random,
    /// Sends each request at once to the endpoints that accept requests, in turn.
    RoundRobin,
    /// Sends each request at once to the endpoint with the fewest permits in flight among those that accept
    /// requests.
    LeastInFlight,
    /// Queues requests in order of arrival without tiers and respects the slots of endpoints.
    FirstCome,
}

/// A deliberate violation of one rule, with which tests show that the checker detects it.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliberateFault {
    /// Cold endpoints get as much work as warm ones.
    IgnoreCold,
    /// A full queue sheds the highest tier first.
    ShedHighest,
    /// Guaranteed shares are ignored.
    IgnoreShares,
    /// Closed endpoints get work.
    GrantClosed,
    /// A granted request stays in the queue.
    GrantTwice,
    /// A settled permit stays in the count.
    LeakInFlight,
    /// The endpoints that a request avoids are ignored.
    IgnoreAvoid,
    /// Preemption takes any running permit.
    PreemptAny,
    /// Requests are granted after their deadline.
    GrantLate,
}

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Seed for jitter and random placement.
    pub seed: u64,
    /// Capacity of the queue in requests, all classes together.
    pub max_queued: usize,
    /// Longest time without activity of an endpoint before it counts as cold.
    pub silence: Duration,
    /// Age at which a permit whose connection was lost is released.
    pub orphan_max_age: Duration,
    /// Upper bound on the delay of load reports.
    pub report_lag: Duration,
    /// Whole responses per cold slot that a cold endpoint gives before its limit grows.
    pub cold_successes_per_slot: u32,
    /// Shortest duration of a cold start, whatever responses the endpoint gives meanwhile.
    pub cold_min: Duration,
    /// Backoff after an endpoint's first failure; it doubles with each further failure.
    pub backoff_floor: Duration,
    /// Longest backoff of a failing endpoint.
    pub backoff_ceiling: Duration,
    /// A first token that takes this many times the endpoint's usual time counts as a cold start.
    pub first_token_jump: f64,
    /// First tokens within this time never count as a cold start.
    pub first_token_floor: Duration,
    /// Time before its deadline from which a request may preempt lower tiers.
    pub preempt_lead: Duration,
    /// Shortest retry delay given with a refusal.
    pub retry_floor: Duration,
    /// Longest retry delay given with a refusal.
    pub retry_ceiling: Duration,
    /// Weight of prefix locality against load; 0 places by load alone.
    pub locality_weight: f64,
    /// Weight of the prompts in prefill against the slots in use.
    pub prefill_weight: f64,
    /// Baseline that replaces the policy.
    pub baseline: Option<Baseline>,
    /// Rule that is violated on purpose.
    #[doc(hidden)]
    pub fault: Option<DeliberateFault>,
}

impl Options {
    /// Upper bound on the delay of load reports, in milliseconds.
    pub(crate) fn report_lag_ms(&self) -> u64 {
        u64::try_from(self.report_lag.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for Options {
    fn default() -> Self {
        Options {
            seed: 0,
            max_queued: 4096,
            silence: Duration::from_secs(60),
            orphan_max_age: Duration::from_secs(600),
            report_lag: Duration::from_secs(10),
            cold_successes_per_slot: 2,
            cold_min: Duration::from_secs(10),
            backoff_floor: Duration::from_millis(250),
            backoff_ceiling: Duration::from_secs(5),
            first_token_jump: 6.0,
            first_token_floor: Duration::from_secs(1),
            preempt_lead: Duration::from_millis(300),
            retry_floor: Duration::from_millis(250),
            retry_ceiling: Duration::from_secs(60),
            locality_weight: 1.0,
            prefill_weight: 1.0,
            baseline: None,
            fault: None,
        }
    }
}
