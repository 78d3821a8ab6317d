//! Retry budget, shared by all instances.
//!
//! Designed for this fault: many endpoints fail at once, and each instance would send every request again. An instance
//! may retry a share of the requests that it has sent itself, plus its part of a fixed allowance for all instances. A
//! single second may use only a part of that, so that a burst of failures leaves retries for later requests.
//!
//! A process knows neither what the one before it at its address has used nor, at first, how many instances there are.
//! It has its part of the fixed allowance only once a whole window has passed since its start; until then it lives on its
//! own requests, which no other process counts. The same holds for a process that starts cut off from all others. One
//! that reaches only some of its seeds has a smaller part: the fleet may be cut in two, and each half would take all.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use celerytide_types::{BootTime, ServiceId};

/// Share of the platform's limit that is used: the limit covers all instances, and their loads differ.
const USED_SHARE: f64 = 0.75;
/// Share of the retries allowed per window that may be used within one second.
const MAX_SHARE_PER_SECOND: f64 = 0.4;
const SECOND: Duration = Duration::from_secs(1);

/// The platform's limit on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed per window in addition to the ratio, for all instances together.
    pub slack: f64,
}

/// Counts of one second.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    at: BootTime,
    requests: u32,
    retries: u32,
}

/// Requests and retries of each service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    started: BootTime,
    services: HashMap<ServiceId, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started`.
    pub fn new(limits: RetryLimits, started: BootTime) -> RetryBudget {
        RetryBudget {
            limits,
            started,
            services: HashMap::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn count_request(&mut self, service: &str, now: BootTime) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one retry if any is left; `instances` share the allowance, `None` if their number isn't known.
    pub fn take(&mut self, service: &str, instances: Option<usize>, now: BootTime) -> bool {
        let limits = self.limits;
        let sharing = instances.filter(|_| now.since(self.started) >= limits.window);
        let slack = sharing.map_or(0.0, |instances| limits.slack / instances.max(1) as f64);
        let buckets = self.buckets(service, now);
        let in_window = buckets.iter().filter(|b| now.since(b.at) < limits.window);
        let requests: u32 = in_window.map(|b| b.requests).sum();
        let retries: u32 = buckets.iter().map(|b| b.retries).sum();
        let last_second = buckets.iter().filter(|b| now.since(b.at) < SECOND);
        let last_second: u32 = last_second.map(|b| b.retries).sum();
        let allowed = USED_SHARE * (f64::from(requests) * limits.ratio + slack);
        let fits = f64::from(retries + 1) <= allowed
            && f64::from(last_second + 1) <= (allowed * MAX_SHARE_PER_SECOND).max(1.0);
        if fits {
            self.bucket(service, now).retries += 1;
        }
        fits
    }

    /// Buckets whose end is in the window; the first may have begun before it.
    fn buckets(&mut self, service: &str, now: BootTime) -> &mut VecDeque<Bucket> {
        let kept = self.limits.window + SECOND;
        let buckets = self.services.entry(service.to_owned()).or_default();
        while buckets.front().is_some_and(|b| now.since(b.at) >= kept) {
            buckets.pop_front();
        }
        buckets
    }

    fn bucket(&mut self, service: &str, now: BootTime) -> &mut Bucket {
        let buckets = self.buckets(service, now);
        let stale = buckets.back().is_none_or(|b| now.since(b.at) >= SECOND);
        if stale {
            buckets.push_back(Bucket {
                at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
