//! The memory account of a process: its ledger, free blocks, counters and measurements.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use celerytide_types::{BootTime, now_boot};
use monoio::time::sleep;
use tracing::warn;

use super::blocks::{BLOCK_BYTES, FreeBlocks, new_block};
use super::ledger::{HolderId, Ledger, NoRoom, Part};
use super::limit::{Limit, resident_bytes};

/// Interval at which the resident memory is measured, besides measurements while it grows.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of new blocks after which the resident memory is measured again.
const MEASURE_BYTES: usize = 2_000_000;
/// Least time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What was refused for lack of memory or descriptors; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A connection.
    Connection,
    /// The head of a request.
    Head,
    /// The body of a request.
    Body,
    /// A complete request, because the process has too few descriptors to pass it on.
    Descriptors,
}

/// Which connection was closed so that others have room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// One on which no request was being received.
    Idle,
    /// One whose request made no progress.
    Receiving,
    /// One whose caller read nothing of a response.
    Reader,
    /// One that sent much more while its request was running.
    Unread,
}

/// Names of the refusals, in the order of [`Refusal`].
const REFUSALS: [&str; 4] = ["connection", "head", "body", "descriptors"];
/// Names of the closings, in the order of [`Closing`].
const CLOSINGS: [&str; 4] = ["idle", "receiving", "reader", "unread"];

