//! Watches the three published documents by blocking reads, one task per document.
//!
//! The configuration service speaks the HTTP protocol of Consul. A read names the last index seen, and the service
//! responds once there is a higher one or the wait time is over. While the service is down, reads back off
//! exponentially with jitter. A lower version is neither applied nor counted as a confirmation, so a service that fell
//! behind makes the views stale but never reverts them.

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
pub use read::{ReadCounters, ReadError, Response, Source};
pub use section::read_section;

/// Settings of the watches.
#[derive(Debug, Clone)]
pub struct WatchOptions {
    /// Addresses of the configuration service; a failed read moves on to the next one.
    pub config_service: Vec<SocketAddr>,
    /// Longest time that a read of a list may block at the service.
    pub wait: Duration,
    /// Longest time that a read of the manifest may block; the service then sends the whole text even if unchanged.
    pub manifest_wait: Duration,
    /// Timeout of a read, in addition to the wait time.
    pub read_timeout: Duration,
    /// Upper bound of the random delay before the first read.
    pub start_jitter: Duration,
    /// Shortest time between two reads of a document.
    pub min_gap: Duration,
    /// Backoff after the first failure.
    pub backoff_min: Duration,
    /// Longest backoff.
    pub backoff_max: Duration,
    /// Largest accepted body in bytes.
    pub max_body: usize,
    /// Counters of reads by document; register clones with the metrics.
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

/// Watches all documents until `cx` is cancelled.
pub async fn watch<S: Source>(membership: &Membership, source: &S, opts: &WatchOptions, cx: &CancellationToken) {
    let watch_document = |document: Document| document::Watch::new(membership, source, opts, document).run(cx);
    join!(
        watch_document(Document::Manifest),
        watch_document(Document::Instances),
        watch_document(Document::Endpoints)
    );
}

/// Sleeps for `span`; returns false if `cx` was cancelled first.
pub(crate) async fn sleep(span: Duration, cx: &CancellationToken) -> bool {
    cx.run_until_cancelled(monoio::time::sleep(span)).await.is_some()
}

/// A random duration below `span`.
pub(crate) fn jitter(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.0..1.0))
}
