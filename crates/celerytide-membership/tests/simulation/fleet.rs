//! The simulated fleet with its network, list service and endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_membership::ownership::{Admission, OwnershipState, PreviousOwner, TakeoverCall, Term, owner_of};
use celerytide_membership::{Freshness, Instance};
use celerytide_types::BootTime;

use super::node::{Node, instance};
use super::{COLD_SLOTS, Faults, Flaw, Message, NODES, POOL, Payload, PermitNumber};

/// Longest time by which a read lags behind the list.
const MAX_LIST_LAG_SECONDS: u64 = 5;
/// Most messages delivered per simulated second.
const MAX_DELIVERED_PER_SECOND: u8 = 4;
/// Age of each load report on arrival.
const REPORT_LAG_SECONDS: usize = 2;
/// An entry accepts a permit only within this time of its request.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) struct PublishedList {
    pub(super) at: BootTime,
    pub(super) list: Vec<Instance>,
}

/// Counters of one history.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stats {
    /// Most work at the endpoint at once.
    pub peak: u32,
    /// Permits that an owner granted without fresh views.
    pub granted_unfresh: usize,
    /// Permits that ran under an older term than the one their entry followed.
    pub ran_outdated: usize,
    /// Permits that ran.
    pub ran: usize,
    /// Number of times that a node settled as the owner.
    pub settled: usize,
}

pub struct Fleet {
    pub(super) nodes: Vec<Node>,
    pub(super) partitions: Vec<(usize, usize)>,
    pub(super) in_transit: Vec<Message>,
    pub(super) lists: Vec<PublishedList>,
    pub(super) now: BootTime,
    pub(super) last_incarnation: u64,
    pub(super) last_number: PermitNumber,
    /// Permits whose work still runs at the endpoint after their entry crashed.
    pub(super) orphan_permits: Vec<PermitNumber>,
    pub(super) reports: VecDeque<u32>,
    pub(super) faults: Faults,
    pub(super) flaw: Option<Flaw>,
    pub(super) stats: Stats,
}

impl Fleet {
    pub fn new(faults: Faults, flaw: Option<Flaw>) -> Fleet {
        let now = BootTime::from_start(Duration::from_secs(1000));
        let nodes = (0..NODES)
            .map(|n| Node::start(n, 1 + n as u64, now, !faults.no_report, flaw))
            .collect();
        let list = (0..NODES).map(|n| instance(n, true)).collect();
        Fleet {
            nodes,
            partitions: Vec::new(),
            in_transit: Vec::new(),
            lists: vec![PublishedList { at: now, list }],
            now,
            last_incarnation: NODES as u64,
            last_number: 0,
            orphan_permits: Vec::new(),
            reports: VecDeque::new(),
            faults,
            flaw,
            stats: Stats::default(),
        }
    }

    pub fn run(mut self, u: &mut Unstructured<'_>) -> Result<Stats> {
        while !u.is_empty() {
            self.random_event(u)?;
            self.assess_all();
        }
        Ok(self.stats)
    }

