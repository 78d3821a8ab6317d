//! What samples tell of zones that leave and return.

use std::time::Duration;

use celerytide_types::ZoneId;

use super::{Record, Sample};
use crate::{
    fleet::Deployment,
    scenario::{Action, Scenario},
};

/// Time after which a zone that was taken out gets no new work.
const GRACE: Duration = Duration::from_secs(3);
/// Part of the other zones' mean work from which on a returned zone carries its share.
const SHARE: f64 = 0.8;

celerytide_types::data! {
    /// One move of a zone.
    pub struct ZoneMove {
        /// The zone.
        pub zone: ZoneId,
        /// When it was taken out or brought back, in seconds from the start.
        pub at: f64,
        /// Whether it was taken out.
        pub out: bool,
        /// Rises of an engine's work in it between two samples, from 3 s after it was out until its return.
        pub new_work: u64,
        /// When its last work ended, in seconds after it was out.
        pub idle_after: Option<f64>,
        /// When it carried its share, in seconds after its return.
        pub share_after: Option<f64>,
        /// Requests with an `unknown` or broken end that arrived within the longest answer before the move or the grace after it.
        pub cut: u64,
    }
}

/// Requests that began up to so long before a move may be in flight at it.
const BEFORE: Duration = Duration::from_secs(15);

/// All moves of a scenario, by what was sampled.
pub fn moves(scenario: &Scenario, samples: &[Sample], records: &[Record]) -> Vec<ZoneMove> {
    let all = scenario.events();
    let mut moves = Vec::new();
    for (i, (at, action)) in all.iter().enumerate() {
        let (zone, out) = match action {
            Action::ZoneOut { zone } => (zone, true),
            Action::ZoneIn { zone } => (zone, false),
            _ => continue,
        };
        let is_next =
            |other: &Action| matches!(other, Action::ZoneOut { zone: z } | Action::ZoneIn { zone: z } if z == zone);
        let until = all[i + 1..].iter().find(|(_, action)| is_next(action));
        let until = until.map_or(scenario.span(), |(at, _)| *at);
        let span = Span { zone, at: *at, until };
        moves.push(ZoneMove {
            zone: zone.clone(),
            at: at.as_secs_f64(),
            out,
            new_work: if out {
                span.new_work(&scenario.deployment, samples)
            } else {
                0
            },
            idle_after: if out { span.idle_after(samples) } else { None },
            share_after: if out { None } else { span.share_after(samples) },
            cut: cut(*at, records),
        });
    }
    moves
}

/// A zone between two moves.
struct Span<'a> {
    zone: &'a str,
    at: Duration,
    until: Duration,
}

impl Span<'_> {
    fn samples<'a>(&self, samples: &'a [Sample], from: Duration) -> impl Iterator<Item = &'a Sample> {
        let until = self.until;
        samples
            .iter()
            .filter(move |sample| sample.at >= from && sample.at < until)
    }

    fn new_work(&self, plan: &Deployment, samples: &[Sample]) -> u64 {
        let own = |id: &str| {
            let index = id.rsplit_once('-').and_then(|(_, index)| index.parse().ok());
            index.is_some_and(|index: usize| plan.zone(index) == self.zone)
        };
        let mut last: Option<&Sample> = None;
        let mut rises = 0;
        for sample in self.samples(samples, self.at + GRACE) {
            if let Some(last) = last {
                let before = |id: &str| last.endpoints.get(id).copied().unwrap_or(0);
                let endpoints = sample.endpoints.iter().filter(|(id, _)| own(id));
                rises += endpoints.map(|(id, now)| now.saturating_sub(before(id))).sum::<u64>();
            }
            last = Some(sample);
        }
        rises
    }

    fn idle_after(&self, samples: &[Sample]) -> Option<f64> {
        let own = |sample: &Sample| sample.in_flight.get(self.zone).copied().unwrap_or(0);
        let busy = self.samples(samples, self.at).filter(|sample| own(sample) > 0).last();
        let busy_until = busy.map_or(self.at, |sample| sample.at);
        let idle = self
            .samples(samples, busy_until)
            .find(|sample| sample.at > busy_until || own(sample) == 0)?;
        Some(idle.at.saturating_sub(self.at).as_secs_f64())
    }

    fn share_after(&self, samples: &[Sample]) -> Option<f64> {
        let carries = |sample: &&Sample| {
            let own = sample.in_flight.get(self.zone).copied().unwrap_or(0) as f64;
            let others = sample.in_flight.iter().filter(|(zone, _)| *zone != self.zone);
            let (sum, count) = others.fold((0, 0_u32), |(sum, count), (_, one)| (sum + one, count + 1));
            own > 0.0 && own >= SHARE * sum as f64 / f64::from(count.max(1))
        };
        let found = self.samples(samples, self.at).find(carries)?;
        Some(found.at.saturating_sub(self.at).as_secs_f64())
    }
}

fn cut(at: Duration, records: &[Record]) -> u64 {
    let near = |record: &&Record| record.at + BEFORE >= at && record.at <= at + GRACE && record.at + record.total >= at;
    let broken = records.iter().filter(|record| !record.done && record.word != "not-run");
    broken.filter(near).count() as u64
}
