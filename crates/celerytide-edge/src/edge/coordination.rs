//! The coordinator role of an instance: places the prompts of the groups of engines that it coordinates, and computes who
//! coordinates the others.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_catalog::{KnownEndpoint, Service, View};
use celerytide_types::{BootTime, EndpointId, ServiceId, now_boot};
use tracing::info;

use super::Edge;
use crate::coordinator::groups::{GroupIndex, coordinators, group_count, group_of, home};
use crate::coordinator::messages::{Event, GroupKey, IdHash, PlaceRequest, Reply, Sign, Verdict};
use crate::coordinator::{Engines, FlightKey, Group};
use crate::notice::Availability;
use crate::peers::digest::id_hash;
use crate::protocol::Protocol;

/// Age up to which the coordinators of a group are not computed again.
const RANKING_AGE: Duration = Duration::from_millis(250);
/// Time without an event after which a group is forgotten.
const GROUP_AGE: Duration = Duration::from_secs(30);

/// State of the coordinator role and of what it needs to know of the fleet.
#[derive(Debug, Default)]
pub struct Coordination {
    groups: BTreeMap<GroupKey, UsedGroup>,
    replies: BTreeMap<SocketAddr, Vec<Reply>>,
    rankings: HashMap<GroupKey, Ranking>,
    group_maps: HashMap<ServiceId, GroupMap>,
}

#[derive(Debug, Default)]
struct UsedGroup {
    group: Group,
    at: BootTime,
}

#[derive(Debug)]
struct Ranking {
    at: BootTime,
    instances: Vec<SocketAddr>,
}

#[derive(Debug, Default)]
struct GroupMap {
    count: GroupIndex,
    by_endpoint: HashMap<EndpointId, GroupIndex>,
}

impl GroupMap {
    fn group_of(&mut self, endpoint: &str, count: GroupIndex) -> GroupIndex {
        if self.count != count || self.by_endpoint.len() > usize::from(count) * 1024 {
            self.by_endpoint.clear();
            self.count = count;
        }
        if let Some(group) = self.by_endpoint.get(endpoint) {
            return *group;
        }
        let group = group_of(endpoint, count);
        self.by_endpoint.insert(endpoint.to_owned(), group);
        group
    }
}

impl Coordination {
    fn group_mut(&mut self, key: GroupKey, now: BootTime) -> &mut Group {
        let used = self.groups.entry(key).or_default();
        used.at = now;
        &mut used.group
    }

    /// The group that has this request.
    fn group_with(&mut self, key: FlightKey) -> Option<(GroupKey, &mut Group)> {
        let mut groups = self.groups.iter_mut();
        let found = groups.find(|(_, used)| used.group.holds(key.from, key.id));
        found.map(|(group, used)| (*group, &mut used.group))
    }

    /// Forgets what is known of an endpoint that restarted or is gone.
    pub fn reset(&mut self, endpoint: &str) {
        for used in self.groups.values_mut() {
            used.group.reset(id_hash(endpoint));
        }
    }

    /// Forgets all requests.
    pub fn clear(&mut self) {
        self.groups.clear();
    }

    /// Requests that wait for an engine.
    pub fn waiting(&self) -> usize {
        self.groups.values().map(|used| used.group.waiting()).sum()
    }

    /// Requests in flight in all groups.
    pub fn in_flight(&self) -> usize {
        self.groups
            .values()
            .map(|used| used.group.ledger().flight_count())
            .sum()
    }

    /// Drops expired requests, and groups without a recent event.
    pub fn sweep(&mut self, now: BootTime) {
        for used in self.groups.values_mut() {
            used.group.sweep(now);
        }
        self.groups.retain(|_, used| now.since(used.at) < GROUP_AGE);
    }

    /// Takes the replies to send.
    pub fn take_replies(&mut self) -> BTreeMap<SocketAddr, Vec<Reply>> {
        std::mem::take(&mut self.replies)
    }
}

impl<P: Protocol> Edge<P> {
    /// Group of an endpoint.
    pub(super) fn key_of(&self, view: &View, service: &str, endpoint: &str, now: BootTime) -> Option<GroupKey> {
        let count = group_count(view.usable(service, now).count());
        let mut coordination = self.coordination.borrow_mut();
        if !coordination.group_maps.contains_key(service) {
            coordination.group_maps.insert(service.to_owned(), GroupMap::default());
        }
        let map = coordination.group_maps.get_mut(service)?;
        Some(GroupKey {
            service: id_hash(service),
            group: map.group_of(endpoint, count),
        })
    }

