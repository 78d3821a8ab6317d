//! Watches the three published documents by blocking reads.
//!
//! One task per document. A read names the index it has seen, and the service answers when there is a higher one or the
//! wait is over. When the service is down, reads back off exponentially with jitter. A lower version is never applied; it
//! isn't a confirmation either, so a service that fell behind leaves the views stale, not reverted.

mod backoff;
mod consul;
mod document;
mod http;
mod read;
mod section;

use std::net::SocketAddr;
use std::time::Duration;

use futures::join;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::state::Membership;
use crate::view::Document;

pub use backoff::Backoff;
pub use consul::{ParseError, parse_endpoints, parse_instances};
pub use read::{Answer, ReadCounters, ReadError, Source};
pub use section::read_section;

/// How to watch.
#[derive(Debug, Clone)]
pub struct WatchOptions {
    /// Addresses of the configuration service; the next one is asked after a failure.
    pub config_service: Vec<SocketAddr>,
    /// How long a read of a list may block at the service.
    pub wait: Duration,
    /// How long a read of the manifest may block; the service sends the whole text when it ends.
    pub manifest_wait: Duration,
    /// Time beyond `wait` after which a read has failed.
    pub read_timeout: Duration,
    /// The first read begins at a random time within this span.
    pub start_jitter: Duration,
    /// Shortest time between two reads of a document.
    pub min_gap: Duration,
    /// Backoff after the first failure.
    pub backoff_min: Duration,
    /// Longest backoff.
    pub backoff_max: Duration,
    /// Largest body that is read, in bytes.
    pub max_body: usize,
    /// Reads by document; register clones with the metrics.
    pub counters: ReadCounters,
}

impl Default for WatchOptions {
    fn default() -> WatchOptions {
        WatchOptions {
            config_service: Vec::new(),
            wait: Duration::from_secs(20),
            manifest_wait: Duration::from_secs(20),
            read_timeout: Duration::from_secs(5),
            start_jitter: Duration::from_secs(1),
            min_gap: Duration::from_millis(100),
            backoff_min: Duration::from_millis(200),
            backoff_max: Duration::from_secs(2),
            max_body: 2 << 20,
            counters: ReadCounters::default(),
        }
    }
}

/// Watches until `cx` is cancelled.
pub async fn watch<S: Source>(membership: &Membership, source: &S, opts: &WatchOptions, cx: &CancellationToken) {
    let one = |what: Document| document::Watch::new(membership, source, opts, what).run(cx);
    join!(
        one(Document::Manifest),
        one(Document::Instances),
        one(Document::Endpoints)
    );
}

/// Sleeps; false if `cx` was cancelled first.
pub(crate) async fn sleep(span: Duration, cx: &CancellationToken) -> bool {
    cx.run_until_cancelled(monoio::time::sleep(span)).await.is_some()
}

/// A random share of `span`.
pub(crate) fn jitter(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.0..1.0))
}
