//! The client interface that the watches read through.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::Version;
use prometheus_client::metrics::counter::Counter;
use snafu::Snafu;
use tokio_util::sync::CancellationToken;

use crate::view::Document;

/// A response of the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the `X-Consul-Index` header, if present and valid.
    pub index: Option<Version>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Why a read got no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ReadError {
    /// The connection failed or broke.
    #[snafu(display("the configuration service can't be reached: {cause}"))]
    Unreachable {
        /// Error text of the client.
        cause: String,
    },
    /// No complete response within the timeout.
    #[snafu(display("the configuration service did not respond in time"))]
    Timeout,
    /// The body is larger than allowed.
    #[snafu(display("the response is larger than {max} bytes"))]
    TooLarge {
        /// Largest accepted size in bytes.
        max: usize,
    },
}

/// Performs HTTP GET requests; implemented by the daemon's client.
pub trait Source {
    /// Reads `path` at `addr` within `timeout`, with a body of at most `max_body` bytes.
    ///
    /// # Errors
    /// [`ReadError`] if no complete response arrived.
    fn read(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
        max_body: usize,
        cx: &CancellationToken,
    ) -> impl Future<Output = Result<Response, ReadError>>;
}

/// Counters of reads by document; a blocking read counts once.
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
    pub(crate) fn by_document(&self, document: Document) -> &Counter {
        match document {
            Document::Manifest => &self.manifest,
            Document::Instances => &self.instances,
            Document::Endpoints => &self.endpoints,
        }
    }
}
