//! Accepts connections, counts them, and waits for their end.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use super::budget::Budget;
use super::{Handler, conn};
use crate::{Limits, wire};

/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Failed accepts in a row after which the listener is given up.
const MAX_ACCEPT_FAILURES: u32 = 200;
/// Time for which a connection is waited for when the server ends.
const LAST_ACCEPT: Duration = Duration::from_millis(5);
/// Connections that are accepted when the server ends, at most.
const MOST_WAITING: usize = 128;
/// Share of the connection bound that may be busy with refusals beyond it.
const REFUSAL_SHARE: usize = 8;

/// Bodies of the largest size that all connections may hold at once.
const HELD_BODIES: usize = 64;

/// The listener can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Binding failed.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Bind {
        /// The address asked for.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Accepting kept failing.
    #[snafu(display("can't accept connections: {source}"))]
    Accept {
        /// The system's error.
        source: io::Error,
    },
}

/// Opens a listener whose connections carry `TCP_NODELAY` and `TCP_USER_TIMEOUT` (`limits.write`).
pub fn bind(addr: SocketAddr, limits: &Limits) -> Result<TcpListener, Error> {
    wire::listen(addr, limits.write).context(BindSnafu { addr })
}

/// The two steps to the end of a listener.
#[derive(Debug, Clone)]
pub struct Shutdown {
    /// Every answer from now on closes its connection; connections are still accepted, idle ones still kept, since a
    /// request may be on its way.
    pub drain: CancellationToken,
    /// No connection is accepted any more, idle ones are closed, the others finish their request.
    pub end: CancellationToken,
}

/// Held by every live connection.
#[derive(Clone)]
struct Slot {
    count: Rc<()>,
    budget: Budget,
    _live: mpsc::Sender<Infallible>,
}

/// Serves until `cx` is cancelled and every connection has ended.
///
/// On cancellation no connection is accepted any more, idle ones are closed, and the others finish their request.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: Rc<H>,
    cx: CancellationToken,
) -> Result<(), Error> {
    let stop = Shutdown {
        drain: cx.clone(),
        end: cx,
    };
    serve_with_shutdown(listener, Rc::new(Cell::new(limits)), handler, stop).await
}

/// Serves with limits that may change, in two steps to the end: see [`Shutdown`].
pub async fn serve_with_shutdown<H: Handler>(
    listener: TcpListener,
    limits: Rc<Cell<Limits>>,
    handler: Rc<H>,
    stop: Shutdown,
) -> Result<(), Error> {
    let (live, mut ended) = mpsc::channel(0);
    let slot = Slot {
        count: Rc::new(()),
        budget: Budget::new(limits.get().max_body.saturating_mul(HELD_BODIES)),
        _live: live,
    };
    let res = accept_all(&listener, &limits, &handler, &slot, &stop).await;
    drop(listener);
    drop(slot);
    // Yields nothing; ends when the last connection has dropped its slot.
    ended.next().await;
    res
}

async fn accept_all<H: Handler>(
    listener: &TcpListener,
    limits: &Rc<Cell<Limits>>,
    handler: &Rc<H>,
    slot: &Slot,
    stop: &Shutdown,
) -> Result<(), Error> {
    let mut cancelled = std::pin::pin!(stop.end.cancelled());
    let mut failures = 0;
    loop {
        let accept = std::pin::pin!(listener.accept());
        let accepted = match select(cancelled.as_mut(), accept).await {
            Either::Left(_) => break,
            Either::Right((accepted, _)) => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                failures = 0;
                admit(stream, peer, limits, handler, slot, stop);
            }
            Err(e) if failures >= MAX_ACCEPT_FAILURES => return Err(e).context(AcceptSnafu),
            Err(e) => {
                failures += 1;
                warn!(error = %e, "http: accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    accept_rest(listener, limits, handler, slot, stop).await;
    Ok(())
}

/// Accepts the connections that wait at the end, so that their requests are read and answered.
async fn accept_rest<H: Handler>(
    listener: &TcpListener,
    limits: &Rc<Cell<Limits>>,
    handler: &Rc<H>,
    slot: &Slot,
    stop: &Shutdown,
) {
    for _ in 0..MOST_WAITING {
        match timeout(LAST_ACCEPT, listener.accept()).await {
            Ok(Ok((stream, peer))) => admit(stream, peer, limits, handler, slot, stop),
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

fn admit<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: &Rc<Cell<Limits>>,
    handler: &Rc<H>,
    slot: &Slot,
    stop: &Shutdown,
) {
    if let Err(e) = stream.set_nodelay(true) {
        debug!(error = %e, "http: connection ended before it was served");
        return;
    }
    let live = Rc::strong_count(&slot.count) - 1;
    let slot = slot.clone();
    let connections = limits.get().connections;
    if live < connections {
        let (limits, handler, stop) = (Rc::clone(limits), Rc::clone(handler), stop.clone());
        monoio::spawn(async move {
            conn::run(stream, peer, limits, handler, slot.budget.clone(), stop).await;
            drop(slot);
        });
    } else if live < connections + connections / REFUSAL_SHARE + 1 {
        warn!("http: too many connections");
        let limits = limits.get();
        monoio::spawn(async move {
            conn::turn_away(stream, limits).await;
            drop(slot);
        });
    }
}
