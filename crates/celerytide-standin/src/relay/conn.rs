//! One connection through a route.

use std::{cell::Cell, os::fd::AsRawFd, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::TcpStream,
    time,
};
use tokio_util::sync::CancellationToken;

use super::{Mode, mode::Way, route::Route};

/// Size of one read.
const READ_BYTES: usize = 16 * 1024;
/// Bytes held back at most in one way.
const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;
/// Time between looks at the mode while bytes are held back.
const LOOK: Duration = Duration::from_millis(2);
/// How connections begin that read what an endpoint reports.
const REPORTS: [&[u8]; 3] = [b"GET /load", b"GET /cache-events", b"POST /orders"];

/// What the two ways of a connection share.
#[derive(Default)]
pub(super) struct Conn {
    closed: CancellationToken,
    gone: Cell<bool>,
    silent: Cell<bool>,
    reports: Cell<bool>,
    held_up: Cell<bool>,
    held_down: Cell<bool>,
}

impl Conn {
    /// Passes nothing any more.
    pub(super) fn silence(&self) {
        self.silent.set(true);
    }

    /// Ends without an orderly end.
    pub(super) fn close(&self) {
        self.closed.cancel();
    }

    /// Whether it is open.
    pub(super) fn is_open(&self) -> bool {
        !self.gone.get()
    }

    /// Whether bytes are held back.
    pub(super) fn is_held(&self, way: Way) -> bool {
        self.held(way).get()
    }

    fn held(&self, way: Way) -> &Cell<bool> {
        match way {
            Way::Up => &self.held_up,
            Way::Down => &self.held_down,
        }
    }
}

/// Forwards both ways until both have ended.
pub(super) async fn run(route: Rc<Route>, conn: Rc<Conn>, from: TcpStream, to: TcpStream) {
    let fds = [from.as_raw_fd(), to.as_raw_fd()];
    let (from_rx, from_tx) = from.into_split();
    let (to_rx, to_tx) = to.into_split();
    let up = Pump::new(&route, &conn, Way::Up);
    let down = Pump::new(&route, &conn, Way::Down);
    let mut both = Box::pin(async move { futures::join!(up.run(from_rx, to_tx), down.run(to_rx, from_tx)) });
    let ended = monoio::select! {
        _ = &mut both => true,
        () = conn.closed.cancelled() => false,
    };
    conn.gone.set(true);
    if !ended {
        // Dropped halves would end in order; the descriptors are closed under them, which resets the connection.
        std::mem::forget(both);
        for fd in fds {
            let _ = nix::unistd::close(fd);
        }
    }
}

struct Pump {
    route: Rc<Route>,
    conn: Rc<Conn>,
    way: Way,
    waiting: Vec<u8>,
    ended: bool,
    generation: u64,
    passed: u64,
}

impl Pump {
    fn new(route: &Rc<Route>, conn: &Rc<Conn>, way: Way) -> Self {
        Self {
            route: route.clone(),
            conn: conn.clone(),
            way,
            waiting: Vec::new(),
            ended: false,
            generation: route.generation(),
            passed: 0,
        }
    }

    async fn run(mut self, mut rx: impl AsyncReadRent, mut tx: impl AsyncWriteRent) {
        loop {
            let count = self.allowed();
            if count > 0 {
                let part: Vec<u8> = self.waiting.drain(..count).collect();
                let (sent, _) = tx.write_all(part).await;
                if sent.is_err() {
                    return self.conn.close();
                }
                self.passed += count as u64;
                continue;
            }
            self.conn.held(self.way).set(!self.waiting.is_empty());
            if self.ended && self.waiting.is_empty() && !self.is_blocked() {
                let _ = tx.shutdown().await;
                return;
            }
            if !self.step(&mut rx).await {
                return self.conn.close();
            }
        }
    }

    /// Waits for bytes or for the next look; false if the connection broke.
    async fn step(&mut self, rx: &mut impl AsyncReadRent) -> bool {
        if self.ended || self.waiting.len() >= MAX_WAITING_BYTES {
            time::sleep(LOOK).await;
            return true;
        }
        let read = rx.read(Vec::with_capacity(READ_BYTES));
        if self.waiting.is_empty() {
            return self.take(read.await);
        }
        monoio::select! {
            read = read => self.take(read),
            () = time::sleep(LOOK) => true,
        }
    }

    fn take(&mut self, read: monoio::BufResult<usize, Vec<u8>>) -> bool {
        let (count, bytes) = read;
        let Ok(count) = count else {
            return false;
        };
        let is_first = self.passed == 0 && self.waiting.is_empty() && self.way == Way::Up;
        if is_first && REPORTS.iter().any(|start| bytes.starts_with(start)) {
            self.conn.reports.set(true);
        }
        self.ended = count == 0;
        self.waiting.extend_from_slice(&bytes);
        true
    }

    fn is_blocked(&self) -> bool {
        let cut = match self.route.mode() {
            Mode::Cut { up, down } => match self.way {
                Way::Up => up,
                Way::Down => down,
            },
            _ => false,
        };
        cut || self.conn.silent.get()
    }

    fn allowed(&mut self) -> usize {
        if self.conn.silent.get() {
            return 0;
        }
        if self.generation != self.route.generation() {
            self.generation = self.route.generation();
            self.passed = 0;
        }
        let mode = self.route.mode();
        mode.allows(self.way, self.conn.reports.get(), self.passed, self.waiting.len())
    }
}
