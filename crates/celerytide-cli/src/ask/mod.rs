//! Questions to a daemon at its operators' address.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_http::client::{Bounds, Call, Client, Options, SendError};
use http::{Method, StatusCode};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use tokio_util::sync::CancellationToken;

const CONNECT: Duration = Duration::from_secs(1);
const ANSWER: Duration = Duration::from_secs(5);
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Why a daemon gave no usable answer.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// No whole answer came.
    #[snafu(display("no answer: {source}"))]
    Send {
        /// The client's error.
        source: SendError,
    },
    /// The whole answer took too long.
    #[snafu(display("no answer within {} s", ANSWER.as_secs()))]
    Late,
    /// The daemon does not know what was asked for.
    #[snafu(display("unknown there"))]
    Unknown,
    /// The answer has another status than 200.
    #[snafu(display("the answer has status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The answer's body is not what was expected.
    #[snafu(display("the answer can't be read: {source}"))]
    Body {
        /// The decoder's error.
        source: serde_json::Error,
    },
}

/// Runs `work` on a runtime of its own; returns nothing where no runtime can be made.
pub(crate) fn block_on<F: Future>(work: F) -> std::io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(work))
}

/// A client for short questions.
pub(crate) fn client() -> Client {
    Client::new(Options::default())
}

/// Asks `address` for `path` and reads the JSON body of its answer.
pub(crate) async fn get<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    cx: &CancellationToken,
) -> Result<T, Error> {
    let mut call = Call::new(address, Method::GET, path);
    call.fresh = true;
    call.bounds = Bounds {
        connect: CONNECT,
        first_byte: ANSWER,
        between_bytes: ANSWER,
        ..Bounds::default()
    };
    let send = client.send_buffered(call, ANSWER_MAX_BYTES, cx);
    let whole = match monoio::time::timeout(ANSWER, send).await {
        Ok(whole) => whole.context(SendSnafu)?,
        Err(_) => return LateSnafu.fail(),
    };
    ensure!(whole.status != StatusCode::NOT_FOUND, UnknownSnafu);
    ensure!(whole.status == StatusCode::OK, StatusSnafu { status: whole.status });
    serde_json::from_slice(&whole.body).context(BodySnafu)
}
