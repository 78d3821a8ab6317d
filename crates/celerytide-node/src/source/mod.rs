//! Reads of the configuration service over this project's HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_http::client::{Bounds, Call, Cause, Client, SendError, Whole};
use celerytide_membership::watch::{Answer, ReadError, Source};
use http::{HeaderMap, Method};
use monoio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Header that carries a document's version.
const INDEX: &str = "x-consul-index";

/// The client as a source of published documents.
pub(crate) struct HttpSource(pub(crate) Client);

impl Source for HttpSource {
    async fn read(
        &self,
        addr: SocketAddr,
        path: &str,
        within: Duration,
        max_body: usize,
        cx: &CancellationToken,
    ) -> Result<Answer, ReadError> {
        let bounds = Bounds {
            first_byte: within,
            between_bytes: within,
            ..Bounds::default()
        };
        let call = Call {
            bounds,
            ..Call::new(addr, Method::GET, path)
        };
        let read = timeout(within, self.0.send_whole(call, max_body, cx)).await;
        let whole = read.map_err(|_| ReadError::Timeout)?;
        whole.map(answer).map_err(|error| failed(&error, max_body))
    }
}

fn answer(whole: Whole) -> Answer {
    let index = index_of(&whole.headers);
    Answer {
        status: whole.status.as_u16(),
        index,
        body: whole.body.to_vec(),
    }
}

fn index_of(headers: &HeaderMap) -> Option<u64> {
    headers.get(INDEX)?.to_str().ok()?.parse().ok()
}

fn failed(error: &SendError, max: usize) -> ReadError {
    match error.source {
        Cause::TooLarge => ReadError::TooLarge { max },
        Cause::FirstByteTimeout | Cause::BetweenBytesTimeout => ReadError::Timeout,
        _ => ReadError::Unreachable {
            cause: error.to_string(),
        },
    }
}
