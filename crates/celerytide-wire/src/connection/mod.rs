//! The client side: a connection to one peer, and the pool of connections to all peers. Each exchange on a connection
//! is one HTTP/2 stream with messages in both directions.

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
use crate::activity::Activity;
use crate::error::{ConnectSnafu, Error, H2Snafu};
use crate::exchange::{Exchange, Incoming};
use crate::messages::Method;
use crate::socket::{self, Io};

/// HTTP/2 flow-control window of one exchange.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// HTTP/2 flow-control window of a connection.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// A connection without an exchange that expects data is pinged once per this many ping intervals.
const IDLE_PING_FACTOR: u32 = 60;
/// A connection without open exchanges is closed after this many checks, one per ping interval.
const UNUSED_CHECKS: u32 = 10;
/// Maximum number of concurrent streams that the peer may open on a connection. The server's value limits exchanges;
/// the client's doesn't, because only clients open exchanges.
pub(crate) const MAX_STREAMS: u32 = 16 * 1024;

/// A connection to a peer. Cheap to clone. It closes when the last clone is dropped, when it stays unused, or when a
/// ping is not answered.
#[derive(Clone)]
pub struct PeerConnection {
    tx: SendRequest<Bytes>,
    closed: Rc<Cell<bool>>,
    activity: Activity,
}

impl PeerConnection {
    /// Connects to `addr`; cancelling `cx` ends the attempt.
    pub async fn connect(addr: SocketAddr, opts: Options, cx: &CancellationToken) -> Result<PeerConnection, Error> {
        let opening = handshake(addr);
        let opened = monoio::select! {
            opened = timeout(opts.connect, opening) => opened,
            () = cx.cancelled() => return Err(Error::Cancelled),
        };
        let (tx, connection) = opened.map_err(|_| Error::ConnectTimeout { addr })??;
        let closed = Rc::new(Cell::new(false));
        let activity = Activity::default();
        monoio::spawn(run_connection(addr, connection, opts, closed.clone(), activity.clone()));
        Ok(PeerConnection { tx, closed, activity })
    }

    /// Whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Opens an exchange and sends its first message.
    pub async fn open<M: Serialize>(&self, method: Method, first: &M) -> Result<Exchange, Error> {
        let mut tx = self.tx.clone();
        poll_fn(|cx| tx.poll_ready(cx)).await.context(H2Snafu)?;
        let request = Request::post(method.path()).body(()).map_err(|_| Error::Ended)?;
        let (head, body) = tx.send_request(request, false).context(H2Snafu)?;
        let mut ex = Exchange::new(body, Incoming::Pending(head), self.activity.open_exchange());
        ex.send(first).await?;
        Ok(ex)
    }

    /// Sends a message and receives one message in reply.
    pub async fn call<M: Serialize, R: DeserializeOwned>(&self, method: Method, message: &M) -> Result<R, Error> {
        let mut ex = self.open(method, message).await?;
        ex.recv_required().await
    }
}

async fn handshake(addr: SocketAddr) -> Result<(SendRequest<Bytes>, Connection<Io, Bytes>), Error> {
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

async fn run_connection(
    addr: SocketAddr,
    mut connection: Connection<Io, Bytes>,
    opts: Options,
    closed: Rc<Cell<bool>>,
    activity: Activity,
) {
    let pings = connection.ping_pong();
    monoio::select! {
        ended = connection => tracing::debug!(%addr, ?ended, "wire: connection ended"),
        () = watch_pings(pings, opts, activity.clone()) => tracing::warn!(%addr, "wire: the peer did not answer a ping"),
        () = wait_until_unused(opts, activity) => tracing::debug!(%addr, "wire: unused connection closed"),
    }
    closed.set(true);
}

/// Returns after [`UNUSED_CHECKS`] consecutive checks without an open exchange.
async fn wait_until_unused(opts: Options, activity: Activity) {
    let mut checks = 0;
    while checks < UNUSED_CHECKS {
        sleep(opts.ping).await;
        checks = if activity.is_unused() { checks + 1 } else { 0 };
    }
}

/// Returns once a ping fails or is not answered in time. A connection without an exchange that expects data is pinged
/// rarely.
pub(crate) async fn watch_pings(pings: Option<PingPong>, opts: Options, activity: Activity) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    let mut since_ping = Duration::ZERO;
    loop {
        sleep(opts.ping).await;
        since_ping += opts.ping;
        if !activity.is_busy() && since_ping < opts.ping * IDLE_PING_FACTOR {
            continue;
        }
        since_ping = Duration::ZERO;
        match timeout(opts.ping_timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => continue,
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Connections to peers, opened on demand; one is kept for each address. Concurrent calls may open two, of which the
/// later one is kept.
#[derive(Clone)]
pub struct ConnectionPool {
    opts: Options,
    cx: CancellationToken,
    connections: Rc<RefCell<HashMap<SocketAddr, PeerConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool; cancelling `cx` ends attempts to connect.
    pub fn new(opts: Options, cx: CancellationToken) -> ConnectionPool {
        ConnectionPool {
            opts,
            cx,
            connections: Rc::default(),
        }
    }

    /// Returns the connection to `addr`, opening one if there is none.
    pub async fn get_or_connect(&self, addr: SocketAddr) -> Result<PeerConnection, Error> {
        if let Some(connection) = self.get_open(addr) {
            return Ok(connection);
        }
        let connection = PeerConnection::connect(addr, self.opts, &self.cx).await?;
        self.connections.borrow_mut().insert(addr, connection.clone());
        Ok(connection)
    }

    /// Opens an exchange with the process at `addr`.
    pub async fn open<M: Serialize>(&self, addr: SocketAddr, method: Method, first: &M) -> Result<Exchange, Error> {
        let connection = self.get_or_connect(addr).await?;
        connection.open(method, first).await
    }

    /// Sends a message to the process at `addr` and receives one message in reply.
    pub async fn call<M: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: Method,
        message: &M,
    ) -> Result<R, Error> {
        let connection = self.get_or_connect(addr).await?;
        connection.call(method, message).await
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.connections.borrow().values().filter(|c| !c.is_closed()).count()
    }

    /// Drops closed connections and those to addresses not in `keep`.
    pub fn retain(&self, keep: &[SocketAddr]) {
        self.connections
            .borrow_mut()
            .retain(|addr, connection| !connection.is_closed() && keep.contains(addr));
    }

    fn get_open(&self, addr: SocketAddr) -> Option<PeerConnection> {
        let mut connections = self.connections.borrow_mut();
        let connection = connections.get(&addr)?;
        if connection.is_closed() {
            connections.remove(&addr);
            return None;
        }
        Some(connection.clone())
    }
}
