//! Settings of a pool.

use std::time::Duration;

/// Order and placement without tiers, shares or ramps; for comparison only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// At once to any open endpoint.
    Random,
    /// At once to the open endpoints in turn.
    RoundRobin,
    /// At once to the open endpoint with the least work in flight.
    LeastInFlight,
    /// Queued by arrival without tiers; slots are respected.
    FirstCome,
}

/// A deliberate break of one rule, so that tests can show that the check finds it.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliberateFault {
    /// Cold endpoints are filled like warm ones.
    IgnoreCold,
    /// A full queue sheds the highest tier first.
    ShedHighest,
    /// Guaranteed shares are ignored.
    IgnoreShares,
    /// Closed endpoints get work.
    GrantClosed,
    /// A granted ask stays in the queue.
    GrantTwice,
    /// A settled permit stays in the count.
    LeakInFlight,
    /// The list of endpoints to avoid is ignored.
    IgnoreAvoid,
    /// Preemption takes any running permit.
    PreemptAny,
    /// Asks are granted after their deadline.
    GrantLate,
}

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Seed of jitter and of random placement.
    pub seed: u64,
    /// Asks that may wait in the queue, all classes together.
    pub max_queued: usize,
    /// Longest time without any sign of an endpoint before it counts as cold.
    pub silence: Duration,
    /// Longest age of a permit whose connection was lost.
    pub orphan_max_age: Duration,
    /// Bound on the lag of load reports.
    pub report_lag: Duration,
    /// Whole answers that a cold endpoint must give, per cold slot, before its limit grows.
    pub cold_successes_per_slot: u32,
    /// Shortest time that a cold start lasts, whatever the endpoint answered in it.
    pub cold_min: Duration,
    /// Pause after an endpoint's first failure; each further failed probe doubles it.
    pub backoff_floor: Duration,
    /// Longest pause between two probes of an endpoint that fails.
    pub backoff_ceiling: Duration,
    /// A first token slower than this many times the endpoint's usual one counts as a cold start.
    pub first_token_jump: f64,
    /// First tokens faster than this never count as a jump.
    pub first_token_floor: Duration,
    /// How long before its deadline an ask may preempt lower tiers.
    pub preempt_lead: Duration,
    /// Shortest time to return that a refused caller is given.
    pub retry_floor: Duration,
    /// Longest time to return that a refused caller is given.
    pub retry_ceiling: Duration,
    /// Weight of prefix locality against load; 0 places by load alone.
    pub locality_weight: f64,
    /// Weight of the prompts in prefill against the slots in use.
    pub prefill_weight: f64,
    /// Replaces the policy by a baseline.
    pub baseline: Option<Baseline>,
    /// Breaks one rule on purpose.
    #[doc(hidden)]
    pub fault: Option<DeliberateFault>,
}

impl Options {
    /// Bound on the lag of load reports, in milliseconds.
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
