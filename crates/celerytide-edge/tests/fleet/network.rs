//! Messages, timers, engines and coordinators of the simulated fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_catalog::KnownEndpoint;
use celerytide_edge::coordinator::groups::{GroupIndex, home};
use celerytide_edge::coordinator::messages::{Event, IdHash, Packet, PlaceRequest, Reply, Report, Sign, Verdict};
use celerytide_edge::coordinator::{Engines, FlightKey, Pending, Rooms};
use celerytide_edge::peers::digest::id_hash;
use futures::FutureExt;
use rand::Rng;

use super::{Fate, Fleet, OVERLOAD_MS, TICK_MS};

/// Delays of a message between two instances.
const DELAY_MS: std::ops::Range<f64> = 0.2..2.8;
/// Ticks between two reports.
const REPORT_TICKS: usize = 100;

/// What happens at a point in time.
pub enum Action {
    Place(usize),
    Timeout(usize, u32),
    FirstByte(usize, u32),
    End(usize, u32),
    Unreached(usize, u32),
    Deliver(SocketAddr, SocketAddr, Packet),
    Crash(usize),
    Tick(usize),
}

/// The reply that arrived, if any.
pub fn poll(pending: &Pending) -> Option<Verdict> {
    pending.next().now_or_never()
}

fn home_of(request: &PlaceRequest, usable: &[&KnownEndpoint]) -> Option<IdHash> {
    let key = format!("{:x}", request.demand.blocks.first()?.id);
    home(&key, usable.iter().map(|known| known.endpoint.id.as_str())).map(id_hash)
}

impl Fleet {
    pub(super) fn schedule(&mut self, at_ms: f64, action: Action) {
        self.last_action += 1;
        self.actions.insert(((at_ms * 1000.0) as u64, self.last_action), action);
    }

    /// Sends what an instance has to tell.
    pub(super) fn flush(&mut self, asker: usize) {
        let from = self.askers[asker].addr;
        for (to, events) in self.askers[asker].client.take_outgoing() {
            self.transmit(from, to, Packet::Events(events));
        }
    }

    fn transmit(&mut self, from: SocketAddr, to: SocketAddr, packet: Packet) {
        if from == to {
            return self.schedule(self.now_ms, Action::Deliver(from, to, packet));
        }
        let delay = self.rng.random_range(DELAY_MS);
        if !self.rng.random_bool(self.setup.loss) {
            self.schedule(self.now_ms + delay, Action::Deliver(from, to, packet));
        }
    }

    pub(super) fn deliver(&mut self, from: SocketAddr, to: SocketAddr, packet: Packet) {
        match packet {
            Packet::Events(events) => self.coordinate(from, to, events),
            Packet::Replies(replies) => {
                let asker = self.askers.iter().position(|asker| asker.addr == to).expect("an asker");
                for reply in replies {
                    self.askers[asker].client.apply_reply(from, reply);
                    let is_own = |r: &super::Request| r.arrival.asker == asker && r.id == reply.id;
                    if let Some(request) = self.requests.iter().position(is_own) {
                        self.follow(request);
                    }
                }
                self.flush(asker);
            }
        }
    }

    /// Applies events at the instance `own`, as `Edge::coordinate` does.
    fn coordinate(&mut self, from: SocketAddr, own: SocketAddr, events: Vec<Event>) {
        let mut replies: BTreeMap<SocketAddr, Vec<Reply>> = BTreeMap::new();
        for event in events {
            let group = self.group_of_event(from, own, &event);
            let Some(index) = group else { continue };
            if let Some((to, reply)) = self.coordinate_one(from, index, event) {
                replies.entry(to).or_default().push(reply);
            }
            for (to, reply) in self.retry(index) {
                replies.entry(to).or_default().push(reply);
            }
        }
        for (to, replies) in replies {
            self.transmit(own, to, Packet::Replies(replies));
        }
    }

    fn group_of_event(&self, from: SocketAddr, own: SocketAddr, event: &Event) -> Option<GroupIndex> {
        match event {
            Event::Place(request) => Some(request.key.group),
            Event::Sent { key, .. } | Event::Outcome { key, .. } | Event::Report(Report { key, .. }) => Some(key.group),
            Event::Started { id, .. } | Event::Ended { id } => {
                let mut groups = self.groups.iter().filter(|(index, _)| self.coordinators[index] == own);
                groups
                    .find(|(_, group)| group.holds(from, *id))
                    .map(|(index, _)| *index)
            }
        }
    }

