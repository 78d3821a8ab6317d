//! Endpoints with a rejection limit: what may be sent to them, and what is learned and told of them.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_catalog::{Endpoint, KnownEndpoint, Service, View};
use celerytide_types::{BootTime, EndpointId, now_boot};
use tracing::{info, warn};

use super::{BY_SELF, Edge, Placement};
use crate::coordinator::Rooms as EngineRooms;
use crate::coordinator::messages::{IdHash, Sign};
use crate::peers::digest::id_hash;
use crate::peers::{Instances, is_large};
use crate::protocol::{Prompt, Protocol};
use crate::rate_limit::{Change, LimitEntry, StatedLimit};
use crate::rejections::{Fleet, FullEndpoint, Rejections, Share, extra_places, pause_after};
use crate::request::RoutedRequest;

/// Time after startup during which this instance may not know the others.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Time in which a place is expected to become free.
const EXPECTED_WAIT: Duration = Duration::from_millis(100);

/// Room for this instance's requests at the endpoints of one service that have a rejection limit.
#[derive(Debug, Default)]
pub(super) struct Rooms {
    by_id: HashMap<EndpointId, Room>,
}

#[derive(Debug, Clone, Copy)]
struct Room {
    has_place: bool,
    pause: Duration,
}

impl Rooms {
    /// Whether a request may go to the endpoint.
    pub(super) fn allows(&self, endpoint: &str) -> bool {
        self.by_id
            .get(endpoint)
            .is_none_or(|room| room.pause.is_zero() && room.has_place)
    }
}

impl<P: Protocol> Edge<P> {
    /// Room at the endpoints of `service`.
    pub(super) fn rooms(
        &self,
        view: &View,
        service: &Service,
        instances: &Instances,
        placement: &Placement<P>,
        now: BootTime,
    ) -> Rooms {
        let limits = self.rejection_limits.borrow();
        if limits.count() == 0 {
            return Rooms::default();
        }
        let mut limited: Vec<(&KnownEndpoint, f64)> = view
            .usable(&service.id, now)
            .filter_map(|known| Some((known, limits.per_s(&known.endpoint)?)))
            .collect();
        limited.sort_unstable_by_key(|(known, _)| &known.endpoint.id);
        let fleet = self.fleet_for(service, instances, now);
        let remote = self.digests.borrow().loads_by_endpoint(fleet.others, now);
        let home = self.startup_home(service, limited.len(), now);
        let advised = placement.advice.as_ref().map(|(advice, _)| advice.endpoint);
        // A coordinator counts all requests, and may have filled all slots.
        let is_coordinated = placement.source != BY_SELF;
        let rejections = self.rejections.borrow();
        let mut offset = 0;
        let mut by_id = HashMap::new();
        for (index, (known, rejections_per_s)) in limited.into_iter().enumerate() {
            let endpoint = &known.endpoint;
            let hash = id_hash(&endpoint.id);
            let full = FullEndpoint {
                slots: slots(service, endpoint, &rejections),
                rejections_per_s,
                offset,
                own: self.own_requests(&endpoint.id),
                untold: rejections.untold(endpoint, now),
                remote: remote.get(&hash).map_or(0, |load| load.running as usize),
            };
            // The same for all instances, unlike what they know of the memory.
            let stated_slots = endpoint.slots as usize;
            offset += stated_slots + extra_places(stated_slots, rejections_per_s);
            let after_pause = rejections.allowance(endpoint, now).unwrap_or(usize::MAX);
            let has_place = match home {
                _ if advised == Some(hash) => true,
                _ if is_coordinated => full.has_extra_place(&fleet, after_pause),
                Some(home) => home == index && full.own == 0,
                None => full.has_place(&fleet, after_pause),
            };
            let pause = rejections.pause(endpoint, now);
            by_id.insert(endpoint.id.clone(), Room { has_place, pause });
        }
        Rooms { by_id }
    }

    fn own_requests(&self, endpoint: &str) -> usize {
        let loads = self.loads.borrow();
        loads.get(endpoint).map_or(0, |load| load.running() as usize)
    }