    fn random_event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(NODES)?;
        let faults = self.faults;
        match u.int_in_range(0..=63u8)? {
            0..=9 => self.advance_time(u)?,
            10..=17 => self.request_permit(at),
            18..=41 => self.deliver(u)?,
            42..=47 => self.finish_permit(at, u)?,
            48..=51 => self.send_takeover_requests(at),
            52 | 53 if faults.list_changes => self.change_list(at, u)?,
            54 if faults.restarts => self.restart(at, u)?,
            55 if faults.pauses => self.nodes[at].paused = true,
            56 | 63 => self.nodes[at].paused = false,
            57 if faults.partitions => self.change_partition(at, u)?,
            58 if faults.partitions => self.nodes[at].cut_off = u.ratio(1, 4)?,
            59 if faults.losses => self.lose_or_duplicate(u)?,
            60 if faults.stale_service => self.nodes[at].reads_stale = u.ratio(1, 3)?,
            61 if faults.false_removals => self.publish(|list| list.retain(|i| i.id != format!("i-{at}"))),
            62 => self.finish_orphan_permit(),
            _ => {}
        }
        Ok(())
    }

    /// Advances the time by some seconds; active processes tick, and most of them read the service.
    fn advance_time(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=8u8)? {
            self.now = self.now.after(Duration::from_secs(1));
            let endpoint_load = self.endpoint_load();
            self.reports.push_front(endpoint_load);
            self.reports.truncate(REPORT_LAG_SECONDS + 1);
            let lagged_report = self.reports.back().copied().filter(|_| !self.faults.no_report);
            let report = lagged_report.map(|work| (work, Duration::from_secs(REPORT_LAG_SECONDS as u64)));
            for n in 0..NODES {
                if self.nodes[n].is_active() {
                    self.nodes[n].tick(self.now, report);
                    self.read(n, u)?;
                    self.send_takeover_requests(n);
                }
            }
            self.deliver_several(u)?;
            self.assess_all();
        }
        Ok(())
    }

    fn read(&mut self, n: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if self.nodes[n].cut_off || u.ratio(1, 4)? {
            return Ok(());
        }
        let current = self.nodes[n].membership.view().list_version as usize;
        let lag = Duration::from_secs(u.int_in_range(0..=MAX_LIST_LAG_SECONDS)?);
        let is_visible = |p: &PublishedList| p.at.after(lag) <= self.now;
        let visible = self.lists.iter().rposition(is_visible).unwrap_or_default();
        let newest = if self.nodes[n].reads_stale && current > 0 {
            current - 1
        } else {
            visible.max(current.saturating_sub(1))
        };
        let list = self.lists[newest].list.clone();
        self.nodes[n].read(self.now, 1 + newest as u64, list);
        Ok(())
    }

    fn assess_all(&mut self) {
        for n in 0..NODES {
            if self.nodes[n].is_active() {
                self.assess(n);
            }
        }
        self.stats.peak = self.stats.peak.max(self.endpoint_load());
    }

    fn assess(&mut self, n: usize) {
        let term = self.nodes[n].ownership.term(POOL);
        let in_flight: Vec<PermitNumber> = self.nodes[n].granted.keys().copied().collect();
        let changes = self.nodes[n].assess(self.now, self.flaw);
        if self.flaw == Some(Flaw::NoTakeover) {
            for call in self.nodes[n].ownership.pending_takeovers(POOL) {
                self.nodes[n].ownership.record_takeover(&call, PreviousOwner::NoOwner);
            }
        }
        for change in changes {
            self.stats.settled += usize::from(change.to == OwnershipState::Settled);
            let next = self.owner_in_view(n);
            if let (OwnershipState::NotOwner, Some(term), Some(to)) = (change.to, term, next) {
                self.send(
                    n,
                    to,
                    Payload::Handover {
                        term,
                        in_flight: in_flight.clone(),
                    },
                );
            }
        }
    }

    fn endpoint_load(&self) -> u32 {
        let running: usize = self.nodes.iter().map(|n| n.running.len()).sum();
        (running + self.orphan_permits.len()) as u32
    }

    fn owner_in_view(&self, n: usize) -> Option<usize> {
        let view = self.nodes[n].membership.view();
        let owner = owner_of(POOL, "r", &view.instances)?;
        self.nodes.iter().position(|node| node.id == owner.id)
    }

    fn send(&mut self, from: usize, to: usize, payload: Payload) {
        let to_incarnations = (self.nodes[to].dispatch_incarnation, self.nodes[to].entry_incarnation);
        self.in_transit.push(Message {
            from,
            to,
            to_incarnations,
            payload,
        });
    }

    fn request_permit(&mut self, n: usize) {
        if let Some(owner) = self.owner_in_view(n).filter(|_| self.nodes[n].is_active()) {
            self.send(n, owner, Payload::PermitRequest { sent_at: self.now });
        }
    }

    fn send_takeover_requests(&mut self, n: usize) {
        if !self.nodes[n].is_active() {
            return;
        }
        for call in self.nodes[n].ownership.pending_takeovers(POOL) {
            let to = self.nodes.iter().position(|node| node.id == call.entry);
            if let Some(to) = to.filter(|_| !self.is_under_way(n, &call)) {
                self.send(n, to, Payload::TakeoverRequest(call));
            }
        }
    }

    /// Whether the same call of node `n` is still under way; a process makes one call at a time to each entry.
    fn is_under_way(&self, n: usize, call: &TakeoverCall) -> bool {
        let is_same_call =
            |m: &Message| m.from == n && matches!(&m.payload, Payload::TakeoverRequest(other) if other == call);
        self.in_transit.iter().any(is_same_call)
    }

    fn deliver_several(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.faults.slow_network {
            return Ok(());
        }
        for _ in 0..u.int_in_range(0..=MAX_DELIVERED_PER_SECOND)? {
            self.deliver(u)?;
        }
        Ok(())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.in_transit.is_empty() {
            return Ok(());
        }
        let message = u.choose_index(self.in_transit.len())?;
        let Message { from, to, .. } = self.in_transit[message];
        let is_partitioned = self.partitions.contains(&(from.min(to), from.max(to)));
        if is_partitioned || self.nodes[to].paused {
            return Ok(());
        }
        let message = self.in_transit.swap_remove(message);
        let incarnation = (self.nodes[to].dispatch_incarnation, self.nodes[to].entry_incarnation);
        if self.nodes[to].up && message.to_incarnations == incarnation {
            self.receive(message);
        }
        Ok(())
    }

    fn receive(&mut self, message: Message) {
        let Message { from, to, payload, .. } = message;
        self.assess(to);
        match payload {
            Payload::TakeoverRequest(call) => self.receive_takeover_request(from, to, call),
            Payload::TakeoverReply {
                call,
                previous,
                in_flight,
            } => self.receive_takeover_reply(to, from, &call, previous, in_flight),
            Payload::Refused { highest } => {
                let view = self.nodes[to].membership.view();
                self.nodes[to]
                    .ownership
                    .record_higher_term(self.now, POOL, highest, &view);
            }
            Payload::PermitRequest { sent_at } => self.receive_permit_request(from, to, sent_at),
            Payload::Grant { number, term, sent_at } => self.receive_grant(from, to, number, term, sent_at),
            Payload::PermitEnded { number } => {
                self.nodes[to].ended.insert(number);
                self.nodes[to].granted.remove(&number);
            }
            Payload::Handover { term, in_flight } => {
                self.adopt(to, from, in_flight);
                self.nodes[to].ownership.record_handover(POOL, term);
            }
        }
    }

    fn receive_takeover_request(&mut self, owner: usize, at: usize, call: TakeoverCall) {
        let view = self.nodes[at].membership.view();
        let previous = self.nodes[at]
            .guard
            .highest(POOL)
            .map_or(PreviousOwner::NoOwner, PreviousOwner::Followed);
        let in_flight = self.nodes[at].running.iter().copied().collect();
        let guard = &mut self.nodes[at].guard;
        let admission = match self.flaw {
            Some(Flaw::IgnoresLatestListVersion) => guard.admit(&view, POOL, call.term),
            _ => guard.admit_takeover(&view, POOL, call.term, call.latest_list_version),
        };
        match admission {
            Admission::Accepted => self.send(
                at,
                owner,
                Payload::TakeoverReply {
                    call,
                    previous,
                    in_flight,
                },
            ),
            Admission::Older { highest } => self.send(at, owner, Payload::Refused { highest }),
            Admission::OtherEpoch | Admission::OwnerBehind => {}
        }
    }

    fn receive_takeover_reply(
        &mut self,
        at: usize,
        entry: usize,
        call: &TakeoverCall,
        previous: PreviousOwner,
        in_flight: Vec<PermitNumber>,
    ) {
        if self.nodes[at].ownership.term(POOL) == Some(call.term) {
            self.adopt(at, entry, in_flight);
        }
        self.nodes[at].ownership.record_takeover(call, previous);
    }

    fn adopt(&mut self, at: usize, entry: usize, in_flight: Vec<PermitNumber>) {
        if self.flaw == Some(Flaw::NoAdoption) {
            return;
        }
        for number in in_flight {
            if !self.nodes[at].ended.contains(&number) {
                self.nodes[at].granted.insert(number, entry);
            }
        }
    }

    fn receive_permit_request(&mut self, entry: usize, at: usize, sent_at: BootTime) {
        let follows = self.nodes[at].ownership.entry_follows(POOL, &self.nodes[entry].id)
            || self.flaw == Some(Flaw::GrantsToAnyEntry);
        let Some(term) = self.nodes[at].ownership.term(POOL).filter(|_| follows) else {
            return;
        };
        if self.nodes[at].has_capacity() {
            let fresh = self.nodes[at].membership.freshness(self.now) == Freshness::Fresh;
            self.stats.granted_unfresh += usize::from(!fresh);
            self.last_number += 1;
            let number = self.last_number;
            self.nodes[at].granted.insert(number, entry);
            self.send(at, entry, Payload::Grant { number, term, sent_at });
        }
    }

    fn receive_grant(&mut self, owner: usize, at: usize, number: PermitNumber, term: Term, sent_at: BootTime) {
        let view = self.nodes[at].membership.view();
        let admission = self.nodes[at].guard.admit(&view, POOL, term);
        let in_time = self.faults.late_permits || self.now.since(sent_at) <= PERMIT_TIMEOUT;
        if in_time && (admission == Admission::Accepted || self.flaw == Some(Flaw::NoGuard)) {
            self.nodes[at].running.insert(number);
            self.stats.ran += 1;
            self.stats.ran_outdated += usize::from(admission != Admission::Accepted);
        } else {
            self.send(at, owner, Payload::PermitEnded { number });
        }
    }

    fn finish_permit(&mut self, n: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let running: Vec<PermitNumber> = self.nodes[n].running.iter().copied().collect();
        if running.is_empty() || !self.nodes[n].is_active() {
            return Ok(());
        }
        let number = running[u.choose_index(running.len())?];
        self.nodes[n].running.remove(&number);
        for to in 0..NODES {
            self.send(n, to, Payload::PermitEnded { number });
        }
        Ok(())
    }
}

impl Stats {
    /// Whether the endpoint was never overloaded, no entry ran a permit of an older term, and no owner granted without
    /// fresh views.
    pub fn is_safe(&self) -> bool {
        self.peak <= COLD_SLOTS && self.ran_outdated == 0 && self.granted_unfresh == 0
    }
}
