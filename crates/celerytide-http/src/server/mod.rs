//! Serves callers: one task for each connection, one request at a time on each.
//!
//! A request reaches the [`Handler`] whole, its body within the bounds. The handler answers through its
//! [`Responder`], whole or in chunks. The connection's own task writes: what the handler hands over in one go leaves
//! in one write, and a handler waits while its caller is slow.

mod budget;
mod conn;
mod listen;
mod out;
mod queue;
mod refuse;
mod responder;

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio_util::sync::CancellationToken;

pub use listen::{Error, Shutdown, bind, serve, serve_with_shutdown};
pub use refuse::{ErrorBody, ErrorDetail, ErrorOutcome, WORD_HEADER};
pub use responder::{ChunkWriter, Disconnected, Responder};

/// A caller's request.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Target as the caller wrote it.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's address.
    pub peer: SocketAddr,
}

/// Answers requests.
pub trait Handler: 'static {
    /// Answers `req` through `out`; `cx` is cancelled when the caller goes away before the answer's end.
    fn handle(&self, req: Request, out: Responder, cx: CancellationToken) -> impl Future<Output = ()>;
}
