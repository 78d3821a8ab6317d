//! Decides which connection may hold how much memory. Performs no I/O and reads no clock.
//!
//! Charges are of two kinds: small ones (the connection and its read buffer) and bulk ones (bodies and large responses).
//! Bulk charges leave a part of the capacity to small ones, so that ordinary requests have room beside any number of
//! bodies. A connection that waits for its peer and made no progress for [`STALL_TIME`] loses its place when another
//! one needs the room; its charge counts until it is closed, because its memory is in use until then.

use std::net::IpAddr;
use std::time::Duration;

use celerytide_types::BootTime;
use snafu::Snafu;

use super::owners::{Charges, Owners, network};

/// Memory of an idle connection, or of one with a small request, in bytes.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Time without progress after which a waiting connection may lose its place. A body at 32 KB/s makes progress in it.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Part of the limit set aside for what isn't charged: overhead of the allocator, and memory of the kernel.
const MARGIN_DIVISOR: usize = 8;
/// Memory of the process without connections, in bytes.
const PROCESS_BYTES: usize = 16_000_000;
/// Least capacity, as a part of the limit, however small the limit is.
const MIN_CAPACITY_DIVISOR: usize = 4;
/// Part of the capacity by which connections that are losing their place may exceed it until they are closed.
const LEAVING_DIVISOR: usize = 16;

/// Identifies a connection in the ledger.
pub type HolderId = usize;

/// A share of a number, as numerator and denominator.
type Share = (usize, usize);

/// Share of the capacity that bulk charges may use.
const BULK_SHARE: Share = (3, 4);
/// Share of the bulk capacity that one customer may use.
const CUSTOMER_SHARE: Share = (3, 4);
/// Share of the capacity, and of the bulk capacity, that one address may use.
const ADDRESS_SHARE: Share = (7, 8);

/// What a charge is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// A read buffer of more than the usual size; a small charge.
    Buffer,
    /// The body of a request; a bulk charge.
    Body,
    /// A large response; a bulk charge.
    Response,
}

/// Number of parts; a [`Part`] is its index.
const PARTS: usize = 3;

impl Part {
    fn is_bulk(self) -> bool {
        self != Part::Buffer
    }
}

/// The charge doesn't fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the memory account has no room"))]
pub struct NoRoom;

#[derive(Debug)]
struct Holder {
    address: IpAddr,
    customer: Option<u64>,
    parts: [usize; PARTS],
    /// Whether it waits for its peer.
    is_waiting: bool,
    /// When it last made progress, if it waits.
    progress_at: BootTime,
    is_evicted: bool,
}

impl Holder {
    fn bulk(&self) -> usize {
        self.parts[Part::Body as usize] + self.parts[Part::Response as usize]
    }

    fn total(&self) -> usize {
        CONNECTION_BYTES + self.parts.iter().sum::<usize>()
    }

    fn owners(&self) -> Owners {
        Owners {
            address: self.address,
            customer: self.customer,
        }
    }
}

/// By how much a charge exceeds each limit.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Excess {
    total: usize,
    bulk: usize,
    address_total: usize,
    address_bulk: usize,
    customer: usize,
}

impl Excess {
    fn is_zero(self) -> bool {
        self == Excess::default()
    }

    /// What remains once `holder` has lost its place to a charge of `owners`.
    fn without(self, holder: &Holder, owners: &Owners) -> Excess {
        let (total, bulk) = (holder.total(), holder.bulk());
        let has_address = holder.address == owners.address;
        let has_customer = holder.customer.is_some() && holder.customer == owners.customer;
        let less = |excess: usize, freed: usize, counts: bool| excess.saturating_sub(if counts { freed } else { 0 });
        Excess {
            total: less(self.total, total, true),
            bulk: less(self.bulk, bulk, true),
            address_total: less(self.address_total, total, has_address),
            address_bulk: less(self.address_bulk, bulk, has_address),
            customer: less(self.customer, bulk, has_customer),
        }
    }
}

/// A charge that is asked for.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// The connection; `None` for a new one.
    holder: Option<HolderId>,
    owners: Owners,
    bytes: usize,
    is_bulk: bool,
}

