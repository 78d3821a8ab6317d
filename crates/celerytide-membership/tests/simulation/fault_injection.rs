//! Faults of the simulated fleet.

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_membership::Instance;

use super::fleet::{Fleet, PublishedList};
use super::node::{Node, instance};
use super::{Message, NODES, Payload};

impl Fleet {
    pub(super) fn finish_orphan_permit(&mut self) {
        let Some(number) = self.orphan_permits.pop() else {
            return;
        };
        for node in &mut self.nodes {
            node.ended.insert(number);
            node.granted.remove(&number);
        }
    }

    /// Restarts an entry process, a dispatch process, or both at once.
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
        self.last_incarnation += 1;
        let node = &mut self.nodes[n];
        node.entry_incarnation = self.last_incarnation;
        node.guard = Default::default();
        self.orphan_permits.extend(std::mem::take(&mut node.running));
        let id = node.id.clone();
        for other in &mut self.nodes {
            other.ownership.entry_disconnected(&id);
        }
    }

    fn restart_dispatch(&mut self, n: usize) {
        self.last_incarnation += 1;
        let fresh = Node::start(n, self.last_incarnation, self.now, !self.faults.no_report, self.flaw);
        let node = &mut self.nodes[n];
        node.dispatch_incarnation = self.last_incarnation;
        node.ownership = fresh.ownership;
        node.membership = fresh.membership;
        node.granted.clear();
        node.ended.clear();
        node.gate = fresh.gate;
        node.paused = false;
    }

    /// The instance at `at` starts leaving, crashes and is removed, or returns.
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
        self.lists.push(PublishedList { at: self.now, list });
    }

    pub(super) fn change_partition(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(1, 2)? {
            self.partitions.clear();
            return Ok(());
        }
        let other = u.choose_index(NODES)?;
        if other != at {
            self.partitions.push((at.min(other), at.max(other)));
        }
        Ok(())
    }

    pub(super) fn lose_or_duplicate(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let may = |m: &Message| {
            matches!(
                m.payload,
                Payload::TakeoverRequest(_) | Payload::TakeoverReply { .. } | Payload::Handover { .. }
            )
        };
        let Some(at) = self.in_transit.iter().position(may) else {
            return Ok(());
        };
        match u.arbitrary()? {
            true => self.in_transit.push(self.in_transit[at].clone()),
            false => drop(self.in_transit.swap_remove(at)),
        }
        Ok(())
    }
}
