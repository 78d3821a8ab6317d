//! Idle connections, by endpoint.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, now_boot};
use http::HeaderName;

use super::conn::Conn;

const IDLE_PER_ADDR: usize = 64;
const IDLE_TOTAL: usize = 1024;
const IDLE_AGE: Duration = Duration::from_secs(20);
/// Share of the idle time stated by an endpoint for which a connection is used: three quarters, so that a request does
/// not meet the endpoint's close on its way.
const STATED_SHARE: u32 = 3;
const STATED_WHOLE: u32 = 4;
const SILENCE: Duration = Duration::from_secs(20);
const GATHERED: usize = 64 * 1024 * 1024;
const REQUEST_ID: &str = "x-request-id";
const WRITE_STALL: Duration = Duration::from_secs(20);

/// Settings of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Idle connections kept for one endpoint.
    pub idle_per_addr: usize,
    /// Idle connections kept in all.
    pub idle_total: usize,
    /// Age at which an idle connection is dropped; suspended time counts.
    pub idle_age: Duration,
    /// Time after which the system ends a connection whose peer acknowledges nothing.
    pub silence: Duration,
    /// Time for which a single write may make no progress.
    pub write: Duration,
    /// Header that names a request; an answer that carries another value belongs to another request.
    pub id_header: HeaderName,
    /// Takes answers that state no length and end with their connection.
    pub until_close: bool,
    /// Bytes of answers that are being gathered whole, of all calls together.
    pub max_buffered: usize,
    /// Probes idle connections after this silence, and each time it lasts again; `None` sends no probes.
    pub probe: Option<Duration>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            idle_per_addr: IDLE_PER_ADDR,
            idle_total: IDLE_TOTAL,
            idle_age: IDLE_AGE,
            silence: SILENCE,
            write: WRITE_STALL,
            id_header: HeaderName::from_static(REQUEST_ID),
            until_close: false,
            max_buffered: GATHERED,
            probe: None,
        }
    }
}

struct Idle {
    conn: Conn,
    since: BootTime,
    until: BootTime,
}

/// Idle connections.
pub(super) struct Pool {
    opts: Options,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    swept: Cell<BootTime>,
    gathered: Cell<usize>,
}

/// Bytes of one answer that is being gathered, counted in the pool until it is dropped.
pub(super) struct Gathered {
    pool: Rc<Pool>,
    bytes: usize,
}

impl Gathered {
    pub(super) fn new(pool: Rc<Pool>) -> Self {
        Gathered { pool, bytes: 0 }
    }

    /// Counts further bytes; false if all answers together are too large then.
    pub(super) fn add(&mut self, bytes: usize) -> bool {
        let all = self.pool.gathered.get() + bytes;
        if all > self.pool.opts.max_buffered {
            return false;
        }
        self.pool.gathered.set(all);
        self.bytes += bytes;
        true
    }
}

impl Drop for Gathered {
    fn drop(&mut self) {
        self.pool.gathered.set(self.pool.gathered.get() - self.bytes);
    }
}

impl Pool {
    pub(super) fn new(opts: Options) -> Self {
        Pool {
            opts,
            idle: RefCell::new(HashMap::new()),
            swept: Cell::new(now_boot()),
            gathered: Cell::new(0),
        }
    }

    pub(super) fn options(&self) -> &Options {
        &self.opts
    }

    pub(super) fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Takes the connection that was used last, no longer ago than `max_idle`, and is still open and silent; drops
    /// those that are not.
    pub(super) fn take(&self, addr: SocketAddr, max_idle: Option<Duration>) -> Option<Conn> {
        let now = now_boot();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(entry) = list.pop() {
            if now < entry.until && entry.conn.is_quiet() {
                if max_idle.is_some_and(|max| now.since(entry.since) > max) {
                    list.push(entry);
                    return None;
                }
                return Some(entry.conn);
            }
        }
        idle.remove(&addr);
        None
    }

    /// Keeps a connection whose last answer ended properly.
    /// `stated` is the idle time that the endpoint allows.
    pub(super) fn put(&self, addr: SocketAddr, mut conn: Conn, stated: Option<Duration>) {
        let now = now_boot();
        self.sweep(now);
        if !conn.is_quiet() || self.idle() >= self.opts.idle_total {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < self.opts.idle_per_addr {
            conn.reader.release();
            let age = stated.map_or(self.opts.idle_age, |s| {
                (s * STATED_SHARE / STATED_WHOLE).min(self.opts.idle_age)
            });
            list.push(Idle {
                conn,
                since: now,
                until: now.after(age),
            });
        }
    }

    /// Drops what has grown old, at most once per idle age.
    fn sweep(&self, now: BootTime) {
        let age = self.opts.idle_age;
        if now.since(self.swept.get()) < age {
            return;
        }
        self.swept.set(now);
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|entry| now < entry.until);
            !list.is_empty()
        });
    }
}
