//! The project's HTTP client as a source of reads.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_http::client::{Bounds, BufferedResponse, Call, Cause, Client, SendError};
use celerytide_types::Version;
use http::{HeaderMap, Method};
use tokio_util::sync::CancellationToken;

use super::read::{Answer, ReadError, Source};

const INDEX_HEADER: &str = "x-consul-index";

/// Each read takes a new connection: an idle one may be silent for good.
impl Source for Client {
    async fn read(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
        max_body: usize,
        cx: &CancellationToken,
    ) -> Result<Answer, ReadError> {
        let bounds = Bounds {
            first_byte: timeout,
            ..Bounds::default()
        };
        let call = Call {
            fresh: true,
            bounds,
            ..Call::new(addr, Method::GET, path)
        };
        // A connection may go silent in the middle of the body, too.
        match monoio::time::timeout(timeout, self.send_buffered(call, max_body, cx)).await {
            Ok(Ok(whole)) => Ok(answer(&whole)),
            Ok(Err(error)) => Err(read_error(error, max_body)),
            Err(_) => Err(ReadError::Timeout),
        }
    }
}

fn answer(whole: &BufferedResponse) -> Answer {
    Answer {
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