/// Use of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Memory that the process may use.
    pub limit_bytes: usize,
    /// Bytes charged.
    pub account_bytes: usize,
    /// Resident memory when it was last measured.
    pub resident_bytes: usize,
    /// Refusals so far, by cause.
    pub refusals: [(&'static str, u64); REFUSALS.len()],
    /// Closings so far, by cause.
    pub closings: [(&'static str, u64); CLOSINGS.len()],
}

/// The memory account of a process; clones share it.
#[derive(Clone)]
pub struct Account {
    shared: Rc<Shared>,
}

struct Shared {
    limit: Limit,
    ledger: RefCell<Ledger>,
    free: RefCell<FreeBlocks>,
    /// Wakers of connections that wait to be evicted, by their id.
    wakers: RefCell<Vec<Option<Waker>>>,
    refusals: [Cell<u64>; REFUSALS.len()],
    closings: [Cell<u64>; CLOSINGS.len()],
    resident: Cell<usize>,
    /// Bytes of new blocks since the last measurement.
    fresh: Cell<usize>,
    logged_at: Cell<BootTime>,
    /// Refusals and closings since the last log line.
    unlogged: Cell<u64>,
    is_watched: Cell<bool>,
}

impl Account {
    /// Creates the account of a process with this memory limit.
    pub fn new(limit: Limit) -> Account {
        let account = Account {
            shared: Rc::new(Shared {
                limit,
                ledger: RefCell::new(Ledger::new(limit.bytes)),
                free: RefCell::default(),
                wakers: RefCell::default(),
                refusals: Default::default(),
                closings: Default::default(),
                resident: Cell::new(0),
                fresh: Cell::new(0),
                logged_at: Cell::default(),
                unlogged: Cell::new(0),
                is_watched: Cell::new(false),
            }),
        };
        account.shared.measure();
        account
    }

    /// The memory limit.
    pub fn limit(&self) -> Limit {
        self.shared.limit
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.shared.ledger.borrow().len()
    }

    /// Present use.
    pub fn usage(&self) -> Usage {
        let shared = &self.shared;
        let count = |names: &[&'static str], n: usize, cell: &Cell<u64>| (names[n], cell.get());
        Usage {
            limit_bytes: shared.limit.bytes,
            account_bytes: shared.ledger.borrow().total(),
            resident_bytes: shared.resident.get(),
            refusals: std::array::from_fn(|n| count(&REFUSALS, n, &shared.refusals[n])),
            closings: std::array::from_fn(|n| count(&CLOSINGS, n, &shared.closings[n])),
        }
    }

    /// Measures the resident memory from time to time until the account is dropped. Only the first call has an effect.
    pub(crate) fn watch(&self) {
        if !self.shared.is_watched.replace(true) {
            monoio::spawn(watch(Rc::downgrade(&self.shared)));
        }
    }

    pub(super) fn open_holder(&self, address: IpAddr) -> Result<HolderId, NoRoom> {
        let opened = self.shared.ledger.borrow_mut().open(address, now_boot());
        self.shared.settle();
        opened
    }

    pub(super) fn close_holder(&self, id: HolderId) {
        self.shared.ledger.borrow_mut().close(id);
        if let Some(waker) = self.shared.wakers.borrow_mut().get_mut(id) {
            *waker = None;
        }
    }

    pub(super) fn with_ledger<T>(&self, change: impl FnOnce(&mut Ledger) -> T) -> T {
        change(&mut self.shared.ledger.borrow_mut())
    }

    pub(super) fn resize(&self, id: HolderId, part: Part, bytes: usize) -> Result<(), NoRoom> {
        let resized = self.with_ledger(|ledger| ledger.resize(id, part, bytes, now_boot()));
        self.shared.settle();
        resized
    }

    /// Closes the connection that was idle longest; returns whether there was one.
    pub(crate) fn evict_idle(&self) -> bool {
        let is_evicted = self.with_ledger(|ledger| ledger.evict_idle(now_boot()));
        self.shared.settle();
        is_evicted
    }

    /// Takes a block for the body of a connection and charges it.
    pub(super) fn take_block(&self, id: HolderId) -> Result<BytesMut, NoRoom> {
        let free = self.shared.free.borrow_mut().take();
        let block = free.or_else(|| self.shared.new_block()).ok_or(NoRoom)?;
        let charged = self.with_ledger(|ledger| ledger.charge(id, Part::Body));
        let resized = self.resize(id, Part::Body, charged + BLOCK_BYTES);
        if resized.is_err() {
            self.shared.free.borrow_mut().put_block(block);
            return Err(NoRoom);
        }
        Ok(block)
    }

    /// Takes back the blocks of a body.
    pub(super) fn put_blocks(&self, segments: impl Iterator<Item = Bytes>) {
        let mut free = self.shared.free.borrow_mut();
        segments.for_each(|segment| free.put(segment));
    }

    pub(super) fn set_waker(&self, id: HolderId, waker: &Waker) {
        let mut wakers = self.shared.wakers.borrow_mut();
        if wakers.len() <= id {
            wakers.resize(id + 1, None);
        }
        match &mut wakers[id] {
            Some(known) => known.clone_from(waker),
            none => *none = Some(waker.clone()),
        }
    }

    /// Counts a refusal.
    pub fn note_refusal(&self, refusal: Refusal) {
        self.shared.note(&self.shared.refusals[refusal as usize]);
    }

    /// Counts a closing.
    pub(crate) fn note_closing(&self, closing: Closing) {
        self.shared.note(&self.shared.closings[closing as usize]);
    }
}

impl Shared {
    /// Wakes evicted connections, and keeps free blocks within what is left.
    fn settle(&self) {
        let mut ledger = self.ledger.borrow_mut();
        let evicted = ledger.take_evicted();
        let mut free = self.free.borrow_mut();
        let over = (ledger.total() + free.bytes()).saturating_sub(ledger.capacity());
        if over > 0 {
            free.release(over);
        }
        drop((ledger, free));
        for id in evicted {
            let waker = self.wakers.borrow_mut().get_mut(id).and_then(Option::take);
            waker.into_iter().for_each(Waker::wake);
        }
    }

    /// Allocates a block if the resident memory may grow; otherwise a stalled body is asked to return its blocks.
    fn new_block(&self) -> Option<BytesMut> {
        if self.fresh.get() >= MEASURE_BYTES {
            self.measure();
        }
        let is_taken = self.ledger.borrow_mut().take_fresh(BLOCK_BYTES);
        if !is_taken {
            self.measure();
            if !self.ledger.borrow_mut().take_fresh(BLOCK_BYTES) {
                self.ledger.borrow_mut().evict_bulk(now_boot());
                self.settle();
                return None;
            }
        }
        self.fresh.set(self.fresh.get() + BLOCK_BYTES);
        Some(new_block())
    }

    /// Measures the resident memory; releases free blocks if it is near the limit.
    fn measure(&self) {
        let Some(resident) = resident_bytes() else {
            return;
        };
        self.resident.set(resident);
        self.fresh.set(0);
        let excess = self.ledger.borrow_mut().note_resident(resident);
        if excess > 0 {
            self.free.borrow_mut().release(excess);
        }
    }

    fn note(&self, counter: &Cell<u64>) {
        counter.set(counter.get() + 1);
        self.unlogged.set(self.unlogged.get() + 1);
        let now = now_boot();
        if now.since(self.logged_at.get()) < LOG_INTERVAL {
            return;
        }
        self.logged_at.set(now);
        let count = |names: &[&'static str], cells: &[Cell<u64>]| {
            let counts = cells.iter().map(Cell::get);
            names.iter().copied().zip(counts).collect::<Vec<_>>()
        };
        warn!(
            events = self.unlogged.replace(0),
            refusals = ?count(&REFUSALS, &self.refusals),
            closings = ?count(&CLOSINGS, &self.closings),
            account_bytes = self.ledger.borrow().total(),
            resident_bytes = self.resident.get(),
            limit_bytes = self.limit.bytes,
            "memory: refused or closed"
        );
    }
}

async fn watch(account: Weak<Shared>) {
    while let Some(account) = account.upgrade() {
        account.measure();
        drop(account);
        sleep(MEASURE_INTERVAL).await;
    }
}
