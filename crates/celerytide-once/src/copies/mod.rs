//! Copies of the ticket outcomes of stopped entries, stored at other entries.
//!
//! A copy provides the recorded outcome for lookups and repeated requests. It never permits a run: nothing in this
//! module can create an [`Attempt`](crate::Attempt).

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use celerytide_types::{InstanceId, TicketId, data, rendezvous_weight};

use crate::registry::{BeginResult, LookupResult, Outcome};
use crate::ticket::Ticket;

data! {
    /// One ticket's outcome at the time its registry was closed.
    pub struct OutcomeCopy {
        /// Text of the ticket.
        pub ticket: TicketId,
        /// Fingerprint of the request that used the ticket; absent if it was not used.
        pub fingerprint: Option<u64>,
        /// Outcome of the ticket.
        pub outcome: Outcome,
    }
}

/// A store of copies with bounded size; the oldest copies are dropped first.
#[derive(Debug)]
pub struct OutcomeCopies {
    max_bytes: usize,
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    by_ticket: HashMap<TicketId, OutcomeCopy>,
    order: VecDeque<TicketId>,
    bytes: usize,
}

/// Bytes accounted for a copy in addition to its response.
const COPY_BYTES: usize = 256;

impl OutcomeCopies {
    /// Creates an empty store for up to `max_bytes`, which includes a fixed overhead per copy.
    pub fn new(max_bytes: usize) -> OutcomeCopies {
        OutcomeCopies {
            max_bytes,
            inner: RefCell::default(),
        }
    }

    /// Adds copies; the first copy of a ticket is kept.
    pub fn import(&self, copies: Vec<OutcomeCopy>) {
        let mut inner = self.inner.borrow_mut();
        for copy in copies {
            inner.put(copy, self.max_bytes);
        }
    }

    /// Looks up the state of a ticket, if a copy is stored.
    pub fn look_up(&self, ticket: &Ticket) -> Option<LookupResult> {
        let inner = self.inner.borrow();
        let copy = inner.by_ticket.get(&ticket.id())?;
        Some(LookupResult::Finished(copy.outcome.clone()))
    }

    /// Result for a repeated request, if a copy is stored: the recorded outcome or a refusal, never a run.
    pub fn begin(&self, ticket: &Ticket, fingerprint: u64) -> Option<BeginResult> {
        let inner = self.inner.borrow();
        let copy = inner.by_ticket.get(&ticket.id())?;
        match copy.fingerprint {
            None => Some(BeginResult::Expired),
            Some(used) if used != fingerprint => Some(BeginResult::OtherRequest),
            Some(_) => Some(BeginResult::Finished(copy.outcome.clone())),
        }
    }

    /// Number of stored copies.
    pub fn len(&self) -> usize {
        self.inner.borrow().by_ticket.len()
    }

    /// Whether no copy is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Inner {
    fn put(&mut self, copy: OutcomeCopy, max_bytes: usize) {
        let bytes = copy.bytes();
        if bytes > max_bytes || self.by_ticket.contains_key(&copy.ticket) {
            return;
        }
        self.bytes += bytes;
        self.order.push_back(copy.ticket.clone());
        self.by_ticket.insert(copy.ticket.clone(), copy);
        while self.bytes > max_bytes {
            let Some(oldest) = self.order.pop_front() else { return };
            let dropped = self.by_ticket.remove(&oldest);
            self.bytes -= dropped.map_or(0, |c| c.bytes());
        }
    }
}

impl OutcomeCopy {
    fn bytes(&self) -> usize {
        COPY_BYTES + self.outcome.response.as_ref().map_or(0, |a| a.bytes())
    }
}

/// The `count` instances that store copies of the outcomes of the stopped instance `issuer`.
///
/// These are the instances with the highest rendezvous weight, without `issuer` itself. The sender and a reader of the
/// copies select the same ones as far as their instance lists agree.
pub fn copy_holders<'a>(issuer: &str, instances: &'a [InstanceId], count: usize) -> Vec<&'a InstanceId> {
    let mut others: Vec<&InstanceId> = instances.iter().filter(|id| id.as_str() != issuer).collect();
    others.sort_by_key(|id| std::cmp::Reverse(rendezvous_weight(issuer, id)));
    others.truncate(count);
    others
}
