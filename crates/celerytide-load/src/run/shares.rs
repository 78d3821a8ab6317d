//! Smallest fraction of its guaranteed share that a waiting class got.

use std::{collections::BTreeMap, time::Duration};

use celerytide_manifest::Class;
use celerytide_types::ClassName;

use super::{SAMPLE_INTERVAL, Sample};

/// Length of the sliding window over which shares are computed.
const WINDOW: Duration = Duration::from_secs(10);

/// For each class that waited throughout some window of 10 s: the smallest ratio of its share of the grants to its
/// guaranteed share.
pub fn min_guaranteed_shares(classes: &[Class], samples: &[Sample]) -> BTreeMap<ClassName, f64> {
    let window_len = usize::try_from(WINDOW.as_millis() / SAMPLE_INTERVAL.as_millis()).unwrap_or(1) + 1;
    let mut minimums: BTreeMap<ClassName, f64> = BTreeMap::new();
    for window in samples.windows(window_len) {
        for class in classes {
            if let Some(ratio) = share_ratio(classes, class, window) {
                let entry = minimums.entry(class.name.clone()).or_insert(ratio);
                *entry = entry.min(ratio);
            }
        }
    }
    minimums
}

fn share_ratio(classes: &[Class], class: &Class, window: &[Sample]) -> Option<f64> {
    let is_waiting = |sample: &Sample| sample.classes.get(&class.name).is_some_and(|class| class.queued > 0);
    if class.guaranteed_share <= 0.0 || !window.iter().all(is_waiting) {
        return None;
    }
    let same_service = classes.iter().filter(|other| other.service == class.service);
    let all: Option<u64> = same_service.map(|other| granted_in(&other.name, window)).sum();
    let (own, all) = (granted_in(&class.name, window)? as f64, all? as f64);
    (all > 0.0).then(|| own / all / class.guaranteed_share)
}

/// Grants of a class in the window; `None` if a pool changed its owner, because the new owner counts from zero.
fn granted_in(class: &str, window: &[Sample]) -> Option<u64> {
    let count = |sample: &Sample| sample.classes.get(class).map_or(0, |class| class.granted);
    let (first, last) = (window.first()?, window.last()?);
    let is_monotonic = window.windows(2).all(|pair| count(&pair[0]) <= count(&pair[1]));
    is_monotonic.then(|| count(last) - count(first))
}
