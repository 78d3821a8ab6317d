//! Index of all customers of a manifest by the hash of their key.

use std::rc::Rc;

use super::{KeyHash, Section};
use crate::Customer;

/// A manifest's sections, and the index by key hash of its own customers and those of the sections.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CustomerIndex {
    sections: Box<[Rc<Section>]>,
    by_key: Box<[IndexEntry]>,
}

/// Position of a customer, sorted by the first bytes of its key hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IndexEntry {
    key_prefix: u64,
    /// 0 for the manifest itself; section i is i + 1.
    part: u32,
    position: u32,
}

impl CustomerIndex {
    /// Indexes a manifest's own `customers` and those of its sections.
    pub(crate) fn new(customers: &[Customer], sections: Vec<Rc<Section>>) -> CustomerIndex {
        let own = std::iter::once(customers);
        let parts = own.chain(sections.iter().map(|section| &*section.customers));
        let mut by_key = Vec::with_capacity(parts.clone().map(<[Customer]>::len).sum());
        for (part, customers) in (0..).zip(parts) {
            by_key.extend((0..).zip(customers).map(|(position, customer)| IndexEntry {
                key_prefix: customer.key_sha256.prefix(),
                part,
                position,
            }));
        }
        by_key.sort_unstable();
        CustomerIndex {
            sections: sections.into(),
            by_key: by_key.into(),
        }
    }

    /// Sections in the order that the manifest names them.
    pub fn sections(&self) -> &[Rc<Section>] {
        &self.sections
    }

    /// Number of customers in the manifest and its sections.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether neither the manifest nor a section has a customer.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The customer with that key hash, from the manifest's own `customers` or from a section.
    pub(crate) fn find<'m>(&'m self, customers: &'m [Customer], key: &KeyHash) -> Option<&'m Customer> {
        let key_prefix = key.prefix();
        let first = self.by_key.partition_point(|entry| entry.key_prefix < key_prefix);
        let entries = self.by_key.get(first..)?.iter();
        let mut same_prefix = entries.take_while(|entry| entry.key_prefix == key_prefix);
        same_prefix.find_map(|entry| {
            self.customer_at(customers, entry)
                .filter(|customer| customer.key_sha256 == *key)
        })
    }

    fn customer_at<'m>(&'m self, customers: &'m [Customer], entry: &IndexEntry) -> Option<&'m Customer> {
        let part = usize::try_from(entry.part).ok()?;
        let position = usize::try_from(entry.position).ok()?;
        match part.checked_sub(1) {
            None => customers.get(position),
            Some(section) => self.sections.get(section)?.customers.get(position),
        }
    }
}
