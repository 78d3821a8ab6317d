//! HTTP queries to a daemon at its operators' address.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_http::client::{Bounds, Call, Client, Options, SendError};
use http::{Method, StatusCode};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use tokio_util::sync::CancellationToken;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a daemon gave no usable response.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// No complete response arrived.
    #[snafu(display("no answer: {source}"))]
    Send {
        /// The client's error.
        source: SendError,
    },
    /// The complete response took too long.
    #[snafu(display("no answer within {} s", RESPONSE_TIMEOUT.as_secs()))]
    TimedOut,
    /// The daemon responded with status 404.
    #[snafu(display("unknown there"))]
    NotFound,
    /// The response has another status than 200 and 404.
    #[snafu(display("the answer has status {status}"))]
    Status {
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The response's body could not be decoded.
    #[snafu(display("the answer can't be read: {source}"))]
    InvalidBody {
        /// The decoder's error.
        source: serde_json::Error,
    },
}

/// Runs `future` on a new runtime; fails if the runtime can't be created.
pub(crate) fn block_on<F: Future>(future: F) -> std::io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(future))
}

/// An HTTP client with default options.
pub(crate) fn client() -> Client {
    Client::new(Options::default())
}

/// Requests `path` from `address` and decodes the JSON body of the response.
pub(crate) async fn get<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    cx: &CancellationToken,
) -> Result<T, Error> {
    let mut call = Call::new(address, Method::GET, path);
    call.fresh = true;
    call.bounds = Bounds {
        connect_timeout: CONNECT_TIMEOUT,
        first_byte_timeout: RESPONSE_TIMEOUT,
        between_bytes_timeout: RESPONSE_TIMEOUT,
        ..Bounds::default()
    };
    let send = client.send_buffered(call, MAX_RESPONSE_BYTES, cx);
    let response = match monoio::time::timeout(RESPONSE_TIMEOUT, send).await {
        Ok(response) => response.context(SendSnafu)?,
        Err(_) => return TimedOutSnafu.fail(),
    };
    ensure!(response.status != StatusCode::NOT_FOUND, NotFoundSnafu);
    ensure!(
        response.status == StatusCode::OK,
        StatusSnafu {
            status: response.status
        }
    );
    serde_json::from_slice(&response.body).context(InvalidBodySnafu)
}
