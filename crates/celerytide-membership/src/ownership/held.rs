//! What the owner of one pool knows of its tenure.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerytide_types::{BootTime, InstanceId, Term};

use super::standing::{Assessment, Former, Standing};
use crate::fresh::{Freshness, PeersSay};
use crate::view::View;

const FULL: f64 = 1.0;
const HALF: f64 = 0.5;

/// One pool's tenure.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) standing: Standing,
    pub(super) layout: u64,
    pub(super) term: Term,
    pub(super) since: BootTime,
    pub(super) round: u64,
    pub(super) seen_list: u64,
    pub(super) settled_once: bool,
    pub(super) doubted: bool,
    pub(super) slept: bool,
    pub(super) handed_over: Option<Term>,
    pub(super) superseded: Option<Term>,
    pub(super) mustered: BTreeSet<InstanceId>,
    /// Whom each entry followed before, by its first answer of this tenure; empty once settled.
    pub(super) formers: BTreeMap<InstanceId, Former>,
    pub(super) missing: BTreeSet<InstanceId>,
    pub(super) counted_for: Option<u64>,
}

impl Held {
    pub(super) fn new(now: BootTime, term: Term, layout: u64) -> Held {
        Held {
            standing: Standing::Taking {
                since: now,
                share: HALF,
                mustered: false,
            },
            layout,
            term,
            since: now,
            round: 0,
            seen_list: term.list_version,
            settled_once: false,
            doubted: false,
            slept: false,
            handed_over: None,
            superseded: None,
            mustered: BTreeSet::new(),
            formers: BTreeMap::new(),
            missing: BTreeSet::new(),
            counted_for: None,
        }
    }

    pub(super) fn retake(&mut self, now: BootTime, term: Term) {
        let round = self.round + 1;
        *self = Held {
            round,
            ..Held::new(now, term, self.layout)
        };
    }

    /// A list that was not seen may have named another owner, whom entries follow by now: they are called again.
    pub(super) fn see_list(&mut self, list_version: u64) {
        self.seen_list = list_version;
        self.muster_again();
    }

    pub(super) fn count_missing(&mut self, view: &View) {
        if self.counted_for == Some(view.generation) {
            return;
        }
        self.counted_for = Some(view.generation);
        let listed: BTreeSet<InstanceId> = view.instances.iter().map(|i| i.id.clone()).collect();
        self.mustered.retain(|id| listed.contains(id));
        self.missing = listed.into_iter().filter(|id| !self.mustered.contains(id)).collect();
        if self.superseded.is_some_and(|by| view.list_version >= by.list_version) {
            self.superseded = None;
        }
    }

    pub(super) fn judge(&mut self, now: BootTime, on: Assessment<'_>, hold: Duration) -> Standing {
        let slept = on.freshness == Freshness::Woken;
        if slept && !self.slept {
            self.muster_again();
        }
        self.slept = slept;
        if self.superseded.is_some() {
            return Standing::Stale { share: 0.0 };
        }
        let complete = self.missing.is_empty();
        self.doubted &= !complete;
        match on.freshness {
            Freshness::Woken if complete => Standing::Stale { share: HALF },
            Freshness::Woken => Standing::Woken,
            Freshness::Stale { .. } => Standing::Stale {
                share: self.stale_share(on.peers),
            },
            Freshness::Fresh => self.judge_fresh(now, hold),
        }
    }

    fn judge_fresh(&mut self, now: BootTime, hold: Duration) -> Standing {
        let mustered = self.missing.is_empty();
        self.settled_once |= mustered && self.former_is_gone(now, hold);
        if self.settled_once {
            self.formers.clear();
        }
        if self.settled_once && !self.doubted {
            return Standing::Settled;
        }
        Standing::Taking {
            since: self.since,
            share: HALF,
            mustered,
        }
    }

    fn former_is_gone(&self, now: BootTime, hold: Duration) -> bool {
        self.former_stopped() || now.since(self.since) >= hold
    }

    /// Whether the latest owner that any entry followed before has handed over, or there was none.
    fn former_stopped(&self) -> bool {
        let stopped = |former: &Former| match former {
            Former::Nobody => true,
            Former::Seen(term) => Some(*term) <= self.handed_over,
            Former::NotSaid => self.handed_over.is_some(),
        };
        self.formers.values().all(stopped)
    }

    /// Notes an entry's answer. An entry that names the present term has answered it before, and that answer was lost.
    pub(super) fn answered(&mut self, entry: &InstanceId, former: Former) {
        if !self.missing.remove(entry) {
            return;
        }
        self.mustered.insert(entry.clone());
        let former = match former {
            Former::Seen(term) if term == self.term => Former::NotSaid,
            former => former,
        };
        if !self.settled_once {
            self.formers.entry(entry.clone()).or_insert(former);
        }
    }

    pub(super) fn entry_lost(&mut self, entry: &str) {
        if let Some(id) = self.mustered.take(entry) {
            self.round += 1;
            self.missing.insert(id);
        }
    }

    /// Answers from before a sleep don't count: an entry may follow another owner by now.
    fn muster_again(&mut self) {
        self.round += 1;
        self.doubted = true;
        self.missing.extend(std::mem::take(&mut self.mustered));
    }

    fn stale_share(&self, peers: PeersSay) -> f64 {
        let service_down_for_all = peers == PeersSay::AlsoStale;
        if self.settled_once && !self.doubted && service_down_for_all {
            FULL
        } else {
            HALF
        }
    }
}
