//! What the watches need of a client.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::Version;
use prometheus_client::metrics::counter::Counter;
use snafu::Snafu;
use tokio_util::sync::CancellationToken;

use crate::view::Document;

/// An answer of the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `X-Consul-Index`.
    pub index: Option<Version>,
    /// Body.
    pub body: Vec<u8>,
}

/// A read that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ReadError {
    /// No connection, or it broke.
    #[snafu(display("the configuration service can't be reached: {cause}"))]
    Unreachable {
        /// The client's words.
        cause: String,
    },
    /// No answer in time.
    #[snafu(display("the configuration service did not answer in time"))]
    Timeout,
    /// The answer's body is larger than allowed.
    #[snafu(display("the answer is larger than {max} bytes"))]
    TooLarge {
        /// The bound.
        max: usize,
    },
}

/// One HTTP GET; the daemon's client implements it.
pub trait Source {
    /// Reads `path` at `addr` within `timeout`, with a body of at most `max_body` bytes.
    ///
    /// # Errors
    /// [`ReadError`] if no whole answer came.
    fn read(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
        max_body: usize,
        cx: &CancellationToken,
    ) -> impl Future<Output = Result<Answer, ReadError>>;
}

/// Reads of the service, by document; a waiting read counts once.
#[derive(Debug, Clone, Default)]
pub struct ReadCounters {
    /// Reads of the manifest.
    pub manifest: Counter,
    /// Reads of sections of the manifest.
    pub sections: Counter,
    /// Reads of the instance list.
    pub instances: Counter,
    /// Reads of the endpoint list.
    pub endpoints: Counter,
    /// Reads that failed.
    pub failed: Counter,
}

impl ReadCounters {
    pub(crate) fn of(&self, what: Document) -> &Counter {
        match what {
            Document::Manifest => &self.manifest,
            Document::Instances => &self.instances,
            Document::Endpoints => &self.endpoints,
        }
    }
}
