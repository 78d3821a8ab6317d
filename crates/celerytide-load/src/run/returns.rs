//! Refusals and returns: how soon a refusal's final answer came, and whether callers come back as one wave.

use std::{collections::BTreeMap, time::Duration};

use celerytide_manifest::Class;

use super::{Record, send::Refused};
use crate::measure::{Quantiles, histogram, record};

/// Targets for the first token that an entry waits for a permit.
const PATIENCE: u32 = 4;
/// Longest wait for a permit by an entry's default.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
const WINDOW: Duration = Duration::from_millis(100);
/// Windows before and after a peak that its mean is taken over.
const AROUND: u64 = 50;

celerytide_types::data! {
    /// All refusals of a run, those after which the caller came back included.
    #[derive(Default)]
    pub struct Refusals {
        /// From sending to the final answer, of those decided when they arrived.
        pub at_arrival: Quantiles,
        /// From the deadline to the final answer, of those decided at their deadline.
        pub at_deadline: Quantiles,
        /// Of these, answers before the deadline that this tool assumes.
        pub before_deadline: u64,
        /// Refusals whose time of decision the caller can't tell.
        pub other: u64,
        /// Returns of callers.
        pub returns: Wave,
    }

    /// Returns in windows of 100 ms.
    #[derive(Copy, Default)]
    pub struct Wave {
        /// All returns.
        pub count: u64,
        /// Most in one window.
        pub peak: u64,
        /// Mean of the windows within 5 s of that one.
        pub mean: f64,
    }
}

/// Adds up the refusals of all requests.
pub fn refusals(classes: &[Class], records: &[Record]) -> Refusals {
    let (mut at_arrival, mut at_deadline) = (histogram(), histogram());
    let mut sum = Refusals::default();
    for request in records {
        let Some(class) = classes.get(request.class) else {
            continue;
        };
        for refused in &request.refusals {
            match decided(class, refused) {
                Decided::AtArrival => record(&mut at_arrival, refused.after),
                Decided::After(wait) => {
                    sum.before_deadline += u64::from(refused.after < wait);
                    record(&mut at_deadline, refused.after.saturating_sub(wait));
                }
                Decided::Unknown => sum.other += 1,
            }
        }
    }
    let returns = records.iter().flat_map(|request| &request.refusals);
    Refusals {
        at_arrival: Quantiles::of(&at_arrival),
        at_deadline: Quantiles::of(&at_deadline),
        returns: wave(returns.filter_map(|refused| refused.returned)),
        ..sum
    }
}

enum Decided {
    AtArrival,
    After(Duration),
    Unknown,
}

fn decided(class: &Class, refused: &Refused) -> Decided {
    match refused.cause.as_str() {
        "deadline-unreachable" | "queue-full" | "no-endpoint" | "unknown-class" | "customer-limit" => {
            Decided::AtArrival
        }
        "deadline-passed" => Decided::After((class.first_token * PATIENCE).min(LONGEST_WAIT)),
        _ => Decided::Unknown,
    }
}

/// The highest window of these times, and the mean around it.
pub fn wave(times: impl Iterator<Item = Duration>) -> Wave {
    let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
    let mut count = 0;
    for at in times {
        let window = u64::try_from(at.as_millis() / WINDOW.as_millis()).unwrap_or(u64::MAX);
        *windows.entry(window).or_default() += 1;
        count += 1;
    }
    let Some((&at, &peak)) = windows.iter().max_by_key(|(_, count)| **count) else {
        return Wave::default();
    };
    let from = at.saturating_sub(AROUND);
    let to = at + AROUND;
    let near: u64 = windows.range(from..=to).map(|(_, count)| count).sum();
    Wave {
        count,
        peak,
        mean: near as f64 / (to - from + 1) as f64,
    }
}
