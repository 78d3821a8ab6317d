//! Endpoints with a rate, cold or named: what binds them, and what is learned and told of it.

use std::time::Duration;

use celerytide_catalog::{Endpoint, KnownEndpoint, Service, View};
use celerytide_types::{BootTime, now_boot};
use tracing::{info, warn};

use super::Edge;
use super::pick::Shares;
use crate::peers::digest::id_hash;
use crate::protocol::Protocol;
use crate::rate_limit::{Change, LimitEntry, MIN_RATE, StatedLimit, usable_rate};

impl<P: Protocol> Edge<P> {
    /// Requests per second that the instances that hear each other send to an endpoint; `None` without a limit.
    pub(super) fn rate(&self, service: &Service, known: &KnownEndpoint, now: BootTime) -> Option<f64> {
        let cold = is_cold(service, known, now).then_some(service.cold_rate);
        let per_s = usable_rate(cold, self.named_limits.borrow().per_s(&known.endpoint))?;
        Some(per_s * self.members.borrow().rate_share(now))
    }

    /// Whether this instance may send a request now to an endpoint that gets `per_s` from those that hear each other; sets the
    /// time of its first request if they may not be all.
    pub(super) fn rate_allows(&self, endpoint: &str, per_s: f64, shares: &Shares<'_>, now: BootTime) -> bool {
        let mut limiter = self.rate_limiter.borrow_mut();
        if shares.may_be_apart && !limiter.has_begun(endpoint) {
            limiter.begin_apart(endpoint, per_s, shares.instances, now);
        }
        limiter.allows_rank(endpoint, per_s, shares.instances, shares.urgency.rank(), now)
    }

    /// Drops the turns at endpoints that are neither cold nor name a rate.
    pub(super) fn sweep_rates(&self, now: BootTime) {
        let view = self.view.borrow();
        let named = self.named_limits.borrow();
        let is_limited = |id: &str| {
            let known = view.endpoint(id);
            known.is_some_and(|known| is_in_cold_period(known, now) || named.per_s(&known.endpoint).is_some())
        };
        self.rate_limiter.borrow_mut().sweep(is_limited, now);
    }

    /// Time in which the endpoints that could get a request take one from all instances together; `None` if one of them
    /// names no rate.
    pub(super) fn limited_interval(
        &self,
        view: &View,
        service: &Service,
        tried: &[String],
        now: BootTime,
    ) -> Option<Duration> {
        let named = self.named_limits.borrow();
        let available = self.untried(view, service, tried, now).into_iter();
        let rates: Option<Vec<f64>> = available
            .map(|known| {
                named.per_s(&known.endpoint)?;
                self.rate(service, known, now)
            })
            .collect();
        let rates = rates.filter(|rates| !rates.is_empty())?;
        let per_s: f64 = rates.iter().map(|per_s| per_s.max(MIN_RATE)).sum();
        Some(Duration::from_secs_f64(1.0 / per_s))
    }

    /// Applies the rate limit that an endpoint stated in the response to a request that was sent at `sent_at`.
    pub fn apply_stated_limit(&self, endpoint: &Endpoint, stated: StatedLimit, sent_at: BootTime) {
        let now = now_boot();
        let change = self.named_limits.borrow_mut().record(endpoint, stated, sent_at, now);
        self.apply_limit_change(endpoint, change, "endpoint", now);
    }

    /// Applies the rate limits that a peer tells.
    pub fn apply_told_limits(&self, told: &[LimitEntry]) {
        let now = now_boot();
        let view = self.view.borrow();
        for known in view.endpoints() {
            let hash = id_hash(&known.endpoint.id);
            for entry in told.iter().filter(|entry| entry.endpoint == hash) {
                let change = self.named_limits.borrow_mut().learn(&known.endpoint, *entry, now);
                self.apply_limit_change(&known.endpoint, change, "peer", now);
            }
        }
    }

    fn apply_limit_change(&self, endpoint: &Endpoint, change: Option<Change>, source: &'static str, now: BootTime) {
        let (id, start) = (&endpoint.id, endpoint.start);
        match change {
            None => {}
            Some(Change::Unreadable) => warn!(endpoint = id, start, "limit: the endpoint's rate can't be read"),
            Some(Change::Limit { from, to }) => {
                let limits = self.named_limits.borrow();
                self.counters.limit_changes.inc();
                self.counters.limited_endpoints.set(limits.count() as i64);
                let version = limits.version(endpoint);
                info!(
                    endpoint = id,
                    start, from, to, source, version, "limit: the endpoint's rate changed"
                );
                if let Some(per_s) = usable_rate(None, to) {
                    let members = self.members.borrow();
                    let share = members.rate_share(now);
                    let instances = members.sharing_limits(now);
                    let mut limiter = self.rate_limiter.borrow_mut();
                    if share < 1.0 {
                        limiter.begin_apart(id, per_s * share, &instances, now);
                    } else {
                        limiter.begin(id, per_s, &instances, now);
                    }
                }
            }
        }
    }

    /// Drops the limits of endpoints that have had no record for long.
    pub(super) fn sweep_named_limits(&self, now: BootTime) {
        let view = self.view.borrow();
        let listed = |id: &str| view.endpoint(id).map(|known| &*known.endpoint);
        let mut limits = self.named_limits.borrow_mut();
        limits.sweep(listed, now);
        self.counters.limited_endpoints.set(limits.count() as i64);
    }

    /// Rate limits to tell other instances now.
    pub fn limits_to_tell(&self, now: BootTime) -> Vec<LimitEntry> {
        let view = self.view.borrow();
        let listed = |id: &str| view.endpoint(id).map(|known| &*known.endpoint);
        self.named_limits.borrow_mut().entries(listed, now)
    }
}

fn is_cold(service: &Service, known: &KnownEndpoint, now: BootTime) -> bool {
    service.cold_rate > 0.0 && is_in_cold_period(known, now)
}

fn is_in_cold_period(known: &KnownEndpoint, now: BootTime) -> bool {
    known.cold_until.is_some_and(|until| now < until)
}