    /// Address of the instance to ask about a group; `None` if all that are known gave no reply.
    pub(super) fn coordinator(&self, service: &str, key: GroupKey, now: BootTime) -> Option<SocketAddr> {
        let mut coordination = self.coordination.borrow_mut();
        let is_fresh = |ranking: &Ranking| now.since(ranking.at) < RANKING_AGE;
        if !coordination.rankings.get(&key).is_some_and(is_fresh) {
            // Instances hear of each other every few seconds only. A list of those heard of within a longer time differs
            // less between instances, so that most of them compute the same coordinator.
            let instances = self.members.borrow().sharing_limits(now);
            let ranking = Ranking {
                at: now,
                instances: coordinators(service, key.group, &instances),
            };
            coordination.rankings.insert(key, ranking);
        }
        let port = self.settings.placement?.port();
        let ranking = coordination.rankings.get(&key)?;
        let addresses = ranking.instances.iter().map(|addr| SocketAddr::new(addr.ip(), port));
        let placements = self.placements.borrow();
        addresses.into_iter().find(|addr| placements.trusts(*addr, now))
    }

    /// Address of this instance for placement messages.
    pub fn own_placement_address(&self) -> Option<SocketAddr> {
        let port = self.settings.placement?.port();
        Some(SocketAddr::new(self.settings.peer_address().ip(), port))
    }

    /// Applies events of an instance that asks this one; the replies are queued.
    pub fn coordinate(&self, from: SocketAddr, events: Vec<Event>) {
        let now = now_boot();
        let view = self.view.borrow();
        let mut changed: BTreeSet<GroupKey> = BTreeSet::new();
        for event in events {
            // Room that an earlier event made is for the requests that wait already.
            if let Event::Place(request) = &event
                && changed.remove(&request.key)
            {
                self.retry_waiting(&view, request.key, now);
            }
            changed.extend(self.coordinate_one(&view, from, event, now));
        }
        for key in changed {
            self.retry_waiting(&view, key, now);
        }
        if !self.coordination.borrow().replies.is_empty() {
            self.placement_urgent.notify_one();
        }
    }

    /// Applies one event; returns the group in which an engine may have room now.
    fn coordinate_one(&self, view: &View, from: SocketAddr, event: Event, now: BootTime) -> Option<GroupKey> {
        match event {
            Event::Place(request) => {
                let verdict = self.decide(view, from, &request, now);
                let reply = Reply {
                    id: request.id,
                    verdict,
                };
                self.coordination
                    .borrow_mut()
                    .replies
                    .entry(from)
                    .or_default()
                    .push(reply);
                None
            }
            Event::Sent { key, flight, blocks } => {
                let service = service_of(view, key, now)?;
                let mut coordination = self.coordination.borrow_mut();
                coordination
                    .group_mut(key, now)
                    .note_sent(from, flight, &blocks, service, now);
                None
            }
            Event::Started { id, took_ms } => {
                let flight = FlightKey { from, id };
                let took = Duration::from_millis(u64::from(took_ms));
                let mut coordination = self.coordination.borrow_mut();
                let (key, group) = coordination.group_with(flight)?;
                group.note_started(flight, took);
                Some(key)
            }
            Event::Ended { id } => {
                let flight = FlightKey { from, id };
                let mut coordination = self.coordination.borrow_mut();
                let (key, group) = coordination.group_with(flight)?;
                group.note_ended(flight);
                Some(key)
            }
            Event::Outcome {
                endpoint,
                sign: Sign::Rejected,
                ..
            } => {
                self.note_told_rejection(view, endpoint, now);
                None
            }
            Event::Outcome { key, endpoint, sign } => {
                let service = service_of(view, key, now)?;
                let usable = self.group_engines(view, service, key, now);
                let rooms = self.engine_rooms(service, &usable, now);
                let engines = Engines {
                    service,
                    usable: &usable,
                    rooms: &rooms,
                };
                let mut coordination = self.coordination.borrow_mut();
                let group = coordination.group_mut(key, now);
                if group.note_outcome(endpoint, sign, engines, now) {
                    let id = usable.iter().map(|known| known.endpoint.id.as_str());
                    let id = id.into_iter().find(|id| id_hash(id) == endpoint).unwrap_or("unknown");
                    info!(
                        service = service.id,
                        group = key.group,
                        endpoint = id,
                        ?sign,
                        "place: an endpoint was ejected or is healthy again"
                    );
                }
                None
            }
            Event::Report(report) => {
                let key = report.key;
                let service = service_of(view, key, now)?;
                let mut coordination = self.coordination.borrow_mut();
                coordination
                    .group_mut(key, now)
                    .apply_report(from, &report, service, now);
                Some(key)
            }
        }
    }