/// Charges of all connections.
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    capacity: usize,
    holders: Vec<Option<Holder>>,
    free_ids: Vec<HolderId>,
    /// Charges by address and customer, without those of evicted connections.
    owners: Charges,
    total: usize,
    /// Bulk part of `total`.
    bulk: usize,
    /// Parts of `total` and `bulk` that evicted connections hold until they are closed.
    leaving: usize,
    leaving_bulk: usize,
    /// Connections evicted since [`Ledger::take_evicted`].
    evicted: Vec<HolderId>,
    /// No connection can be evicted before this time.
    no_stall_before: BootTime,
    /// Bytes by which resident memory may still grow until it is measured again.
    resident_room: usize,
}

impl Ledger {
    /// Creates an empty ledger for a process that may use `limit` bytes.
    pub fn new(limit: usize) -> Ledger {
        let capacity = (limit - limit / MARGIN_DIVISOR).saturating_sub(PROCESS_BYTES);
        Ledger {
            limit,
            capacity: capacity.max(limit / MIN_CAPACITY_DIVISOR),
            holders: Vec::new(),
            free_ids: Vec::new(),
            owners: Charges::default(),
            total: 0,
            bulk: 0,
            leaving: 0,
            leaving_bulk: 0,
            evicted: Vec::new(),
            no_stall_before: BootTime::default(),
            resident_room: usize::MAX,
        }
    }

    /// Bytes that connections may hold.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Bytes that are never exceeded, not even while connections lose their place.
    pub fn bound(&self) -> usize {
        self.capacity + self.capacity / LEAVING_DIVISOR
    }

    /// Bytes that bulk charges leave free for small ones.
    pub fn small_reserve(&self) -> usize {
        self.capacity - share(self.capacity, BULK_SHARE)
    }

    /// Bytes charged.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Whether evicted connections still hold memory.
    pub fn is_leaving(&self) -> bool {
        self.leaving > 0
    }

    /// Connections in the ledger.
    pub fn len(&self) -> usize {
        self.holders.len() - self.free_ids.len()
    }

    /// Whether it has no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a connection that waits for its first request.
    pub fn open(&mut self, address: IpAddr, now: BootTime) -> Result<HolderId, NoRoom> {
        let address = network(address);
        let demand = Demand {
            holder: None,
            owners: Owners {
                address,
                customer: None,
            },
            bytes: CONNECTION_BYTES,
            is_bulk: false,
        };
        self.make_room(&demand, now)?;
        let holder = Holder {
            address,
            customer: None,
            parts: [0; PARTS],
            is_waiting: true,
            progress_at: now,
            is_evicted: false,
        };
        self.no_stall_before = self.no_stall_before.min(now.after(STALL_TIME));
        self.owners.add(&demand.owners, CONNECTION_BYTES, 0);
        self.total += CONNECTION_BYTES;
        let id = self.free_ids.pop().unwrap_or(self.holders.len());
        if id == self.holders.len() {
            self.holders.push(None);
        }
        self.holders[id] = Some(holder);
        Ok(id)
    }

