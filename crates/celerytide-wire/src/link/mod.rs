//! The calling side: one connection to a peer, and the connections to all peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::{Connection, SendRequest};
use h2::{Ping, PingPong};
use http::Request;
use monoio::time::{sleep, timeout};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio_util::sync::CancellationToken;

use crate::Options;
use crate::busy::Busy;
use crate::error::{ConnectSnafu, Error, H2Snafu};
use crate::exchange::{Exchange, Incoming};
use crate::messages::Method;
use crate::socket::{self, Io};

/// Flow-control window of one exchange in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow-control window of a connection in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// A connection that is not busy is pinged once in this many ping times.
const IDLE_PINGS: u32 = 60;
/// A connection that had no exchange at so many looks, one each ping time, is closed.
const UNUSED_LOOKS: u32 = 10;
/// Exchanges a connection may have at once.
pub(crate) const MAX_STREAMS: u32 = 16 * 1024;

/// One connection to a peer. Cheap to clone; ends when the last clone is dropped or the peer goes silent.
#[derive(Clone)]
pub struct PeerConnection {
    tx: SendRequest<Bytes>,
    closed: Rc<Cell<bool>>,
    busy: Busy,
}

impl PeerConnection {
    /// Connects to `addr`.
    pub async fn connect(addr: SocketAddr, opts: Options, cx: &CancellationToken) -> Result<PeerConnection, Error> {
        let opening = open(addr);
        let opened = monoio::select! {
            opened = timeout(opts.connect, opening) => opened,
            () = cx.cancelled() => return Err(Error::Cancelled),
        };
        let (tx, connection) = opened.map_err(|_| Error::ConnectTimeout { addr })??;
        let closed = Rc::new(Cell::new(false));
        let busy = Busy::default();
        monoio::spawn(drive(addr, connection, opts, closed.clone(), busy.clone()));
        Ok(PeerConnection { tx, closed, busy })
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Opens an exchange with its first message.
    pub async fn open<M: Serialize>(&self, method: Method, first: &M) -> Result<Exchange, Error> {
        let mut tx = self.tx.clone();
        poll_fn(|cx| tx.poll_ready(cx)).await.context(H2Snafu)?;
        let request = Request::post(method.path()).body(()).map_err(|_| Error::Ended)?;
        let (head, body) = tx.send_request(request, false).context(H2Snafu)?;
        let mut ex = Exchange::new(body, Incoming::Awaited(head), self.busy.enter());
        ex.send(first).await?;
        Ok(ex)
    }

    /// Sends one message and receives one.
    pub async fn call<M: Serialize, A: DeserializeOwned>(&self, method: Method, message: &M) -> Result<A, Error> {
        let mut ex = self.open(method, message).await?;
        ex.recv_required().await
    }
}

async fn open(addr: SocketAddr) -> Result<(SendRequest<Bytes>, Connection<Io, Bytes>), Error> {
    let io = socket::connect(addr).await.context(ConnectSnafu { addr })?;
    h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buffer_size(STREAM_WINDOW_BYTES as usize)
        .handshake(io)
        .await
        .context(H2Snafu)
}

async fn drive(
    addr: SocketAddr,
    mut connection: Connection<Io, Bytes>,
    opts: Options,
    closed: Rc<Cell<bool>>,
    busy: Busy,
) {
    let pings = connection.ping_pong();
    monoio::select! {
        ended = connection => tracing::debug!(%addr, ?ended, "wire: connection ended"),
        () = watch_silence(pings, opts, busy.clone()) => tracing::warn!(%addr, "wire: connection went silent"),
        () = until_unused(opts, busy) => tracing::debug!(%addr, "wire: unused connection closed"),
    }
    closed.set(true);
}

/// Returns when no exchange was open at several looks in a row.
async fn until_unused(opts: Options, busy: Busy) {
    let mut looks = 0;
    while looks < UNUSED_LOOKS {
        sleep(opts.ping).await;
        looks = if busy.is_unused() { looks + 1 } else { 0 };
    }
}

/// Returns when a ping was not answered in time. A connection that is not busy is pinged rarely.
pub(crate) async fn watch_silence(pings: Option<PingPong>, opts: Options, busy: Busy) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    let mut idle = Duration::ZERO;
    loop {
        sleep(opts.ping).await;
        idle += opts.ping;
        if !busy.is_busy() && idle < opts.ping * IDLE_PINGS {
            continue;
        }
        idle = Duration::ZERO;
        match timeout(opts.silence, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => continue,
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Connections to all peers, one each, made on demand.
#[derive(Clone)]
pub struct ConnectionPool {
    opts: Options,
    cx: CancellationToken,
    open: Rc<RefCell<HashMap<SocketAddr, PeerConnection>>>,
}

impl ConnectionPool {
    /// No connections yet; `cx` ends attempts to connect.
    pub fn new(opts: Options, cx: CancellationToken) -> ConnectionPool {
        ConnectionPool {
            opts,
            cx,
            open: Rc::default(),
        }
    }

    /// The connection to `addr`, made now if there is none.
    pub async fn link(&self, addr: SocketAddr) -> Result<PeerConnection, Error> {
        if let Some(link) = self.existing(addr) {
            return Ok(link);
        }
        let link = PeerConnection::connect(addr, self.opts, &self.cx).await?;
        self.open.borrow_mut().insert(addr, link.clone());
        Ok(link)
    }

    /// Opens an exchange with the process at `addr`.
    pub async fn open<M: Serialize>(&self, addr: SocketAddr, method: Method, first: &M) -> Result<Exchange, Error> {
        let link = self.link(addr).await?;
        link.open(method, first).await
    }

    /// Sends one message to the process at `addr` and receives one.
    pub async fn call<M: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: Method,
        message: &M,
    ) -> Result<A, Error> {
        let link = self.link(addr).await?;
        link.call(method, message).await
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().values().filter(|l| !l.is_closed()).count()
    }

    /// Drops connections to peers that are not among `keep`.
    pub fn retain(&self, keep: &[SocketAddr]) {
        self.open
            .borrow_mut()
            .retain(|addr, link| !link.is_closed() && keep.contains(addr));
    }

    fn existing(&self, addr: SocketAddr) -> Option<PeerConnection> {
        let mut open = self.open.borrow_mut();
        let link = open.get(&addr)?;
        if link.is_closed() {
            open.remove(&addr);
            return None;
        }
        Some(link.clone())
    }
}
