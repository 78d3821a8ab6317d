//! Watches one document by a sequence of blocking reads.

use std::time::Duration;

use celerytide_types::{Version, now_boot};
use tokio_util::sync::CancellationToken;

use super::read::{Response, Source};
use super::{Backoff, WatchOptions, consul, jitter, sleep};
use crate::state::{ListOfferResult, ManifestOfferResult, Membership, Origin};
use crate::view::Document;

const MANIFEST_PATH: &str = "/v1/kv/celerytide/manifest?raw";
const INSTANCES_PATH: &str = "/v1/health/service/celerytide";
const ENDPOINTS_PATH: &str = "/v1/health/service/celerytide-endpoints";
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

/// State of the task that watches one document.
pub(super) struct Watch<'a, S> {
    membership: &'a Membership,
    source: &'a S,
    opts: &'a WatchOptions,
    document: Document,
    /// Index of the last confirmed read, beyond which the next read blocks; `None` if the next read must not block.
    last_index: Option<Version>,
    /// Counts failed reads; selects the address.
    address_index: usize,
    backoff: Backoff,
}

/// Outcome of one read.
enum ReadOutcome {
    /// The response confirms the view; holds the service's index, beyond which the next read blocks.
    Confirmed(Option<Version>),
    /// The response is older than the view, malformed, an error or missing.
    Failed(&'static str),
}

impl<'a, S: Source> Watch<'a, S> {
    pub(super) fn new(membership: &'a Membership, source: &'a S, opts: &'a WatchOptions, document: Document) -> Self {
        let backoff = Backoff::new(opts.backoff_min, opts.backoff_max);
        Watch {
            membership,
            source,
            opts,
            document,
            last_index: None,
            address_index: 0,
            backoff,
        }
    }

    pub(super) async fn run(mut self, cx: &CancellationToken) {
        let mut delay = jitter(self.opts.start_jitter);
        while sleep(delay, cx).await && !cx.is_cancelled() {
            delay = self.step(cx).await;
        }
    }

    /// Performs one read and returns the time until the next.
    async fn step(&mut self, cx: &CancellationToken) -> Duration {
        let sent_at = now_boot();
        let outcome = self.read(cx).await;
        let now = now_boot();
        match outcome {
            ReadOutcome::Confirmed(last_index) => {
                // `None` is lower than any index.
                let index_went_back = last_index < self.last_index;
                self.last_index = last_index.filter(|_| !index_went_back);
                self.membership.record_confirmation(now, self.document, sent_at);
                self.backoff.reset();
                let has_no_index = self.last_index.is_none();
                // Without an index the next read doesn't block, so it has to wait here.
                if has_no_index {
                    self.opts.backoff_max
                } else {
                    self.opts.min_gap
                }
            }
            ReadOutcome::Failed(cause) => {
                tracing::warn!(what = ?self.document, cause, "membership: read of the configuration service failed");
                self.opts.counters.failed.inc();
                // The next read asks the next address and doesn't block.
                self.last_index = None;
                self.address_index = self.address_index.wrapping_add(1);
                self.backoff.next(&mut rand::rng())
            }
        }
    }

    async fn read(&self, cx: &CancellationToken) -> ReadOutcome {
        let addrs = &self.opts.config_service;
        let addr = self.address_index.checked_rem(addrs.len()).and_then(|i| addrs.get(i));
        let Some(addr) = addr else {
            return ReadOutcome::Failed("no address");
        };
        self.opts.counters.by_document(self.document).inc();
        let timeout = self.opts.read_timeout
            + if self.last_index.is_some() {
                self.wait()
            } else {
                Duration::ZERO
            };
        let path = self.path();
        let read = self.source.read(*addr, &path, timeout, self.opts.max_body, cx);
        match read.await {
            Ok(response) => self.handle_response(response),
            Err(error) => {
                tracing::debug!(%error, "membership: read failed");
                ReadOutcome::Failed("no response")
            }
        }
    }

    fn path(&self) -> String {
        let path = match self.document {
            Document::Manifest => MANIFEST_PATH,
            Document::Instances => INSTANCES_PATH,
            Document::Endpoints => ENDPOINTS_PATH,
        };
        let Some(last_index) = self.last_index else {
            return path.to_owned();
        };
        let separator = if path.contains('?') { '&' } else { '?' };
        format!("{path}{separator}index={last_index}&wait={}", format_wait(self.wait()))
    }

    fn wait(&self) -> Duration {
        match self.document {
            Document::Manifest => self.opts.manifest_wait,
            Document::Instances | Document::Endpoints => self.opts.wait,
        }
    }

    fn handle_response(&self, response: Response) -> ReadOutcome {
        match response.status {
            OK => self.apply_document(response),
            // Nothing has been published yet.
            NOT_FOUND if self.has_no_document() => ReadOutcome::Confirmed(response.index),
            NOT_FOUND => ReadOutcome::Failed("not published any more"),
            _ => ReadOutcome::Failed("refused"),
        }
    }

    fn has_no_document(&self) -> bool {
        let view = self.membership.view();
        match self.document {
            Document::Manifest => view.manifest_version == 0,
            Document::Instances => view.list_version == 0,
            Document::Endpoints => view.endpoints_version == 0,
        }
    }

    fn apply_document(&self, response: Response) -> ReadOutcome {
        let Some(index) = response.index else {
            return ReadOutcome::Failed("no index");
        };
        match self.document {
            Document::Manifest => self.apply_manifest(index, &response.body),
            Document::Instances => match consul::parse_instances(&response.body) {
                Ok(list) => list_outcome(index, self.membership.offer_instances(now_boot(), index, list)),
                Err(error) => list_malformed(&error),
            },
            Document::Endpoints => match consul::parse_endpoints(&response.body) {
                Ok(list) => list_outcome(index, self.membership.offer_endpoints(now_boot(), index, list)),
                Err(error) => list_malformed(&error),
            },
        }
    }

    fn apply_manifest(&self, index: Version, body: &[u8]) -> ReadOutcome {
        let Ok(text) = std::str::from_utf8(body) else {
            return ReadOutcome::Failed("manifest is not UTF-8");
        };
        match self.membership.offer_manifest(&Origin::Service, text) {
            ManifestOfferResult::Older => ReadOutcome::Failed("manifest is older"),
            // A manifest that isn't put in force is still the newest one, so the read confirms that none was missed.
            ManifestOfferResult::Applied
            | ManifestOfferResult::Unchanged
            | ManifestOfferResult::OtherDigest
            | ManifestOfferResult::Invalid(_)
            | ManifestOfferResult::AwaitingSections(_) => ReadOutcome::Confirmed(Some(index)),
        }
    }
}

fn list_outcome(index: Version, result: ListOfferResult) -> ReadOutcome {
    match result {
        ListOfferResult::Older => ReadOutcome::Failed("list is older"),
        ListOfferResult::Applied | ListOfferResult::Unchanged | ListOfferResult::Reset => {
            ReadOutcome::Confirmed(Some(index))
        }
    }
}

fn list_malformed(error: &consul::ParseError) -> ReadOutcome {
    tracing::warn!(%error, "membership: list is malformed");
    ReadOutcome::Failed("list is malformed")
}

/// Formats a wait time for the service's query string.
fn format_wait(wait: Duration) -> String {
    match wait.subsec_millis() {
        0 => format!("{}s", wait.as_secs()),
        _ => format!("{}ms", wait.as_millis()),
    }
}
