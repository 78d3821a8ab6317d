//! HTTP client for endpoints with a connection pool.
//!
//! An error tells how far the request got ([`Stage`]). An idle connection is dropped as soon as the endpoint closes or
//! resets it or sends unexpected bytes. It is checked once more before it is reused, since the runtime may not have
//! reported that yet; the next one is then tried. A connection on which the same request was answered isn't reused for it,
//! since the endpoint may write that answer once more. Once the first write has been issued, the request
//! may have been sent, and nothing is retried.
//!
//! Dropping the future of [`Client::send`] or a [`Response`] before its end resets the connection, which tells the
//! endpoint that the result is no longer needed, and drops what it hasn't received yet.

mod answered;
mod call;
mod conn;
mod error;
mod pool;
mod response;
mod writing;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use celerytide_types::now_boot;
use monoio::time::timeout;
use tokio_util::sync::CancellationToken;

pub use call::{Bounds, BufferedResponse, Call};
pub use conn::MAX_INTERIM;
pub use error::{Cause, SendError, Stage};
pub use pool::Options;
pub use response::Response;

use answered::hash_id;
use conn::Conn;
use error::send_error;
use pool::{BufferReservation, Pool};

/// HTTP client; clones share one pool.
#[derive(Clone)]
pub struct Client {
    pool: Rc<Pool>,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new(opts: Options) -> Self {
        Client {
            pool: Rc::new(Pool::new(opts)),
        }
    }

    /// Number of idle connections in the pool.
    pub fn idle_count(&self) -> usize {
        self.pool.idle_count()
    }

    /// Replaces the maximum numbers of idle connections by address, and closes those beyond them. Addresses without one have
    /// [`Options::idle_per_addr`].
    pub fn set_idle_limits(&self, limits: HashMap<SocketAddr, usize>) {
        self.pool.set_idle_limits(limits);
    }

    /// Largest number of idle connections in the pool.
    pub fn max_idle(&self) -> usize {
        self.pool.options().idle_total
    }

    /// Sends `call` and waits for the head of the response. Cancelling `cx` closes the connection.
    pub async fn send(&self, call: Call, cx: &CancellationToken) -> Result<Response, SendError> {
        let mut stage = Stage::Connect;
        let work = self.send_request(call, &mut stage);
        let done = cx.run_until_cancelled(work).await;
        match done {
            Some(result) => result,
            None => Err(send_error(stage, Cause::Cancelled)),
        }
    }

    /// Sends `call` and buffers the response body, up to `max_body` bytes.
    pub async fn send_buffered(
        &self,
        call: Call,
        max_body: usize,
        cx: &CancellationToken,
    ) -> Result<BufferedResponse, SendError> {
        let response = self.send(call, cx).await?;
        match cx.run_until_cancelled(collect_body(response, max_body)).await {
            Some(result) => result,
            None => Err(send_error(Stage::Body, Cause::Cancelled)),
        }
    }

    async fn send_request(&self, call: Call, stage: &mut Stage) -> Result<Response, SendError> {
        call.validate().map_err(|cause| send_error(Stage::Connect, cause))?;
        let mut conn = match self.take_pooled(&call) {
            Some(conn) => conn,
            None => self.open(&call).await?,
        };
        *stage = Stage::Written;
        let started = now_boot();
        // Boxed because the future is large and would otherwise be part of every future that awaits it.
        let sending = Box::pin(conn.send(&call));
        let result = timeout(call.bounds.head_timeout.min(call.bounds.total_timeout), sending).await;
        let result = result.unwrap_or(Err(Cause::HeadTimeout));
        let (head, write) = result.map_err(|cause| send_error(Stage::Written, cause))?;
        let deadline = started.after(call.bounds.total_timeout);
        Response::new(head, conn, &call, write, deadline, Rc::clone(&self.pool))
    }

    fn take_pooled(&self, call: &Call) -> Option<Conn> {
        if call.fresh {
            None
        } else {
            let id = call.headers.get(&self.pool.options().id_header).map(hash_id);
            self.pool.take(call.addr, call.max_idle, id)
        }
    }

    async fn open(&self, call: &Call) -> Result<Conn, SendError> {
        let opened = Conn::open(call.addr, call.bounds.connect_timeout, self.pool.options()).await;
        opened.map_err(|cause| send_error(Stage::Connect, cause))
    }
}

async fn collect_body(mut response: Response, max_body: usize) -> Result<BufferedResponse, SendError> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    let mut reservation = BufferReservation::new(response.pool());
    while let Some(data) = response.next().await {
        let data = data?;
        if first.len() + rest.len() + data.len() > max_body || !reservation.try_add(data.len()) {
            return Err(send_error(Stage::Body, Cause::TooLarge));
        }
        if first.is_empty() {
            first = data;
        } else {
            rest.extend_from_slice(&data);
        }
    }
    let body = if rest.is_empty() {
        first
    } else {
        [first, rest.freeze()].concat().into()
    };
    let (status, headers) = (response.status, std::mem::take(&mut response.headers));
    Ok(BufferedResponse { status, headers, body })
}
