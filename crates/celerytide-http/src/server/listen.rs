//! Accepts connections up to a limit and waits for them to end at shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::now_boot;
use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use super::{Handler, conn};
use crate::memory::{Account, Holder, Limit, Refusal};
use crate::{Limits, h1};

/// Pause after a failed accept, so that the loop doesn't spin when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Shortest time between two log lines about failed accepts of one listener, which fail twenty times a second.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Time to wait for each pending connection at shutdown.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum number of pending connections accepted at shutdown.
const MAX_FINAL_ACCEPTS: usize = 128;
/// Connections beyond the limit that may be answered with 503 at the same time: the limit divided by this, plus one.
const EXCESS_DIVISOR: usize = 8;

/// Why the server can't accept connections.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address could not be bound.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Bind {
        /// The requested address.
        addr: SocketAddr,
        /// Error of the socket, bind or listen call.
        source: io::Error,
    },
}

/// Opens a listener whose connections have `TCP_NODELAY` and `TCP_USER_TIMEOUT` (`limits.write_timeout`) set.
pub fn bind(addr: SocketAddr, limits: &Limits) -> Result<TcpListener, Error> {
    h1::listen(addr, limits.write_timeout).context(BindSnafu { addr })
}

/// Tokens for the two steps of a graceful shutdown: first `drain`, then `end`.
#[derive(Debug, Clone)]
pub struct Shutdown {
    /// Once cancelled, every response closes its connection. New connections are still accepted and idle ones kept,
    /// since a request may be in transit.
    pub drain: CancellationToken,
    /// Once cancelled, no connection is accepted, idle ones are closed, and the others finish their request.
    pub end: CancellationToken,
}

/// Held by every open connection; counts them and signals the end of the last one.
#[derive(Clone)]
struct Slot {
    count: Rc<()>,
    account: Account,
    _open: mpsc::Sender<Infallible>,
}

/// Serves until `cx` is cancelled and every connection has ended.
///
/// On cancellation no further connection is accepted, idle ones are closed, and the others finish their request.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: Rc<H>,
    cx: CancellationToken,
) -> Result<(), Error> {
    let shutdown = Shutdown {
        drain: cx.clone(),
        end: cx,
    };
    serve_with_shutdown(listener, Rc::new(Cell::new(limits)), handler, shutdown).await
}

/// Serves with limits that may change at run time and a shutdown in two steps: see [`Shutdown`]. The memory limit is that
/// of the cgroup or the machine.
pub async fn serve_with_shutdown<H: Handler>(
    listener: TcpListener,
    limits: Rc<Cell<Limits>>,
    handler: Rc<H>,
    shutdown: Shutdown,
) -> Result<(), Error> {
    let account = Account::new(Limit::find(None));
    serve_with_account(listener, limits, handler, shutdown, account).await
}

/// As [`serve_with_shutdown`]; what connections hold is charged to `account`, which other servers may share.
pub async fn serve_with_account<H: Handler>(
    listener: TcpListener,
    limits: Rc<Cell<Limits>>,
    handler: Rc<H>,
    shutdown: Shutdown,
    account: Account,
) -> Result<(), Error> {
    account.watch();
    let (open, mut ended) = mpsc::channel(0);
    let slot = Slot {
        count: Rc::new(()),
        account,
        _open: open,
    };
    accept_all(&listener, &limits, &handler, &slot, &shutdown).await;
    drop(listener);
    drop(slot);
    // The channel carries no messages; it ends when the last connection has dropped its slot.
    ended.next().await;
    Ok(())
}

/// Accepts connections until the end of the shutdown. Failures don't end it, however long they last: descriptors may be
/// available again at any time.
async fn accept_all<H: Handler>(
    listener: &TcpListener,
    limits: &Rc<Cell<Limits>>,
    handler: &Rc<H>,
    slot: &Slot,
    shutdown: &Shutdown,
) {
    let mut cancelled = std::pin::pin!(shutdown.end.cancelled());
    let mut failures = 0_u32;
    let mut next_log = now_boot();
    loop {
        let accept = std::pin::pin!(listener.accept());
        let accepted = match select(cancelled.as_mut(), accept).await {
            Either::Left(_) => break,
            Either::Right((accepted, _)) => accepted,
        };
        match accepted {
            Ok((stream, peer)) => spawn_connection(stream, peer, limits, handler, slot, shutdown),
            Err(error) => {
                failures = failures.saturating_add(1);
                if now_boot() >= next_log {
                    next_log = now_boot().after(ACCEPT_LOG_INTERVAL);
                    let addr = listener.local_addr().ok();
                    warn!(?addr, %error, failures, "http: accept failed");
                    failures = 0;
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    accept_pending(listener, limits, handler, slot, shutdown).await;
}

/// Accepts the connections still pending at shutdown, so that their requests get a response.
async fn accept_pending<H: Handler>(
    listener: &TcpListener,
    limits: &Rc<Cell<Limits>>,
    handler: &Rc<H>,
    slot: &Slot,
    shutdown: &Shutdown,
) {
    for _ in 0..MAX_FINAL_ACCEPTS {
        match timeout(FINAL_ACCEPT_TIMEOUT, listener.accept()).await {
            Ok(Ok((stream, peer))) => spawn_connection(stream, peer, limits, handler, slot, shutdown),
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

fn spawn_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: &Rc<Cell<Limits>>,
    handler: &Rc<H>,
    slot: &Slot,
    shutdown: &Shutdown,
) {
    if let Err(e) = stream.set_nodelay(true) {
        debug!(error = %e, "http: connection ended before it was served");
        return;
    }
    let open = Rc::strong_count(&slot.count) - 1;
    let slot = slot.clone();
    let connections = limits.get().max_connections;
    let most = connections + connections / EXCESS_DIVISOR + 1;
    // Beyond the limit, a connection takes the place of one that has been idle.
    let has_place = open < connections || open < most && slot.account.evict_idle();
    let holder = has_place.then(|| Holder::open(&slot.account, peer.ip()));
    if let Some(Ok(holder)) = holder {
        let (limits, handler, shutdown) = (Rc::clone(limits), Rc::clone(handler), shutdown.clone());
        monoio::spawn(async move {
            conn::run(stream, peer, limits, handler, holder, shutdown).await;
            drop(slot);
        });
    } else if open < most {
        slot.account.note_refusal(Refusal::Connection);
        let limits = limits.get();
        monoio::spawn(async move {
            conn::reject_connection(stream, limits).await;
            drop(slot);
        });
    }
}
