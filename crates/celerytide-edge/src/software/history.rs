//! Which software of each service was published, and until when.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_catalog::KnownEndpoint;
use celerytide_types::{BootTime, ServiceId};

use super::{Software, software};

/// Time for which software is remembered that is gone; longer than any stream lives.
const KEEP_TIME: Duration = Duration::from_secs(120);

/// Software that this instance has seen published.
#[derive(Debug, Default)]
pub struct History {
    /// When the first endpoints were seen.
    since: Option<BootTime>,
    seen: HashMap<Software, Seen>,
}

#[derive(Debug)]
struct Seen {
    service: ServiceId,
    /// When the last endpoint with it was found removed.
    gone_at: Option<BootTime>,
}

impl History {
    /// Notes the endpoints that are known now; returns whether one has software that is new here.
    pub fn update<'a>(&mut self, endpoints: impl Iterator<Item = &'a KnownEndpoint>, now: BootTime) -> bool {
        let mut is_new = false;
        for seen in self.seen.values_mut() {
            seen.gone_at.get_or_insert(now);
        }
        for known in endpoints {
            self.since.get_or_insert(now);
            let seen = self.seen.entry(software(&known.endpoint)).or_insert_with(|| {
                is_new = true;
                Seen {
                    service: known.endpoint.service.clone(),
                    gone_at: None,
                }
            });
            seen.gone_at = None;
        }
        self.seen
            .retain(|_, seen| seen.gone_at.is_none_or(|at| now.since(at) < KEEP_TIME));
        is_new
    }

    /// Software of `services` that was published at some time within `window`.
    pub fn within(&self, services: &[ServiceId], window: Duration, now: BootTime) -> Vec<Software> {
        let is_recent = |seen: &Seen| seen.gone_at.is_none_or(|at| now.since(at) < window);
        let of_services = self.seen.iter().filter(|(_, seen)| services.contains(&seen.service));
        of_services
            .filter(|(_, seen)| is_recent(seen))
            .map(|(software, _)| *software)
            .collect()
    }

    /// Whether this instance has seen what was published for all of `window`.
    pub fn covers(&self, window: Duration, now: BootTime) -> bool {
        self.since.is_some_and(|since| now.since(since) >= window)
    }
}
