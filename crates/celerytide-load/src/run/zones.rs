//! Effects of removing zones and returning them to service, derived from samples.

use std::time::Duration;

use celerytide_types::ZoneId;

use super::{RequestRecord, Sample};
use crate::{
    fleet::Deployment,
    scenario::{Action, Scenario},
};

/// Time after its removal within which a zone may still get new requests.
const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Ratio of a returned zone's requests in flight to the mean of the other zones from which it counts as fully used.
const MIN_SHARE: f64 = 0.8;

celerytide_types::data! {
    /// Removal of a zone or its return to service, with its effects.
    pub struct ZoneTransition {
        /// Zone id.
        pub zone: ZoneId,
        /// Time of the removal or return, in seconds from the start of the run.
        pub at: f64,
        /// Whether the zone was removed.
        pub out: bool,
        /// Sum of the increases of requests in flight at its engines between two samples, from 3 s after its removal until
        /// its return.
        pub new_work: u64,
        /// Time until no request was in flight, in seconds after the removal.
        pub idle_after: Option<f64>,
        /// Time until it got its share of the requests again, in seconds after its return.
        pub share_after: Option<f64>,
        /// Requests with status `unknown` or a broken response that arrived from 15 s before to 3 s after the removal or
        /// return and ended after it.
        pub cut: u64,
    }
}

/// Requests sent up to this long before a removal or return may still be in flight then.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(15);

/// Removals and returns of zones in a scenario with their effects.
pub fn zone_transitions(scenario: &Scenario, samples: &[Sample], records: &[RequestRecord]) -> Vec<ZoneTransition> {
    let all = scenario.events();
    let mut transitions = Vec::new();
    for (i, (at, action)) in all.iter().enumerate() {
        let (zone, out) = match action {
            Action::ZoneOut { zone } => (zone, true),
            Action::ZoneIn { zone } => (zone, false),
            _ => continue,
        };
        let is_same_zone =
            |other: &Action| matches!(other, Action::ZoneOut { zone: z } | Action::ZoneIn { zone: z } if z == zone);
        let until = all[i + 1..].iter().find(|(_, action)| is_same_zone(action));
        let until = until.map_or(scenario.duration(), |(at, _)| *at);
        let interval = Interval { zone, at: *at, until };
        transitions.push(ZoneTransition {
            zone: zone.clone(),
            at: at.as_secs_f64(),
            out,
            new_work: if out {
                interval.new_work(&scenario.deployment, samples)
            } else {
                0
            },
            idle_after: if out { interval.idle_after(samples) } else { None },
            share_after: if out { None } else { interval.share_after(samples) },
            cut: count_interrupted(*at, records),
        });
    }
    transitions
}

/// Time between a removal or return of a zone and its next one.
struct Interval<'a> {
    zone: &'a str,
    at: Duration,
    until: Duration,
}

impl Interval<'_> {
    fn samples<'a>(&self, samples: &'a [Sample], from: Duration) -> impl Iterator<Item = &'a Sample> {
        let until = self.until;
        samples
            .iter()
            .filter(move |sample| sample.at >= from && sample.at < until)
    }

    fn new_work(&self, deployment: &Deployment, samples: &[Sample]) -> u64 {
        let in_zone = |id: &str| {
            let index = id.rsplit_once('-').and_then(|(_, index)| index.parse().ok());
            index.is_some_and(|index: usize| deployment.zone(index) == self.zone)
        };
        let mut last: Option<&Sample> = None;
        let mut increases = 0;
        for sample in self.samples(samples, self.at + DRAIN_GRACE) {
            if let Some(last) = last {
                let before = |id: &str| last.endpoints.get(id).copied().unwrap_or(0);
                let endpoints = sample.endpoints.iter().filter(|(id, _)| in_zone(id));
                increases += endpoints.map(|(id, now)| now.saturating_sub(before(id))).sum::<u64>();
            }
            last = Some(sample);
        }
        increases
    }

    fn idle_after(&self, samples: &[Sample]) -> Option<f64> {
        let in_zone = |sample: &Sample| sample.in_flight.get(self.zone).copied().unwrap_or(0);
        let last_busy = self
            .samples(samples, self.at)
            .filter(|sample| in_zone(sample) > 0)
            .last();
        let busy_until = last_busy.map_or(self.at, |sample| sample.at);
        let idle = self
            .samples(samples, busy_until)
            .find(|sample| sample.at > busy_until || in_zone(sample) == 0)?;
        Some(idle.at.saturating_sub(self.at).as_secs_f64())
    }

    fn share_after(&self, samples: &[Sample]) -> Option<f64> {
        let has_share = |sample: &&Sample| {
            let in_zone = sample.in_flight.get(self.zone).copied().unwrap_or(0) as f64;
            let others = sample.in_flight.iter().filter(|(zone, _)| *zone != self.zone);
            let (sum, count) = others.fold((0, 0_u32), |(sum, count), (_, one)| (sum + one, count + 1));
            in_zone > 0.0 && in_zone >= MIN_SHARE * sum as f64 / f64::from(count.max(1))
        };
        let found = self.samples(samples, self.at).find(has_share)?;
        Some(found.at.saturating_sub(self.at).as_secs_f64())
    }
}

fn count_interrupted(at: Duration, records: &[RequestRecord]) -> u64 {
    let is_near = |record: &&RequestRecord| {
        record.at + MAX_REQUEST_TIME >= at && record.at <= at + DRAIN_GRACE && record.at + record.total >= at
    };
    let broken = records.iter().filter(|record| !record.done && record.word != "not-run");
    broken.filter(is_near).count() as u64
}
