//! What goes wrong in the fleet.

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_membership::Instance;

use super::fleet::{Fleet, Published};
use super::node::{Node, instance};
use super::{Message, NODES, What};

impl Fleet {
    pub(super) fn finish_orphan(&mut self) {
        let Some(number) = self.orphans.pop() else { return };
        for node in &mut self.nodes {
            node.settled.insert(number);
            node.counted.remove(&number);
        }
    }

    /// An entry or a dispatch, or both at once, begin a new life.
    pub(super) fn restart(&mut self, n: usize, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=2u8)? {
            0 => self.restart_entry(n),
            1 => self.restart_dispatch(n),
            _ => self.restart_both(n),
        }
        Ok(())
    }

    fn restart_both(&mut self, n: usize) {
        self.restart_entry(n);
        self.restart_dispatch(n);
    }

    fn restart_entry(&mut self, n: usize) {
        self.lives += 1;
        let node = &mut self.nodes[n];
        node.entry_life = self.lives;
        node.guard = Default::default();
        self.orphans.extend(std::mem::take(&mut node.working));
        let id = node.id.clone();
        for other in &mut self.nodes {
            other.own.entry_disconnected(&id);
        }
    }

    fn restart_dispatch(&mut self, n: usize) {
        self.lives += 1;
        let fresh = Node::start(n, self.lives, self.now, !self.faults.no_report, self.flaw);
        let node = &mut self.nodes[n];
        node.dispatch_life = self.lives;
        node.own = fresh.own;
        node.members = fresh.members;
        node.counted.clear();
        node.settled.clear();
        node.gate = fresh.gate;
        node.paused = false;
    }

    /// The instance at `at` starts leaving, is gone after its death, or comes back.
    pub(super) fn change_list(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let id = format!("i-{at}");
        let newest = &self.lists[self.lists.len() - 1].list;
        match newest.iter().find(|i| i.id == id).map(|i| i.live) {
            None if self.nodes[at].up => self.publish(|list| list.push(instance(at, true))),
            None => {
                self.nodes[at].up = true;
                self.restart_both(at);
                self.publish(|list| list.push(instance(at, true)));
            }
            Some(live) if !self.faults.deaths || u.ratio(1, 2)? => self.publish(|list| {
                list.retain(|i| i.id != id);
                list.push(instance(at, !live));
            }),
            Some(_) => {
                self.restart_both(at);
                self.nodes[at].up = false;
                self.publish(|list| list.retain(|i| i.id != id));
            }
        }
        Ok(())
    }

    pub(super) fn publish(&mut self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut list = self.lists[self.lists.len() - 1].list.clone();
        change(&mut list);
        self.lists.push(Published { at: self.now, list });
    }

    pub(super) fn cut(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(1, 2)? {
            self.cuts.clear();
            return Ok(());
        }
        let other = u.choose_index(NODES)?;
        if other != at {
            self.cuts.push((at.min(other), at.max(other)));
        }
        Ok(())
    }

    pub(super) fn lose_or_double(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let may = |m: &Message| matches!(m.what, What::Muster(_) | What::Follows { .. } | What::Handover { .. });
        let Some(at) = self.net.iter().position(may) else {
            return Ok(());
        };
        match u.arbitrary()? {
            true => self.net.push(self.net[at].clone()),
            false => drop(self.net.swap_remove(at)),
        }
        Ok(())
    }
}
