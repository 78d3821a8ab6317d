//! Repeats of requests, bounded over all instances.
//!
//! Answers this load: many endpoints fail at once, and each instance would send everything again. A share of the
//! requests that this instance has itself seen may be repeated, and its part of a fixed allowance. Not more than a part
//! of that in one second, so that a burst of failures leaves something for those after it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use celerytide_types::{BootTime, ServiceId};

/// Part of the platform's bound that is used: the bound is over all instances, whose loads differ.
const USED: f64 = 0.75;
/// Part of the allowance that one second may take.
const PER_SECOND: f64 = 0.4;
const SECOND: Duration = Duration::from_secs(1);

/// The platform's bound on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Repeats for each request.
    pub ratio: f64,
    /// Time over which both are counted.
    pub window: Duration,
    /// Repeats in a window beyond the ratio, of all instances together.
    pub slack: f64,
}

/// Counts of one second.
#[derive(Debug, Clone, Copy)]
struct Tick {
    at: BootTime,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of each service.
#[derive(Debug)]
pub struct Budget {
    opts: Options,
    services: HashMap<ServiceId, VecDeque<Tick>>,
}

impl Budget {
    /// A budget without any requests yet.
    pub fn new(opts: Options) -> Budget {
        Budget {
            opts,
            services: HashMap::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn note_request(&mut self, service: &str, now: BootTime) {
        self.tick(service, now).requests += 1;
    }

    /// Takes one repeat if there is one left, with `instances` sharing the allowance.
    pub fn take(&mut self, service: &str, instances: usize, now: BootTime) -> bool {
        let opts = self.opts;
        let ticks = self.services.entry(service.to_owned()).or_default();
        while ticks.front().is_some_and(|t| now.since(t.at) >= opts.window) {
            ticks.pop_front();
        }
        let requests: u32 = ticks.iter().map(|t| t.requests).sum();
        let repeats: u32 = ticks.iter().map(|t| t.repeats).sum();
        let latest = ticks.iter().filter(|t| now.since(t.at) < SECOND);
        let latest: u32 = latest.map(|t| t.repeats).sum();
        let allowed = USED * (f64::from(requests) * opts.ratio + opts.slack / instances.max(1) as f64);
        let fits = f64::from(repeats + 1) <= allowed && f64::from(latest + 1) <= (allowed * PER_SECOND).max(1.0);
        if fits {
            self.tick(service, now).repeats += 1;
        }
        fits
    }

    fn tick(&mut self, service: &str, now: BootTime) -> &mut Tick {
        let ticks = self.services.entry(service.to_owned()).or_default();
        while ticks.front().is_some_and(|t| now.since(t.at) >= self.opts.window) {
            ticks.pop_front();
        }
        let stale = ticks.back().is_none_or(|t| now.since(t.at) >= SECOND);
        if stale {
            ticks.push_back(Tick {
                at: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = ticks.len() - 1;
        &mut ticks[last]
    }
}