    fn coordinate_one(&mut self, from: SocketAddr, index: GroupIndex, event: Event) -> Option<(SocketAddr, Reply)> {
        let now = self.now();
        let usable: Vec<&KnownEndpoint> = self
            .engines
            .iter()
            .filter(|e| e.group == index)
            .map(|e| &e.known)
            .collect();
        let engines = Engines {
            service: &self.service,
            usable: &usable,
            rooms: &Rooms::new(),
        };
        let group = self.groups.get_mut(&index)?;
        match event {
            Event::Place(request) => {
                let verdict = group.place(&request, from, home_of(&request, &usable), engines, now);
                return Some((
                    from,
                    Reply {
                        id: request.id,
                        verdict,
                    },
                ));
            }
            Event::Sent { flight, blocks, .. } => group.note_sent(from, flight, &blocks, &self.service, now),
            Event::Started { id, took_ms } => {
                group.note_started(FlightKey { from, id }, Duration::from_millis(u64::from(took_ms)));
            }
            Event::Ended { id } => group.note_ended(FlightKey { from, id }),
            Event::Outcome { endpoint, sign, .. } => {
                group.note_outcome(endpoint, sign, engines, now);
            }
            Event::Report(report) => group.apply_report(from, &report, &self.service, now),
        }
        None
    }

    fn retry(&mut self, index: GroupIndex) -> Vec<(SocketAddr, Reply)> {
        let now = self.now();
        let usable: Vec<&KnownEndpoint> = self
            .engines
            .iter()
            .filter(|e| e.group == index)
            .map(|e| &e.known)
            .collect();
        let engines = Engines {
            service: &self.service,
            usable: &usable,
            rooms: &Rooms::new(),
        };
        let home = |request: &PlaceRequest| home_of(request, &usable);
        self.groups
            .get_mut(&index)
            .map_or_else(Vec::new, |group| group.retry_waiting(home, engines, now))
    }

    pub(super) fn tick(&mut self, n: usize) {
        let now = self.now();
        for index in self.groups.keys().copied().collect::<Vec<_>>() {
            self.groups.get_mut(&index).expect("a group").sweep(now);
            for (to, reply) in self.retry(index) {
                self.transmit(self.coordinators[&index], to, Packet::Replies(vec![reply]));
            }
        }
        for asker in (0..self.askers.len()).filter(|asker| (n + asker).is_multiple_of(REPORT_TICKS)) {
            let client = &mut self.askers[asker].client;
            for report in client.reports(now) {
                client.tell(self.coordinators[&report.key.group], Event::Report(report));
            }
            self.flush(asker);
        }
        self.sample();
        self.schedule(self.now_ms + TICK_MS, Action::Tick(n + 1));
    }

    fn sample(&mut self) {
        let mut extremes: BTreeMap<GroupIndex, (f64, f64)> = BTreeMap::new();
        for engine in self.engines.iter().filter(|engine| !engine.is_crashed) {
            let waiting = (engine.free_at - self.now_ms).max(0.0);
            let (least, most) = extremes.entry(engine.group).or_insert((f64::INFINITY, 0.0));
            *least = least.min(waiting);
            *most = most.max(waiting);
        }
        let uneven = extremes
            .values()
            .filter(|(least, most)| *least <= 0.0 && *most > OVERLOAD_MS);
        self.uneven_samples += uneven.count();
    }

    pub(super) fn start(&mut self, request: usize) {
        let state = &mut self.requests[request];
        let asker = &mut self.askers[state.arrival.asker];
        let took = Duration::from_secs_f64((self.now_ms - state.sent_at_ms) / 1000.0);
        asker.client.start(state.id, took);
        let reservation = state.reservation.as_mut().expect("a reservation");
        asker.loads.record_first_byte(reservation, took);
        state.fate = Fate::Started(self.now_ms - state.arrival.at_ms);
        let (step, asker) = (state.step, state.arrival.asker);
        let end = self.now_ms + f64::from(state.arrival.class.response_ms);
        self.schedule(end, Action::End(request, step));
        self.flush(asker);
    }

    /// Ends an attempt; after a bad sign the request is placed again.
    pub(super) fn end(&mut self, request: usize, sign: Sign) {
        let state = &mut self.requests[request];
        let engine = *state.sent_to.last().expect("an engine");
        let asker = &mut self.askers[state.arrival.asker];
        let mut reservation = state.reservation.take().expect("a reservation");
        asker.loads.release(&mut reservation);
        let model = &mut self.engines[engine];
        model.running.retain(|other| *other != request);
        let endpoint = id_hash(&model.known.endpoint.id);
        let key = super::key(model.group);
        let outcome = Event::Outcome { key, endpoint, sign };
        asker.client.tell(self.coordinators[&key.group], outcome);
        asker.client.end(state.id);
        state.step += 1;
        let asker = state.arrival.asker;
        self.flush(asker);
        if sign != Sign::Good {
            self.place(request);
        }
    }

    pub(super) fn crash(&mut self, engine: usize) {
        self.engines[engine].is_crashed = true;
        for request in std::mem::take(&mut self.engines[engine].running) {
            self.end(request, Sign::Bad);
        }
    }
}