    fn fleet_for(&self, service: &Service, instances: &Instances, now: BootTime) -> Fleet {
        let others = instances.len() - 1;
        let members = self.members.borrow();
        Fleet {
            share: Share::new(&service.id, members.own(), instances),
            others,
            heard: (!is_large(others)).then(|| self.digests.borrow().heard(now)),
            usable: members.known_share(now),
        }
    }

    /// The only endpoint that gets requests, one at a time, while this instance may not know the others; `None` afterwards.
    fn startup_home(&self, service: &Service, endpoints: usize, now: BootTime) -> Option<usize> {
        if now.since(self.started) >= STARTUP_TIME {
            return None;
        }
        let key = format!("{}/{}", service.id, self.members.borrow().own());
        Some(id_hash(&key) as usize % endpoints.max(1))
    }

    /// Time until there may be room at an endpoint that could get a request; `None` if one of them has no rejection limit.
    pub(super) fn room_wait(
        &self,
        view: &View,
        service: &Service,
        tried: &[String],
        now: BootTime,
    ) -> Option<Duration> {
        let limits = self.rejection_limits.borrow();
        let rejections = self.rejections.borrow();
        let available = self.untried(view, service, tried, now).into_iter();
        let waits: Option<Vec<Duration>> = available
            .map(|known| {
                limits.per_s(&known.endpoint)?;
                Some(rejections.pause(&known.endpoint, now).max(EXPECTED_WAIT))
            })
            .collect();
        waits?.into_iter().min()
    }

    /// Counts a request sent to an endpoint.
    pub(super) fn count_sent(&self, service: &Service, request: &RoutedRequest, endpoint: &Endpoint, now: BootTime) {
        if let Some(engine_tokens) = service.engine_tokens {
            let tokens = unshared_tokens(&request.prompt);
            self.rejections
                .borrow_mut()
                .record_tokens(&service.id, tokens, engine_tokens);
        }
        if self.rejection_limits.borrow().per_s(endpoint).is_some() {
            self.rejections.borrow_mut().record_sent(endpoint, now);
        }
    }

    /// Whether an endpoint of the service has a rejection limit.
    pub(super) fn has_rejection_limit(&self, service: &Service, now: BootTime) -> bool {
        let limits = self.rejection_limits.borrow();
        if limits.count() == 0 {
            return false;
        }
        let view = self.view.borrow();
        let mut usable = view.usable(&service.id, now);
        usable.any(|known| limits.per_s(&known.endpoint).is_some())
    }

    /// Most requests in flight at the engines with a rejection limit, for the coordinator of their group.
    pub(super) fn engine_rooms(&self, service: &Service, engines: &[&KnownEndpoint], now: BootTime) -> EngineRooms {
        let limits = self.rejection_limits.borrow();
        let rejections = self.rejections.borrow();
        let limited = engines
            .iter()
            .map(|known| &known.endpoint)
            .filter(|endpoint| limits.per_s(endpoint).is_some());
        let room = |endpoint: &Endpoint| {
            let after_pause = rejections.allowance(endpoint, now).unwrap_or(usize::MAX);
            let slots = slots(service, endpoint, &rejections);
            slots.min(after_pause).try_into().unwrap_or(u32::MAX)
        };
        limited
            .map(|endpoint| (id_hash(&endpoint.id), room(endpoint)))
            .collect()
    }

    /// Records as a coordinator that an engine rejected a request of another instance, or of this one.
    pub(super) fn note_told_rejection(&self, view: &View, endpoint: IdHash, now: BootTime) {
        let known = view.endpoints().find(|known| id_hash(&known.endpoint.id) == endpoint);
        let Some(endpoint) = known.map(|known| &known.endpoint) else {
            return;
        };
        let Some(per_s) = self.rejection_limits.borrow().per_s(endpoint) else {
            return;
        };
        let pause = pause_after(1, per_s);
        self.rejections.borrow_mut().record_rejected(endpoint, pause, now);
    }

