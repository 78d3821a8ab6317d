//! All customers of a manifest, found by the hash of their key.

use std::rc::Rc;

use super::{KeyHash, Section};
use crate::Customer;

/// A manifest's sections, and an index by key of its customers and theirs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CustomerIndex {
    sections: Box<[Rc<Section>]>,
    by_key: Box<[Slot]>,
}

/// Where a customer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    prefix: u64,
    /// Zero for the manifest itself, then the sections in order.
    part: u32,
    at: u32,
}

impl CustomerIndex {
    /// The index of a manifest's own `customers` and those of its sections.
    pub(crate) fn new(customers: &[Customer], sections: Vec<Rc<Section>>) -> CustomerIndex {
        let own = std::iter::once(customers);
        let parts = own.chain(sections.iter().map(|section| &*section.customers));
        let mut by_key = Vec::with_capacity(parts.clone().map(<[Customer]>::len).sum());
        for (part, customers) in (0..).zip(parts) {
            by_key.extend((0..).zip(customers).map(|(at, customer)| Slot {
                prefix: customer.key_sha256.prefix(),
                part,
                at,
            }));
        }
        by_key.sort_unstable();
        CustomerIndex {
            sections: sections.into(),
            by_key: by_key.into(),
        }
    }

    /// The sections in the manifest's order.
    pub fn sections(&self) -> &[Rc<Section>] {
        &self.sections
    }

    /// Number of customers.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is no customer.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The customer of that key, either of `customers`, the manifest's own, or of a section.
    pub(crate) fn find<'m>(&'m self, customers: &'m [Customer], key: &KeyHash) -> Option<&'m Customer> {
        let prefix = key.prefix();
        let first = self.by_key.partition_point(|slot| slot.prefix < prefix);
        let slots = self.by_key.get(first..)?.iter();
        let mut alike = slots.take_while(|slot| slot.prefix == prefix);
        alike.find_map(|slot| self.at(customers, slot).filter(|customer| customer.key_sha256 == *key))
    }

    fn at<'m>(&'m self, customers: &'m [Customer], slot: &Slot) -> Option<&'m Customer> {
        let part = usize::try_from(slot.part).ok()?;
        let at = usize::try_from(slot.at).ok()?;
        match part.checked_sub(1) {
            None => customers.get(at),
            Some(section) => self.sections.get(section)?.customers.get(at),
        }
    }
}
