//! One connection through a route, forwarded in both directions.

use std::{cell::Cell, os::fd::AsRawFd, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::TcpStream,
    time,
};
use tokio_util::sync::CancellationToken;

use super::{Mode, mode::Direction, route::Route};

/// Size of one read.
const READ_BYTES: usize = 16 * 1024;
/// Most bytes held back in one direction.
const MAX_HELD_BYTES: usize = 4 * 1024 * 1024;
/// Time between checks of the mode while bytes are held back.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// First bytes of connections that read an endpoint's reports or send it orders.
const REPORT_REQUESTS: [&[u8]; 3] = [b"GET /load", b"GET /cache-events", b"POST /orders"];

/// State that both directions of a connection share.
#[derive(Default)]
pub(super) struct Connection {
    reset_requested: CancellationToken,
    is_closed: Cell<bool>,
    is_silent: Cell<bool>,
    is_hold_exempt: Cell<bool>,
    held_up: Cell<bool>,
    held_down: Cell<bool>,
}

impl Connection {
    /// Stops passing bytes for good.
    pub(super) fn silence(&self) {
        self.is_silent.set(true);
    }

    /// Resets both sides.
    pub(super) fn reset(&self) {
        self.reset_requested.cancel();
    }

    /// Whether it still forwards.
    pub(super) fn is_open(&self) -> bool {
        !self.is_closed.get()
    }

    /// Whether bytes are held back.
    pub(super) fn is_held(&self, direction: Direction) -> bool {
        self.held_flag(direction).get()
    }

    fn held_flag(&self, direction: Direction) -> &Cell<bool> {
        match direction {
            Direction::Up => &self.held_up,
            Direction::Down => &self.held_down,
        }
    }
}

/// Forwards in both directions until both have ended or the connection is reset.
pub(super) async fn forward(route: Rc<Route>, conn: Rc<Connection>, from: TcpStream, to: TcpStream) {
    let fds = [from.as_raw_fd(), to.as_raw_fd()];
    let (from_rx, from_tx) = from.into_split();
    let (to_rx, to_tx) = to.into_split();
    let up = Forwarder::new(&route, &conn, Direction::Up);
    let down = Forwarder::new(&route, &conn, Direction::Down);
    let mut both = Box::pin(async move { futures::join!(up.forward(from_rx, to_tx), down.forward(to_rx, from_tx)) });
    let has_ended = monoio::select! {
        _ = &mut both => true,
        () = conn.reset_requested.cancelled() => false,
    };
    conn.is_closed.set(true);
    if !has_ended {
        // Dropping the halves would end the connection in order. Closing the file descriptors resets it.
        std::mem::forget(both);
        for fd in fds {
            let _ = nix::unistd::close(fd);
        }
    }
}

struct Forwarder {
    route: Rc<Route>,
    conn: Rc<Connection>,
    direction: Direction,
    held_bytes: Vec<u8>,
    is_eof: bool,
    generation: u64,
    passed_bytes: u64,
}

impl Forwarder {
    fn new(route: &Rc<Route>, conn: &Rc<Connection>, direction: Direction) -> Self {
        Self {
            route: route.clone(),
            conn: conn.clone(),
            direction,
            held_bytes: Vec::new(),
            is_eof: false,
            generation: route.generation(),
            passed_bytes: 0,
        }
    }

    async fn forward(mut self, mut rx: impl AsyncReadRent, mut tx: impl AsyncWriteRent) {
        loop {
            let count = self.sendable_bytes();
            if count > 0 {
                let part: Vec<u8> = self.held_bytes.drain(..count).collect();
                let (sent, _) = tx.write_all(part).await;
                if sent.is_err() {
                    return self.conn.reset();
                }
                self.passed_bytes += count as u64;
                continue;
            }
            self.conn.held_flag(self.direction).set(!self.held_bytes.is_empty());
            if self.is_eof && self.held_bytes.is_empty() && !self.is_cut_off() {
                let _ = tx.shutdown().await;
                return;
            }
            if !self.read_more(&mut rx).await {
                return self.conn.reset();
            }
        }
    }

    /// Waits for bytes or for the next check of the mode; false if the connection failed.
    async fn read_more(&mut self, rx: &mut impl AsyncReadRent) -> bool {
        if self.is_eof || self.held_bytes.len() >= MAX_HELD_BYTES {
            time::sleep(POLL_INTERVAL).await;
            return true;
        }
        let read = rx.read(Vec::with_capacity(READ_BYTES));
        if self.held_bytes.is_empty() {
            return self.handle_read(read.await);
        }
        monoio::select! {
            read = read => self.handle_read(read),
            () = time::sleep(POLL_INTERVAL) => true,
        }
    }

    fn handle_read(&mut self, read: monoio::BufResult<usize, Vec<u8>>) -> bool {
        let (count, bytes) = read;
        let Ok(count) = count else {
            return false;
        };
        let is_first = self.passed_bytes == 0 && self.held_bytes.is_empty() && self.direction == Direction::Up;
        if is_first && REPORT_REQUESTS.iter().any(|start| bytes.starts_with(start)) {
            self.conn.is_hold_exempt.set(true);
        }
        self.is_eof = count == 0;
        self.held_bytes.extend_from_slice(&bytes);
        true
    }

    fn is_cut_off(&self) -> bool {
        let cut = match self.route.mode() {
            Mode::Cut { up, down } => match self.direction {
                Direction::Up => up,
                Direction::Down => down,
            },
            _ => false,
        };
        cut || self.conn.is_silent.get()
    }

    fn sendable_bytes(&mut self) -> usize {
        if self.conn.is_silent.get() {
            return 0;
        }
        if self.generation != self.route.generation() {
            self.generation = self.route.generation();
            self.passed_bytes = 0;
        }
        let mode = self.route.mode();
        mode.sendable(
            self.direction,
            self.conn.is_hold_exempt.get(),
            self.passed_bytes,
            self.held_bytes.len(),
        )
    }
}
