//! Implements [`Source`] for the HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_http::client::{Bounds, BufferedResponse, Call, Cause, Client, SendError};
use celerytide_types::Version;
use http::{HeaderMap, Method};
use tokio_util::sync::CancellationToken;

use super::read::{ReadError, Response, Source};

const INDEX_HEADER: &str = "x-consul-index";

/// Each read opens a new connection, since an idle one may have gone silent for good.
impl Source for Client {
    async fn read(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
        max_body: usize,
        cx: &CancellationToken,
    ) -> Result<Response, ReadError> {
        let bounds = Bounds {
            first_byte_timeout: timeout,
            ..Bounds::default()
        };
        let call = Call {
            fresh: true,
            bounds,
            ..Call::new(addr, Method::GET, path)
        };
        // A connection may also go silent in the middle of the body.
        match monoio::time::timeout(timeout, self.send_buffered(call, max_body, cx)).await {
            Ok(Ok(whole)) => Ok(to_response(&whole)),
            Ok(Err(error)) => Err(read_error(error, max_body)),
            Err(_) => Err(ReadError::Timeout),
        }
    }
}

fn to_response(whole: &BufferedResponse) -> Response {
    Response {
        status: whole.status.as_u16(),
        index: index(&whole.headers),
        body: whole.body.to_vec(),
    }
}

fn index(headers: &HeaderMap) -> Option<Version> {
    headers.get(INDEX_HEADER)?.to_str().ok()?.parse().ok()
}

fn read_error(error: SendError, max: usize) -> ReadError {
    match error.source {
        Cause::TooLarge => ReadError::TooLarge { max },
        Cause::FirstByteTimeout | Cause::BetweenBytesTimeout | Cause::ConnectTimeout => ReadError::Timeout,
        cause => ReadError::Unreachable {
            cause: cause.to_string(),
        },
    }
}