    fn decide(&self, view: &View, from: SocketAddr, request: &PlaceRequest, now: BootTime) -> Verdict {
        if self.stopping_since.get().is_some() {
            return Verdict::Stopping;
        }
        let Some(service) = service_of(view, request.key, now) else {
            return Verdict::Unable;
        };
        let usable = self.group_engines(view, service, request.key, now);
        let rooms = self.engine_rooms(service, &usable, now);
        let engines = Engines {
            service,
            usable: &usable,
            rooms: &rooms,
        };
        let home = home_of(request, &usable);
        let mut coordination = self.coordination.borrow_mut();
        let group = coordination.group_mut(request.key, now);
        let verdict = group.place(request, from, home, engines, now);
        if let Verdict::Queued { .. } = verdict {
            self.placement_queued.notify_one();
        }
        verdict
    }

    /// Tries the requests again that wait in a group.
    pub fn retry_waiting(&self, view: &View, key: GroupKey, now: BootTime) {
        let is_idle = |used: &UsedGroup| used.group.waiting() == 0;
        if self.coordination.borrow().groups.get(&key).is_none_or(is_idle) {
            return;
        }
        let Some(service) = service_of(view, key, now) else {
            return;
        };
        let usable = self.group_engines(view, service, key, now);
        let rooms = self.engine_rooms(service, &usable, now);
        let engines = Engines {
            service,
            usable: &usable,
            rooms: &rooms,
        };
        let mut coordination = self.coordination.borrow_mut();
        let home = |request: &PlaceRequest| home_of(request, &usable);
        let replies = coordination.group_mut(key, now).retry_waiting(home, engines, now);
        for (to, reply) in replies {
            coordination.replies.entry(to).or_default().push(reply);
        }
    }

    /// Tries all waiting requests again and drops expired requests and unused groups.
    pub fn tick_coordination(&self, now: BootTime) {
        let view = self.view.borrow();
        self.coordination.borrow_mut().sweep(now);
        let keys: Vec<GroupKey> = self.coordination.borrow().groups.keys().copied().collect();
        for key in keys {
            self.retry_waiting(&view, key, now);
        }
        if !self.coordination.borrow().replies.is_empty() {
            self.placement_urgent.notify_one();
        }
    }

    /// Engines of a group that may be advised: usable, neither leaving nor paused, and without a limited rate, which
    /// only the instances that share it may use.
    fn group_engines<'a>(
        &self,
        view: &'a View,
        service: &'a Service,
        key: GroupKey,
        now: BootTime,
    ) -> Vec<&'a KnownEndpoint> {
        let count = group_count(view.usable(&service.id, now).count());
        let mut coordination = self.coordination.borrow_mut();
        let map = coordination.group_maps.entry(service.id.clone()).or_default();
        let members: Vec<&KnownEndpoint> = view
            .usable(&service.id, now)
            .filter(|known| map.group_of(&known.endpoint.id, count) == key.group)
            .collect();
        drop(coordination);
        let notices = self.notices.borrow();
        let is_available =
            |known: &&KnownEndpoint| notices.availability(&known.endpoint, now) == Availability::Available;
        let is_unlimited = |known: &&KnownEndpoint| self.rate(service, known, now).is_none();
        members.into_iter().filter(is_available).filter(is_unlimited).collect()
    }
}

/// The service of a group; `None` if it has no such group.
fn service_of(view: &View, key: GroupKey, now: BootTime) -> Option<&Service> {
    let mut services = view.catalog().services();
    let service = services.find(|service| id_hash(&service.id) == key.service)?;
    let count = group_count(view.usable(&service.id, now).count());
    (key.group < count).then_some(service.as_ref())
}

/// The endpoint that most likely has the deepest shared block cached if nothing is known.
fn home_of(request: &PlaceRequest, engines: &[&KnownEndpoint]) -> Option<IdHash> {
    let (_, shared) = request.demand.blocks.split_last()?;
    let key = format!("{:x}", shared.last()?.id);
    home(&key, engines.iter().map(|known| known.endpoint.id.as_str())).map(id_hash)
}
