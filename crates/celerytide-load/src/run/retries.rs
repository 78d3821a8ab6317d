//! Statistics of refusals: how soon the refusal reached the caller, and whether the retries come in one burst.

use std::{collections::BTreeMap, time::Duration};

use celerytide_manifest::Class;

use super::{RequestRecord, send::Refusal};
use crate::histogram::{Quantiles, new_histogram, record_latency};

/// Multiple of the first-token target for which an entry waits for a permit.
const PERMIT_WAIT_FACTOR: u32 = 4;
/// Longest wait for a permit with an entry's default settings.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(30);
const WINDOW: Duration = Duration::from_millis(100);
/// Number of windows before and after the peak over which the mean is taken.
const MEAN_RADIUS_WINDOWS: u64 = 50;

celerytide_types::data! {
    /// All refusals of a run, including those that were retried.
    #[derive(Default)]
    pub struct RefusalStats {
        /// Time from sending to the response, of requests refused at arrival.
        pub at_arrival: Quantiles,
        /// Time from the deadline to the response, of requests refused at their deadline.
        pub at_deadline: Quantiles,
        /// Number of these whose response came before the deadline that this tool assumes.
        pub before_deadline: u64,
        /// Refusals whose decision time can't be derived from their cause.
        pub other: u64,
        /// Retries of callers.
        pub returns: RetryPeak,
    }

    /// Number of retries, and their peak in windows of 100 ms.
    #[derive(Copy, Default)]
    pub struct RetryPeak {
        /// Number of retries.
        pub count: u64,
        /// Largest number in one window.
        pub peak: u64,
        /// Mean number per window within 5 s of the peak.
        pub mean: f64,
    }
}

/// Computes the refusal statistics of all requests.
pub fn refusal_stats(classes: &[Class], records: &[RequestRecord]) -> RefusalStats {
    let (mut at_arrival, mut at_deadline) = (new_histogram(), new_histogram());
    let mut stats = RefusalStats::default();
    for record in records {
        let Some(class) = classes.get(record.class) else {
            continue;
        };
        for refusal in &record.refusals {
            match decision_time(class, refusal) {
                DecisionTime::AtArrival => record_latency(&mut at_arrival, refusal.after),
                DecisionTime::AtDeadline(wait) => {
                    stats.before_deadline += u64::from(refusal.after < wait);
                    record_latency(&mut at_deadline, refusal.after.saturating_sub(wait));
                }
                DecisionTime::Unknown => stats.other += 1,
            }
        }
    }
    let retries = records.iter().flat_map(|record| &record.refusals);
    RefusalStats {
        at_arrival: Quantiles::of(&at_arrival),
        at_deadline: Quantiles::of(&at_deadline),
        returns: retry_peak(retries.filter_map(|refusal| refusal.returned)),
        ..stats
    }
}

/// When the system refused a request, derived from the cause.
enum DecisionTime {
    AtArrival,
    /// At the deadline, this long after the request was sent.
    AtDeadline(Duration),
    Unknown,
}

fn decision_time(class: &Class, refusal: &Refusal) -> DecisionTime {
    match refusal.cause.as_str() {
        "deadline-unreachable" | "queue-full" | "no-endpoint" | "unknown-class" | "customer-limit" => {
            DecisionTime::AtArrival
        }
        "deadline-passed" => DecisionTime::AtDeadline((class.first_token * PERMIT_WAIT_FACTOR).min(MAX_PERMIT_WAIT)),
        _ => DecisionTime::Unknown,
    }
}

/// Finds the window with the most retries, and the mean around it.
pub fn retry_peak(times: impl Iterator<Item = Duration>) -> RetryPeak {
    let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
    let mut count = 0;
    for at in times {
        let window = u64::try_from(at.as_millis() / WINDOW.as_millis()).unwrap_or(u64::MAX);
        *windows.entry(window).or_default() += 1;
        count += 1;
    }
    let Some((&at, &peak)) = windows.iter().max_by_key(|(_, count)| **count) else {
        return RetryPeak::default();
    };
    let first = at.saturating_sub(MEAN_RADIUS_WINDOWS);
    let last = at + MEAN_RADIUS_WINDOWS;
    let nearby: u64 = windows.range(first..=last).map(|(_, count)| count).sum();
    RetryPeak {
        count,
        peak,
        mean: nearby as f64 / (last - first + 1) as f64,
    }
}
