//! Pool of idle connections by address, and the client's options. The pool also counts the bytes of the response bodies
//! being buffered.
//!
//! Idle connections can end at any time: the endpoint closes or resets them, or sends bytes that belong to no response.
//! While there are any, one task for the whole pool waits for that ([`Pool::watch`]). It is registered with the runtime
//! for each of them, so that an idle connection has no buffer, no task and no timer of its own, and nothing wakes up for
//! those on which nothing arrives.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use celerytide_types::{BootTime, now_boot};
use http::HeaderName;
use monoio::time::timeout;

use super::answered::IdHash;
use super::conn::Conn;

const MAX_IDLE_PER_ADDR: usize = 64;
const MAX_IDLE_TOTAL: usize = 1024;
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// An idle connection isn't reused in the last quarter of the endpoint's `keep-alive` timeout, so that no request is sent
/// while the endpoint is closing the connection.
const KEEP_ALIVE_UNUSED_DIVISOR: u32 = 4;
/// Interval at which connections are dropped that have been idle for too long.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
const USER_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;
const REQUEST_ID_HEADER: &str = "x-request-id";
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of idle connections to one address.
    pub idle_per_addr: usize,
    /// Maximum number of idle connections to all addresses.
    pub idle_total: usize,
    /// Time after which an idle connection is dropped; time in which the machine is suspended counts.
    pub idle_age: Duration,
    /// `TCP_USER_TIMEOUT`: time after which the kernel drops a connection whose peer acknowledges nothing, neither data nor the
    /// probes of `tcp_keepalive`; without either it drops none.
    pub user_timeout: Duration,
    /// Time after which a write without progress fails.
    pub write_timeout: Duration,
    /// Header that holds the request id. A response with another value belongs to another request and is rejected, and so is
    /// one without the header on a connection on which an earlier response had it.
    pub id_header: HeaderName,
    /// Reuses a connection after a response that doesn't name its request, though the request has an id. Nothing tells a late
    /// copy of such a response from the next one.
    pub reuse_nameless: bool,
    /// Accepts responses without a declared length, which end when their connection closes.
    pub until_close: bool,
    /// Maximum number of bytes buffered by all concurrent [`send_buffered`](super::Client::send_buffered) calls.
    pub max_buffered: usize,
    /// Interval of TCP keepalive probes on idle connections; `None` sends no probes.
    pub tcp_keepalive: Option<Duration>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            idle_per_addr: MAX_IDLE_PER_ADDR,
            idle_total: MAX_IDLE_TOTAL,
            idle_age: MAX_IDLE_AGE,
            user_timeout: USER_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            id_header: HeaderName::from_static(REQUEST_ID_HEADER),
            reuse_nameless: true,
            until_close: false,
            max_buffered: MAX_BUFFERED_BYTES,
            tcp_keepalive: None,
        }
    }
}

struct IdleConn {
    conn: Conn,
    idle_since: BootTime,
    expires_at: BootTime,
}

/// The idle connections of a client, and the bytes that it buffers.
pub(super) struct Pool {
    opts: Options,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConn>>>,
    /// Maximum number of idle connections to addresses that take fewer than [`Options::idle_per_addr`].
    idle_limits: RefCell<HashMap<SocketAddr, usize>>,
    /// Whether the task of [`Pool::watch`] exists.
    is_watched: Cell<bool>,
    /// Wakes that task.
    watcher: RefCell<Waker>,
    buffered: Cell<usize>,
}

/// Bytes of one response being buffered, counted against [`Options::max_buffered`] until dropped.
pub(super) struct BufferReservation {
    pool: Rc<Pool>,
    bytes: usize,
}

impl BufferReservation {
    pub(super) fn new(pool: Rc<Pool>) -> Self {
        BufferReservation { pool, bytes: 0 }
    }

    /// Adds further bytes; returns false, and adds nothing, if that exceeds the limit for all responses.
    pub(super) fn try_add(&mut self, bytes: usize) -> bool {
        let total = self.pool.buffered.get() + bytes;
        if total > self.pool.opts.max_buffered {
            return false;
        }
        self.pool.buffered.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.pool.buffered.set(self.pool.buffered.get() - self.bytes);
    }
}

impl Pool {
    pub(super) fn new(opts: Options) -> Self {
        Pool {
            opts,
            idle: RefCell::default(),
            idle_limits: RefCell::default(),
            is_watched: Cell::new(false),
            watcher: RefCell::new(Waker::noop().clone()),
            buffered: Cell::new(0),
        }
    }

    pub(super) fn options(&self) -> &Options {
        &self.opts
    }

    pub(super) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Replaces the maximum numbers of idle connections by address; drops those beyond them that were idle for longest.
    pub(super) fn set_idle_limits(&self, limits: HashMap<SocketAddr, usize>) {
        self.idle_limits.replace(limits);
        self.idle.borrow_mut().retain(|addr, list| {
            let surplus = list.len().saturating_sub(self.max_idle_to(*addr));
            list.drain(..surplus);
            !list.is_empty()
        });
    }