    /// Records that an endpoint rejected a request.
    pub fn record_rejected(&self, service: &Service, endpoint: &Endpoint) {
        let Some(per_s) = self.rejection_limits.borrow().per_s(endpoint) else {
            return;
        };
        let now = now_boot();
        self.tell_sign(&service.id, &endpoint.id, Sign::Rejected);
        let senders = if self.has_coordinators(service, now) {
            1
        } else {
            let slots = slots(service, endpoint, &self.rejections.borrow());
            let instances = self.members.borrow().sharing_limits(now).len();
            instances.min(slots + extra_places(slots, per_s))
        };
        let pause = pause_after(senders, per_s);
        let pause = self.rejections.borrow_mut().record_rejected(endpoint, pause, now);
        self.counters.limited_rejections.inc();
        let pause_ms = pause.as_millis() as u64;
        info!(
            endpoint = endpoint.id,
            per_s, pause_ms, "rejections: the endpoint rejected a request"
        );
    }

    /// Applies the rejection limit that an endpoint stated in the response to a request that was sent at `sent_at`.
    pub fn apply_rejection_limit(&self, endpoint: &Endpoint, stated: StatedLimit, sent_at: BootTime) {
        let now = now_boot();
        let change = self
            .rejection_limits
            .borrow_mut()
            .record(endpoint, stated, sent_at, now);
        self.note_rejection_limit(endpoint, change, "endpoint");
    }

    /// Applies the rejection limits that a peer tells.
    pub fn apply_told_rejection_limits(&self, told: &[LimitEntry]) {
        let now = now_boot();
        let view = self.view.borrow();
        for known in view.endpoints() {
            let hash = id_hash(&known.endpoint.id);
            for entry in told.iter().filter(|entry| entry.endpoint == hash) {
                let change = self.rejection_limits.borrow_mut().learn(&known.endpoint, *entry, now);
                self.note_rejection_limit(&known.endpoint, change, "peer");
            }
        }
    }

    fn note_rejection_limit(&self, endpoint: &Endpoint, change: Option<Change>, source: &'static str) {
        let (id, start) = (&endpoint.id, endpoint.start);
        match change {
            None => {}
            Some(Change::Unreadable) => warn!(endpoint = id, start, "rejections: the endpoint's limit can't be read"),
            Some(Change::Limit { from, to }) => {
                let limits = self.rejection_limits.borrow();
                self.counters.rejection_limited_endpoints.set(limits.count() as i64);
                let version = limits.version(endpoint);
                info!(
                    endpoint = id,
                    start, from, to, source, version, "rejections: the endpoint's limit changed"
                );
            }
        }
    }

    /// Drops what is known of endpoints that have had no record for long.
    pub(super) fn sweep_rejections(&self, now: BootTime) {
        let view = self.view.borrow();
        let listed = |id: &str| view.endpoint(id).map(|known| &*known.endpoint);
        let mut limits = self.rejection_limits.borrow_mut();
        limits.sweep(listed, now);
        self.counters.rejection_limited_endpoints.set(limits.count() as i64);
        self.rejections.borrow_mut().sweep(now);
    }

    /// Rejection limits to tell other instances now.
    pub fn rejection_limits_to_tell(&self, now: BootTime) -> Vec<LimitEntry> {
        let view = self.view.borrow();
        let listed = |id: &str| view.endpoint(id).map(|known| &*known.endpoint);
        self.rejection_limits.borrow_mut().entries(listed, now)
    }

    /// Whether an endpoint has a rejection limit, so that others need to hear of this instance also while it is idle.
    pub fn knows_rejection_limits(&self) -> bool {
        self.rejection_limits.borrow().count() > 0
    }
}

/// Requests that an endpoint can run at once: its slots, or as many as its memory holds; at least one.
fn slots(service: &Service, endpoint: &Endpoint, rejections: &Rejections) -> usize {
    let fitting = service
        .engine_tokens
        .and_then(|tokens| rejections.fitting(&service.id, tokens));
    let slots = endpoint.slots as usize;
    slots.min(fitting.unwrap_or(usize::MAX)).max(1)
}

/// Tokens of a prompt that belong to it alone, and of its longest response.
fn unshared_tokens(prompt: &Prompt) -> f64 {
    let own = prompt.blocks.last().map_or(prompt.tokens, |block| block.tokens);
    f64::from(own) + f64::from(prompt.max_output_tokens)
}
