//! The fleet, its network, its list service and the endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_membership::ownership::{Admitted, Former, MusterCall, Standing, Term, owner_of};
use celerytide_membership::{Freshness, Instance};
use celerytide_types::BootTime;

use super::node::{Node, instance};
use super::{BOUND, Faults, Flaw, Message, NODES, Number, POOL, What};

/// Seconds by which a read may lag behind the list.
const LAG: u64 = 5;
/// Most messages that arrive within a second that passes.
const MOST_DELIVERED: u8 = 4;
const REPORT_LAG: usize = 2;
/// An entry takes a permit only within this time of its ask.
const ASK_FOR: Duration = Duration::from_secs(5);

pub(super) struct Published {
    pub(super) at: BootTime,
    pub(super) list: Vec<Instance>,
}

/// What a history came to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Most work the endpoint had at once.
    pub peak: u32,
    /// Permits that an owner granted without fresh views.
    pub distrusted: usize,
    /// Permits that ran under an older term than their entry had followed.
    pub outdated: usize,
    /// Permits that ran.
    pub ran: usize,
    /// Times a node settled as the owner.
    pub settled: usize,
}

pub struct Fleet {
    pub(super) nodes: Vec<Node>,
    pub(super) cuts: Vec<(usize, usize)>,
    pub(super) net: Vec<Message>,
    pub(super) lists: Vec<Published>,
    pub(super) now: BootTime,
    pub(super) lives: u64,
    pub(super) numbers: Number,
    /// Work at the endpoint whose entry died.
    pub(super) orphans: Vec<Number>,
    pub(super) reports: VecDeque<u32>,
    pub(super) faults: Faults,
    pub(super) flaw: Option<Flaw>,
    pub(super) tally: Tally,
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
            cuts: Vec::new(),
            net: Vec::new(),
            lists: vec![Published { at: now, list }],
            now,
            lives: NODES as u64,
            numbers: 0,
            orphans: Vec::new(),
            reports: VecDeque::new(),
            faults,
            flaw,
            tally: Tally::default(),
        }
    }

    pub fn run(mut self, u: &mut Unstructured<'_>) -> Result<Tally> {
        while !u.is_empty() {
            self.event(u)?;
            self.assess_all();
        }
        Ok(self.tally)
    }

    fn event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(NODES)?;
        let faults = self.faults;
        match u.int_in_range(0..=63u8)? {
            0..=9 => self.pass(u)?,
            10..=17 => self.ask(at),
            18..=41 => self.deliver(u)?,
            42..=47 => self.finish_one(at, u)?,
            48..=51 => self.muster(at),
            52 | 53 if faults.list_changes => self.change_list(at, u)?,
            54 if faults.restarts => self.restart(at, u)?,
            55 if faults.pauses => self.nodes[at].paused = true,
            56 | 63 => self.nodes[at].paused = false,
            57 if faults.partitions => self.cut(at, u)?,
            58 if faults.partitions => self.nodes[at].cut = u.ratio(1, 4)?,
            59 if faults.losses => self.lose_or_double(u)?,
            60 if faults.stale_service => self.nodes[at].reads_stale = u.ratio(1, 3)?,
            61 if faults.false_removals => self.publish(|list| list.retain(|i| i.id != format!("i-{at}"))),
            62 => self.finish_orphan(),
            _ => {}
        }
        Ok(())
    }

    /// Some seconds pass; processes that run tick, and most read the service.
    fn pass(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=8u8)? {
            self.now = self.now.after(Duration::from_secs(1));
            let at_endpoint = self.at_endpoint();
            self.reports.push_front(at_endpoint);
            self.reports.truncate(REPORT_LAG + 1);
            let lagged = self.reports.back().copied().filter(|_| !self.faults.no_report);
            let report = lagged.map(|work| (work, Duration::from_secs(REPORT_LAG as u64)));
            for n in 0..NODES {
                if self.nodes[n].acts() {
                    self.nodes[n].second(self.now, report);
                    self.read(n, u)?;
                    self.muster(n);
                }
            }
            self.deliver_some(u)?;
            self.assess_all();
        }
        Ok(())
    }

    fn read(&mut self, n: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if self.nodes[n].cut || u.ratio(1, 4)? {
            return Ok(());
        }
        let held = self.nodes[n].members.view().list_version as usize;
        let lag = Duration::from_secs(u.int_in_range(0..=LAG)?);
        let known = |p: &Published| p.at.after(lag) <= self.now;
        let lagging = self.lists.iter().rposition(known).unwrap_or_default();
        let newest = if self.nodes[n].reads_stale && held > 0 {
            held - 1
        } else {
            lagging.max(held.saturating_sub(1))
        };
        let list = self.lists[newest].list.clone();
        self.nodes[n].read(self.now, 1 + newest as u64, list);
        Ok(())
    }

    fn assess_all(&mut self) {
        for n in 0..NODES {
            if self.nodes[n].acts() {
                self.assess(n);
            }
        }
        self.tally.peak = self.tally.peak.max(self.at_endpoint());
    }

    fn assess(&mut self, n: usize) {
        let term = self.nodes[n].own.term(POOL);
        let in_flight: Vec<Number> = self.nodes[n].counted.keys().copied().collect();
        let changes = self.nodes[n].assess(self.now, self.flaw);
        if self.flaw == Some(Flaw::NoMuster) {
            for call in self.nodes[n].own.musters(POOL) {
                self.nodes[n].own.mustered(&call, Former::Nobody);
            }
        }
        for change in changes {
            self.tally.settled += usize::from(change.to == Standing::Settled);
            let next = self.owner_by(n);
            if let (Standing::NotOwner, Some(term), Some(to)) = (change.to, term, next) {
                self.send(
                    n,
                    to,
                    What::Handover {
                        term,
                        in_flight: in_flight.clone(),
                    },
                );
            }
        }
    }

    fn at_endpoint(&self) -> u32 {
        let working: usize = self.nodes.iter().map(|n| n.working.len()).sum();
        (working + self.orphans.len()) as u32
    }

    fn owner_by(&self, n: usize) -> Option<usize> {
        let view = self.nodes[n].members.view();
        let owner = owner_of(POOL, "r", &view.instances)?;
        self.nodes.iter().position(|node| node.id == owner.id)
    }

    fn send(&mut self, from: usize, to: usize, what: What) {
        let to_life = (self.nodes[to].dispatch_life, self.nodes[to].entry_life);
        self.net.push(Message {
            from,
            to,
            to_life,
            what,
        });
    }

    fn ask(&mut self, n: usize) {
        if let Some(owner) = self.owner_by(n).filter(|_| self.nodes[n].acts()) {
            self.send(n, owner, What::Ask { asked: self.now });
        }
    }

    fn muster(&mut self, n: usize) {
        if !self.nodes[n].acts() {
            return;
        }
        for call in self.nodes[n].own.musters(POOL) {
            let to = self.nodes.iter().position(|node| node.id == call.entry);
            if let Some(to) = to.filter(|_| !self.is_under_way(n, &call)) {
                self.send(n, to, What::Muster(call));
            }
        }
    }

    /// Whether the same call of that node is still on its way; processes make one call at a time to each entry.
    fn is_under_way(&self, n: usize, call: &MusterCall) -> bool {
        let is_it = |m: &Message| m.from == n && matches!(&m.what, What::Muster(other) if other == call);
        self.net.iter().any(is_it)
    }

    fn deliver_some(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.faults.slow_network {
            return Ok(());
        }
        for _ in 0..u.int_in_range(0..=MOST_DELIVERED)? {
            self.deliver(u)?;
        }
        Ok(())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.net.is_empty() {
            return Ok(());
        }
        let message = u.choose_index(self.net.len())?;
        let Message { from, to, .. } = self.net[message];
        let apart = self.cuts.contains(&(from.min(to), from.max(to)));
        if apart || self.nodes[to].paused {
            return Ok(());
        }
        let message = self.net.swap_remove(message);
        let life = (self.nodes[to].dispatch_life, self.nodes[to].entry_life);
        if self.nodes[to].up && message.to_life == life {
            self.receive(message);
        }
        Ok(())
    }

    fn receive(&mut self, message: Message) {
        let Message { from, to, what, .. } = message;
        self.assess(to);
        match what {
            What::Muster(call) => self.receive_muster(from, to, call),
            What::Follows {
                call,
                former,
                in_flight,
            } => self.receive_follows(to, from, &call, former, in_flight),
            What::Refused { highest } => {
                let view = self.nodes[to].members.view();
                self.nodes[to].own.refused(self.now, POOL, highest, &view);
            }
            What::Ask { asked } => self.receive_ask(from, to, asked),
            What::Grant { number, term, asked } => self.receive_grant(from, to, number, term, asked),
            What::Settle { number } => {
                self.nodes[to].settled.insert(number);
                self.nodes[to].counted.remove(&number);
            }
            What::Handover { term, in_flight } => {
                self.adopt(to, from, in_flight);
                self.nodes[to].own.handed_over(POOL, term);
            }
        }
    }

    fn receive_muster(&mut self, owner: usize, at: usize, call: MusterCall) {
        let view = self.nodes[at].members.view();
        let former = self.nodes[at].guard.highest(POOL).map_or(Former::Nobody, Former::Seen);
        let in_flight = self.nodes[at].working.iter().copied().collect();
        let guard = &mut self.nodes[at].guard;
        let admitted = match self.flaw {
            Some(Flaw::AnyList) => guard.admit(&view, POOL, call.term),
            _ => guard.muster(&view, POOL, call.term, call.seen_list),
        };
        match admitted {
            Admitted::Yes => self.send(
                at,
                owner,
                What::Follows {
                    call,
                    former,
                    in_flight,
                },
            ),
            Admitted::Older { highest } => self.send(at, owner, What::Refused { highest }),
            Admitted::OtherLife | Admitted::Behind => {}
        }
    }

    fn receive_follows(&mut self, at: usize, entry: usize, call: &MusterCall, former: Former, in_flight: Vec<Number>) {
        if self.nodes[at].own.term(POOL) == Some(call.term) {
            self.adopt(at, entry, in_flight);
        }
        self.nodes[at].own.mustered(call, former);
    }

    fn adopt(&mut self, at: usize, entry: usize, in_flight: Vec<Number>) {
        if self.flaw == Some(Flaw::NoAdoption) {
            return;
        }
        for number in in_flight {
            if !self.nodes[at].settled.contains(&number) {
                self.nodes[at].counted.insert(number, entry);
            }
        }
    }

    fn receive_ask(&mut self, entry: usize, at: usize, asked: BootTime) {
        let follows = self.nodes[at].own.follows(POOL, &self.nodes[entry].id) || self.flaw == Some(Flaw::ToAnyone);
        let Some(term) = self.nodes[at].own.term(POOL).filter(|_| follows) else {
            return;
        };
        if self.nodes[at].has_room() {
            let fresh = self.nodes[at].members.freshness(self.now) == Freshness::Fresh;
            self.tally.distrusted += usize::from(!fresh);
            self.numbers += 1;
            let number = self.numbers;
            self.nodes[at].counted.insert(number, entry);
            self.send(at, entry, What::Grant { number, term, asked });
        }
    }

    fn receive_grant(&mut self, owner: usize, at: usize, number: Number, term: Term, asked: BootTime) {
        let view = self.nodes[at].members.view();
        let admitted = self.nodes[at].guard.admit(&view, POOL, term);
        let in_time = self.faults.late_permits || self.now.since(asked) <= ASK_FOR;
        if in_time && (admitted == Admitted::Yes || self.flaw == Some(Flaw::NoGuard)) {
            self.nodes[at].working.insert(number);
            self.tally.ran += 1;
            self.tally.outdated += usize::from(admitted != Admitted::Yes);
        } else {
            self.send(at, owner, What::Settle { number });
        }
    }

    fn finish_one(&mut self, n: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let working: Vec<Number> = self.nodes[n].working.iter().copied().collect();
        if working.is_empty() || !self.nodes[n].acts() {
            return Ok(());
        }
        let number = working[u.choose_index(working.len())?];
        self.nodes[n].working.remove(&number);
        for to in 0..NODES {
            self.send(n, to, What::Settle { number });
        }
        Ok(())
    }
}

impl Tally {
    /// Whether the endpoint never had more than it bears, no entry ran a permit of an older term, and no owner granted
    /// without fresh views.
    pub fn holds(&self) -> bool {
        self.peak <= BOUND && self.outdated == 0 && self.distrusted == 0
    }
}
