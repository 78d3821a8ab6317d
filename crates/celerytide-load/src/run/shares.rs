//! The least part of its guaranteed share that a waiting class got.

use std::{collections::BTreeMap, time::Duration};

use celerytide_manifest::Class;
use celerytide_types::ClassName;

use super::{SAMPLE_EVERY, Sample};

const WINDOW: Duration = Duration::from_secs(10);

/// For each class that waited throughout some window of 10 s: the least of its part of the grants over its guaranteed share.
pub fn least(classes: &[Class], samples: &[Sample]) -> BTreeMap<ClassName, f64> {
    let length = usize::try_from(WINDOW.as_millis() / SAMPLE_EVERY.as_millis()).unwrap_or(1) + 1;
    let mut least: BTreeMap<ClassName, f64> = BTreeMap::new();
    for window in samples.windows(length) {
        for class in classes {
            if let Some(part) = part_of(classes, class, window) {
                let entry = least.entry(class.name.clone()).or_insert(part);
                *entry = entry.min(part);
            }
        }
    }
    least
}

fn part_of(classes: &[Class], class: &Class, window: &[Sample]) -> Option<f64> {
    let waits = |sample: &Sample| sample.classes.get(&class.name).is_some_and(|class| class.queued > 0);
    if class.guaranteed_share <= 0.0 || !window.iter().all(waits) {
        return None;
    }
    let of_service = classes.iter().filter(|other| other.service == class.service);
    let all: Option<u64> = of_service.map(|other| granted(&other.name, window)).sum();
    let (own, all) = (granted(&class.name, window)? as f64, all? as f64);
    (all > 0.0).then(|| own / all / class.guaranteed_share)
}

/// Grants inside the window; `None` if a pool changed hands, which begins its counts anew.
fn granted(class: &str, window: &[Sample]) -> Option<u64> {
    let count = |sample: &Sample| sample.classes.get(class).map_or(0, |class| class.granted);
    let (first, last) = (window.first()?, window.last()?);
    let grows = window.windows(2).all(|pair| count(&pair[0]) <= count(&pair[1]));
    grows.then(|| count(last) - count(first))
}
