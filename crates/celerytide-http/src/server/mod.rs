//! HTTP server for callers: one task per connection, one request at a time on each.
//!
//! The [`Handler`] gets a request with its complete body, which is within the limits. It responds through its
//! [`Responder`], with a complete or a chunked response. The connection's own task writes: what the handler appends in
//! one poll is sent in one write, and the handler waits while its caller is slow.

mod conn;
mod error_response;
mod handed;
mod listen;
mod outbound;
mod queue;
mod responder;

use std::future::Future;
use std::net::SocketAddr;

use http::{HeaderMap, Method, Uri};
use tokio_util::sync::CancellationToken;

use crate::memory::Payload;

pub use error_response::{ErrorBody, ErrorDetail, ErrorOutcome, WORD_HEADER};
pub use handed::{HandedBody, HandedPlace, ResponsePart, ResponseParts, responder_in_parts};
pub use listen::{Error, Shutdown, bind, serve, serve_with_account, serve_with_shutdown};
pub use responder::{ChunkWriter, Disconnected, Responder};

/// A caller's request.
#[derive(Debug)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Request target as sent by the caller.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Payload,
    /// Address of the caller.
    pub peer: SocketAddr,
}

/// Handles the requests of a server.
pub trait Handler: 'static {
    /// Responds to `req` through `out`; `cx` is cancelled if the caller disconnects before the end of the response.
    fn handle(&self, req: Request, out: Responder, cx: CancellationToken) -> impl Future<Output = ()>;

    /// A number for the customer to whom the memory of a large body is charged, besides its caller's address.
    fn customer(&self, _headers: &HeaderMap) -> Option<u64> {
        None
    }
}