    fn max_idle_to(&self, addr: SocketAddr) -> usize {
        let limit = self.idle_limits.borrow().get(&addr).copied();
        limit.unwrap_or(usize::MAX).min(self.opts.idle_per_addr)
    }

    /// Takes the most recently used connection; drops connections that expired, closed or hold unexpected bytes. One that
    /// was idle for longer than `max_idle`, or on which the request `id` was answered before, stays in the pool.
    pub(super) fn take(&self, addr: SocketAddr, max_idle: Option<Duration>, id: Option<IdHash>) -> Option<Conn> {
        let now = now_boot();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        let is_too_old = |of: &IdleConn| max_idle.is_some_and(|max| now.since(of.idle_since) > max);
        let was_answered = |on: &IdleConn| id.is_some_and(|id| on.conn.answered.contains(id));
        let mut index = list.len();
        while let Some(i) = index.checked_sub(1) {
            index = i;
            if now >= list[i].expires_at || !list[i].conn.is_reusable() {
                list.remove(i);
                continue;
            }
            // All connections before it have been idle for longer.
            if is_too_old(&list[i]) {
                return None;
            }
            if !was_answered(&list[i]) {
                return Some(list.remove(i).conn);
            }
        }
        if list.is_empty() {
            idle.remove(&addr);
        }
        None
    }

    /// Adds a connection whose last response was read to its end; the one that has been idle for longest makes room for it.
    /// `http_keep_alive` is the idle timeout declared by the endpoint; without one, [`Options::idle_age`] applies.
    pub(super) fn put(self: &Rc<Self>, addr: SocketAddr, mut conn: Conn, http_keep_alive: Option<Duration>) {
        let count = self.idle.borrow().get(&addr).map_or(0, Vec::len);
        let is_surplus = count >= self.max_idle_to(addr) || conn.answered.is_full();
        if self.opts.idle_total == 0 || is_surplus || self.poll_ended(&mut conn).is_ready() {
            return;
        }
        if self.idle_count() >= self.opts.idle_total {
            self.drop_oldest();
        }
        conn.reader.release_buffer();
        conn.reader.allow_large_reads(true);
        conn.is_used = true;
        let now = now_boot();
        let age = http_keep_alive.map_or(self.opts.idle_age, |stated| self.reuse_time(stated));
        self.idle.borrow_mut().entry(addr).or_default().push(IdleConn {
            conn,
            idle_since: now,
            expires_at: now.after(age),
        });
        if !self.is_watched.replace(true) {
            monoio::spawn(Pool::watch(Rc::downgrade(self)));
        }
    }

    /// Drops the connection that has been idle for longest; it is the first one of its address.
    fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let firsts = idle
            .iter()
            .filter_map(|(addr, list)| Some((*addr, list.first()?.idle_since)));
        let Some((addr, _)) = firsts.min_by_key(|(_, since)| *since) else {
            return;
        };
        if let Some(list) = idle.get_mut(&addr) {
            list.remove(0);
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Registers the watching task for a connection that becomes idle; ready if that has already ended.
    fn poll_ended(&self, conn: &mut Conn) -> Poll<()> {
        conn.reader.poll_ended(&mut Context::from_waker(&self.watcher.borrow()))
    }

    /// Drops connections that ended or expired, as long as there are idle ones. Holds no reference to the pool while it
    /// waits, so that dropping the client closes them.
    async fn watch(pool: Weak<Pool>) {
        loop {
            let ended = poll_fn(|cx| {
                if let Some(pool) = pool.upgrade() {
                    pool.drop_ended(cx);
                }
                Poll::<()>::Pending
            });
            // Always an error, since `ended` never is ready.
            let _ = timeout(EXPIRY_INTERVAL, ended).await;
            let Some(pool) = pool.upgrade() else {
                return;
            };
            let now = now_boot();
            pool.retain(|idle_conn| now < idle_conn.expires_at);
            if pool.idle_count() == 0 {
                pool.is_watched.set(false);
                pool.watcher.replace(Waker::noop().clone());
                return;
            }
        }
    }

    /// Drops the connections that ended, and registers `cx` for the others. Costs a system call only for those on which
    /// something arrived.
    fn drop_ended(&self, cx: &mut Context<'_>) {
        self.watcher.borrow_mut().clone_from(cx.waker());
        self.retain(|idle_conn| idle_conn.conn.reader.poll_ended(cx).is_pending());
    }

    fn retain(&self, mut is_kept: impl FnMut(&mut IdleConn) -> bool) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain_mut(&mut is_kept);
            !list.is_empty()
        });
    }

    /// Time for which a connection is reused whose endpoint states this idle timeout. The endpoint may state any number of
    /// seconds, so the timeout is never multiplied.
    fn reuse_time(&self, stated: Duration) -> Duration {
        let used = stated - stated / KEEP_ALIVE_UNUSED_DIVISOR;
        used.min(self.opts.idle_age)
    }
}