    /// Removes a connection and all of its charges.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders[id].take() else {
            return;
        };
        self.free_ids.push(id);
        self.total -= holder.total();
        self.bulk -= holder.bulk();
        if holder.is_evicted {
            self.leaving -= holder.total();
            self.leaving_bulk -= holder.bulk();
        } else {
            self.owners.subtract(&holder.owners(), holder.total(), holder.bulk());
        }
    }

    /// Sets the customer of a connection's current request.
    pub fn set_customer(&mut self, id: HolderId, customer: Option<u64>) {
        let Some(holder) = self.holders[id].as_mut().filter(|holder| !holder.is_evicted) else {
            return;
        };
        if holder.customer == customer {
            return;
        }
        let before = holder.owners();
        holder.customer = customer;
        let (after, total, bulk) = (holder.owners(), holder.total(), holder.bulk());
        self.owners.subtract(&before, total, bulk);
        self.owners.add(&after, total, bulk);
    }

    /// Sets the charge for a part of a connection to `bytes`, for which others may lose their place. Never fails if the
    /// charge isn't larger than before.
    pub fn resize(&mut self, id: HolderId, part: Part, bytes: usize, now: BootTime) -> Result<(), NoRoom> {
        let Some(holder) = self.holders[id].as_ref() else {
            return Err(NoRoom);
        };
        let before = holder.parts[part as usize];
        if bytes <= before {
            self.shrink(id, part, before - bytes);
            return Ok(());
        }
        if holder.is_evicted {
            return Err(NoRoom);
        }
        let more = bytes - before;
        let demand = Demand {
            holder: Some(id),
            owners: holder.owners(),
            bytes: more,
            is_bulk: part.is_bulk(),
        };
        self.make_room(&demand, now)?;
        let bulk = if part.is_bulk() { more } else { 0 };
        self.owners.add(&demand.owners, more, bulk);
        self.bulk += bulk;
        self.total += more;
        if let Some(holder) = self.holders[id].as_mut() {
            holder.parts[part as usize] = bytes;
        }
        Ok(())
    }

    /// Charge for a part of a connection.
    pub fn charge(&self, id: HolderId, part: Part) -> usize {
        self.holders[id]
            .as_ref()
            .map_or(0, |holder| holder.parts[part as usize])
    }

    /// Notes that a connection waits for its peer, from now on or after progress.
    pub fn wait(&mut self, id: HolderId, now: BootTime) {
        if let Some(holder) = self.holders[id].as_mut() {
            holder.is_waiting = true;
            holder.progress_at = now;
            self.no_stall_before = self.no_stall_before.min(now.after(STALL_TIME));
        }
    }

    /// Notes that a connection waits for something else than its peer; it keeps its place.
    pub fn run(&mut self, id: HolderId) {
        if let Some(holder) = self.holders[id].as_mut() {
            holder.is_waiting = false;
        }
    }

    /// Whether a connection has lost its place and must be closed.
    pub fn is_evicted(&self, id: HolderId) -> bool {
        self.holders[id].as_ref().is_some_and(|holder| holder.is_evicted)
    }

    /// Evicts the connection that has waited longest without progress and holds no body; returns whether there was one.
    pub fn evict_idle(&mut self, now: BootTime) -> bool {
        let stalled = self.stalled(None, now);
        let idle = stalled
            .into_iter()
            .find(|id| self.holders[*id].as_ref().is_some_and(|h| h.bulk() == 0));
        idle.into_iter().for_each(|id| self.evict(id));
        idle.is_some()
    }

    /// Evicts the connection with bulk charges that has waited longest without progress; returns whether there was one.
    pub fn evict_bulk(&mut self, now: BootTime) -> bool {
        let stalled = self.stalled(None, now);
        let holds_bulk = |id: &HolderId| self.holders[*id].as_ref().is_some_and(|h| h.bulk() > 0);
        let bulk = stalled.into_iter().find(holds_bulk);
        bulk.into_iter().for_each(|id| self.evict(id));
        bulk.is_some()
    }

    /// Connections evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<HolderId> {
        std::mem::take(&mut self.evicted)
    }

    /// Applies a measurement of the resident memory; returns by how many bytes it exceeds what is wanted.
    pub fn note_resident(&mut self, bytes: usize) -> usize {
        let wanted = self.limit - self.limit / MARGIN_DIVISOR;
        self.resident_room = wanted.saturating_sub(bytes);
        bytes.saturating_sub(wanted)
    }

    /// Takes memory that isn't resident yet; returns false if the resident memory may not grow by so much until it is
    /// measured again.
    pub fn take_fresh(&mut self, bytes: usize) -> bool {
        let left = self.resident_room.checked_sub(bytes);
        left.into_iter().for_each(|left| self.resident_room = left);
        left.is_some()
    }

    fn shrink(&mut self, id: HolderId, part: Part, less: usize) {
        let Some(holder) = self.holders[id].as_mut().filter(|_| less > 0) else {
            return;
        };
        let bulk = if part.is_bulk() { less } else { 0 };
        holder.parts[part as usize] -= less;
        self.total -= less;
        self.bulk -= bulk;
        if holder.is_evicted {
            self.leaving -= less;
            self.leaving_bulk -= bulk;
            return;
        }
        let owners = holder.owners();
        self.owners.subtract(&owners, less, bulk);
    }

    /// Evicts others until the demand fits; evicts none if it doesn't fit anyway.
    fn make_room(&mut self, demand: &Demand, now: BootTime) -> Result<(), NoRoom> {
        let allowance = self.capacity / LEAVING_DIVISOR;
        let bulk = if demand.is_bulk { self.bulk + demand.bytes } else { 0 };
        if self.total + demand.bytes > self.capacity + allowance || bulk > share(self.capacity, BULK_SHARE) + allowance
        {
            return Err(NoRoom);
        }
        let excess = self.excess(demand);
        if excess.is_zero() {
            return Ok(());
        }
        let victims = self.victims(demand, excess, now).ok_or(NoRoom)?;
        victims.into_iter().for_each(|id| self.evict(id));
        Ok(())
    }

    fn excess(&self, demand: &Demand) -> Excess {
        let over = |held: usize, capacity: usize| (held + demand.bytes).saturating_sub(capacity);
        let address = self.owners.of_address(demand.owners.address);
        let mut excess = Excess {
            total: over(self.total - self.leaving, self.capacity),
            address_total: over(address.total, share(self.capacity, ADDRESS_SHARE)),
            ..Excess::default()
        };
        if demand.is_bulk {
            let capacity = share(self.capacity, BULK_SHARE);
            excess.bulk = over(self.bulk - self.leaving_bulk, capacity);
            excess.address_bulk = over(address.bulk, share(capacity, ADDRESS_SHARE));
        }
        if let Some(customer) = demand.owners.customer.filter(|_| demand.is_bulk) {
            let capacity = share(share(self.capacity, BULK_SHARE), CUSTOMER_SHARE);
            excess.customer = over(self.owners.bulk_of_customer(customer), capacity);
        }
        excess
    }

    /// The stalled connections, longest first, whose eviction makes the demand fit.
    fn victims(&mut self, demand: &Demand, mut excess: Excess, now: BootTime) -> Option<Vec<HolderId>> {
        let mut victims = Vec::new();
        for id in self.stalled(demand.holder, now) {
            let holder = self.holders[id].as_ref()?;
            let left = excess.without(holder, &demand.owners);
            // A body doesn't take the place of connections that hold none: they are many, and each frees little.
            if left == excess || demand.is_bulk && holder.bulk() == 0 {
                continue;
            }
            victims.push(id);
            excess = left;
            if excess.is_zero() {
                return Some(victims);
            }
        }
        None
    }

    /// Connections other than `asking` that may be evicted, in the order of their last progress.
    fn stalled(&mut self, asking: Option<HolderId>, now: BootTime) -> Vec<HolderId> {
        if now < self.no_stall_before {
            return Vec::new();
        }
        let waiting = |holder: &&Holder| holder.is_waiting && !holder.is_evicted;
        let holders = self.holders.iter().enumerate();
        let waiting = holders.filter_map(|(id, holder)| Some((holder.as_ref().filter(waiting)?.progress_at, id)));
        let mut waiting: Vec<(BootTime, HolderId)> = waiting.collect();
        let first = waiting.iter().map(|(at, _)| at.after(STALL_TIME)).min();
        self.no_stall_before = first.unwrap_or(now.after(STALL_TIME));
        waiting.retain(|(at, id)| now.since(*at) >= STALL_TIME && Some(*id) != asking);
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    fn evict(&mut self, id: HolderId) {
        let Some(mut holder) = self.holders[id].take() else {
            return;
        };
        holder.is_evicted = true;
        self.leaving += holder.total();
        self.leaving_bulk += holder.bulk();
        self.owners.subtract(&holder.owners(), holder.total(), holder.bulk());
        self.holders[id] = Some(holder);
        self.evicted.push(id);
    }
}

fn share(bytes: usize, (numerator, denominator): Share) -> usize {
    bytes / denominator * numerator
}
