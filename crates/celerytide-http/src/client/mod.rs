//! Calls endpoints over pooled connections.
//!
//! A failure says how far the request got ([`Stage`]). Before a pooled connection is used it is looked at: one that
//! has ended or holds bytes that nobody asked for is dropped, and the next one is tried. From the moment the
//! first write is called the request may have left; nothing is retried from then on.
//!
//! Dropping the future of [`Client::send`] or an [`Response`] before its end closes the connection, which is how an
//! endpoint learns that its work is no longer wanted.

mod answer;
mod call;
mod conn;
mod error;
mod pool;

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use celerytide_types::now_boot;
use monoio::time::timeout;
use tokio_util::sync::CancellationToken;

pub use answer::Response;
pub use call::{Bounds, BufferedResponse, Call};
pub use conn::MAX_INTERIM;
pub use error::{Cause, SendError, Stage};
pub use pool::Options;

use conn::Conn;
use error::failed;
use pool::{Gathered, Pool};

/// Calls endpoints; clones share one pool.
#[derive(Clone)]
pub struct Client {
    pool: Rc<Pool>,
}

impl Client {
    /// A client with an empty pool.
    pub fn new(opts: Options) -> Self {
        Client {
            pool: Rc::new(Pool::new(opts)),
        }
    }

    /// Idle connections held now.
    pub fn idle(&self) -> usize {
        self.pool.idle()
    }

    /// Sends `call` and waits for the head of its answer.
    pub async fn send(&self, call: Call, cx: &CancellationToken) -> Result<Response, SendError> {
        let mut stage = Stage::Connect;
        let work = self.exchange(call, &mut stage);
        let done = cx.run_until_cancelled(work).await;
        match done {
            Some(answer) => answer,
            None => Err(failed(stage, Cause::Cancelled)),
        }
    }

    /// Sends `call` and gathers its answer, up to `max_body` bytes.
    pub async fn send_buffered(
        &self,
        call: Call,
        max_body: usize,
        cx: &CancellationToken,
    ) -> Result<BufferedResponse, SendError> {
        let answer = self.send(call, cx).await?;
        match cx.run_until_cancelled(gather(answer, max_body)).await {
            Some(whole) => whole,
            None => Err(failed(Stage::Body, Cause::Cancelled)),
        }
    }

    async fn exchange(&self, call: Call, stage: &mut Stage) -> Result<Response, SendError> {
        call.check().map_err(|cause| failed(Stage::Connect, cause))?;
        let mut conn = match self.reusable(&call) {
            Some(conn) => conn,
            None => self.open(&call).await?,
        };
        *stage = Stage::Written;
        let began = now_boot();
        // Boxed: it is large, and all that wait for it would hold it in their own frames.
        let asking = Box::pin(conn.ask(&call));
        let asked = timeout(call.bounds.head.min(call.bounds.whole), asking).await;
        let asked = asked.unwrap_or(Err(Cause::HeadTimeout));
        let (head, whole) = asked.map_err(|cause| failed(Stage::Written, cause))?;
        let until = began.after(call.bounds.whole);
        Response::new(head, conn, &call, whole, until, Rc::clone(&self.pool))
    }

    fn reusable(&self, call: &Call) -> Option<Conn> {
        if call.fresh {
            None
        } else {
            self.pool.take(call.addr, call.max_idle)
        }
    }

    async fn open(&self, call: &Call) -> Result<Conn, SendError> {
        let opened = Conn::open(call.addr, call.bounds.connect, self.pool.options()).await;
        opened.map_err(|cause| failed(Stage::Connect, cause))
    }
}

async fn gather(mut answer: Response, max: usize) -> Result<BufferedResponse, SendError> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    let mut gathered = Gathered::new(answer.pool());
    while let Some(data) = answer.next().await {
        let data = data?;
        if first.len() + rest.len() + data.len() > max || !gathered.add(data.len()) {
            return Err(failed(Stage::Body, Cause::TooLarge));
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
    let (status, headers) = (answer.status, std::mem::take(&mut answer.headers));
    Ok(BufferedResponse { status, headers, body })
}
