//! A connection's part of the memory account.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Poll;

use bytes::BytesMut;
use celerytide_types::now_boot;

use super::account::{Account, Closing, Refusal};
use super::ledger::{HolderId, NoRoom, Part};
use crate::h1::yield_now;

/// What a large response holds: a body that is buffered up to 64 KiB, in a buffer that doubles, and reads of as much.
const LARGE_RESPONSE_BYTES: usize = 256 * 1024;
/// What the kernel holds of bytes that aren't read: the receive buffer with its overhead.
const UNREAD_BYTES: usize = 128 * 1024;

/// Times that evicted connections get to run before a body is refused. They run once each, but a task that was ready
/// before may run first.
const MAX_YIELDS: usize = 4;

thread_local! {
    /// The connection whose request is being handled.
    static CURRENT: RefCell<Option<Rc<Holder>>> = const { RefCell::new(None) };
}

/// A connection in the account; dropping it ends all of its charges.
pub(crate) struct Holder {
    account: Account,
    id: HolderId,
}

impl Holder {
    /// Adds a connection to the account.
    pub(crate) fn open(account: &Account, address: IpAddr) -> Result<Rc<Holder>, NoRoom> {
        let id = account.open_holder(address)?;
        Ok(Rc::new(Holder {
            account: account.clone(),
            id,
        }))
    }

    pub(crate) fn account(&self) -> &Account {
        &self.account
    }

    /// Notes that the connection waits for its peer, from now on or after progress.
    pub(crate) fn wait(&self) {
        self.account.with_ledger(|ledger| ledger.wait(self.id, now_boot()));
    }

    /// Notes that the connection's request is being handled.
    pub(crate) fn run(&self) {
        self.account.with_ledger(|ledger| ledger.run(self.id));
    }

    /// Ends the charges of a request.
    pub(crate) fn end_request(&self) {
        for part in [Part::Body, Part::Response] {
            if self.account.with_ledger(|ledger| ledger.charge(self.id, part)) > 0 {
                // A smaller charge always fits.
                let _ = self.account.resize(self.id, part, 0);
            }
        }
        self.set_customer(None);
    }

    /// Sets the customer of the current request.
    pub(crate) fn set_customer(&self, customer: Option<u64>) {
        self.account
            .with_ledger(|ledger| ledger.set_customer(self.id, customer));
    }

    /// Charges a read buffer of `bytes` beyond the usual size.
    pub(crate) fn charge_buffer(&self, bytes: usize) -> Result<(), NoRoom> {
        self.account.resize(self.id, Part::Buffer, bytes)
    }

    /// Charges a large response.
    pub(crate) fn charge_response(&self) -> Result<(), NoRoom> {
        self.account.resize(self.id, Part::Response, LARGE_RESPONSE_BYTES)
    }

    /// Charges what the kernel holds of a connection that isn't read.
    pub(crate) fn charge_unread(&self) -> Result<(), NoRoom> {
        let charged = self.account.with_ledger(|ledger| ledger.charge(self.id, Part::Body));
        self.account.resize(self.id, Part::Body, charged + UNREAD_BYTES)
    }

    /// Takes a block for the body of the current request; waits for evicted connections to return theirs.
    pub(super) async fn take_block(&self) -> Result<BytesMut, NoRoom> {
        for _ in 0..MAX_YIELDS {
            let taken = self.account.take_block(self.id);
            if taken.is_ok() || !self.account.with_ledger(|ledger| ledger.is_leaving()) {
                return taken;
            }
            yield_now().await;
        }
        Err(NoRoom)
    }

    pub(crate) fn note_refusal(&self, refusal: Refusal) {
        self.account.note_refusal(refusal);
    }

    pub(crate) fn note_closing(&self, closing: Closing) {
        self.account.note_closing(closing);
    }

    /// Waits until the connection has lost its place and must be closed.
    pub(crate) async fn evicted(&self) {
        poll_fn(|cx| {
            if self.account.with_ledger(|ledger| ledger.is_evicted(self.id)) {
                return Poll::Ready(());
            }
            self.account.set_waker(self.id, cx.waker());
            Poll::Pending
        })
        .await
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.account.close_holder(self.id);
    }
}

/// Polls `work` as the handling of a request of `holder`.
pub(crate) async fn with_holder<T>(holder: Rc<Holder>, work: impl Future<Output = T>) -> T {
    let mut work = std::pin::pin!(work);
    let mut holder = Some(holder);
    poll_fn(|cx| {
        let outer = CURRENT.replace(holder.take());
        let polled = work.as_mut().poll(cx);
        holder = CURRENT.replace(outer);
        polled
    })
    .await
}

/// The connection whose request is being handled by the current task, if any.
pub(crate) fn current_holder() -> Option<Rc<Holder>> {
    CURRENT.with_borrow(Clone::clone)
}
