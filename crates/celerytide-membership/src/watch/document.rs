//! The watch of one document.

use std::time::Duration;

use celerytide_types::{Version, now_boot};
use tokio_util::sync::CancellationToken;

use super::read::{Answer, Source};
use super::{Backoff, WatchOptions, consul, jitter, sleep};
use crate::state::{Applied, ListApplied, Membership, Origin};
use crate::view::Document;

const MANIFEST_PATH: &str = "/v1/kv/celerytide/manifest?raw";
const INSTANCES_PATH: &str = "/v1/health/service/celerytide";
const ENDPOINTS_PATH: &str = "/v1/health/service/celerytide-endpoints";
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

/// One task's state.
pub(super) struct Watch<'a, S> {
    membership: &'a Membership,
    source: &'a S,
    opts: &'a WatchOptions,
    what: Document,
    seen: Option<Version>,
    service: usize,
    backoff: Backoff,
}

/// What became of an answer.
enum Taken {
    /// It confirms the view; the index to wait beyond.
    Confirms(Option<Version>),
    /// It is older than the view, malformed or an error.
    Failed(&'static str),
}

impl<'a, S: Source> Watch<'a, S> {
    pub(super) fn new(membership: &'a Membership, source: &'a S, opts: &'a WatchOptions, what: Document) -> Self {
        let backoff = Backoff::new(opts.backoff_min, opts.backoff_max);
        Watch {
            membership,
            source,
            opts,
            what,
            seen: None,
            service: 0,
            backoff,
        }
    }

    pub(super) async fn run(mut self, cx: &CancellationToken) {
        let mut pause = jitter(self.opts.start_jitter);
        while sleep(pause, cx).await && !cx.is_cancelled() {
            pause = self.step(cx).await;
        }
    }

    /// One read; returns the time until the next.
    async fn step(&mut self, cx: &CancellationToken) -> Duration {
        let asked = now_boot();
        let taken = self.read(cx).await;
        let now = now_boot();
        match taken {
            Taken::Confirms(seen) => {
                let moved_back = seen < self.seen;
                self.seen = seen.filter(|_| !moved_back);
                self.membership.record_confirmation(now, self.what, asked);
                self.backoff.reset();
                let nothing_to_wait_for = self.seen.is_none();
                if nothing_to_wait_for {
                    self.opts.backoff_max
                } else {
                    self.opts.min_gap
                }
            }
            Taken::Failed(cause) => {
                tracing::warn!(what = ?self.what, cause, "membership: read of the configuration service failed");
                self.opts.counters.failed.inc();
                self.seen = None;
                self.service = self.service.wrapping_add(1);
                self.backoff.next(&mut rand::rng())
            }
        }
    }

    async fn read(&self, cx: &CancellationToken) -> Taken {
        let services = &self.opts.config_service;
        let at = self.service.checked_rem(services.len()).and_then(|at| services.get(at));
        let Some(addr) = at else {
            return Taken::Failed("no address");
        };
        self.opts.counters.of(self.what).inc();
        let timeout = self.opts.read_timeout
            + if self.seen.is_some() {
                self.wait()
            } else {
                Duration::ZERO
            };
        let path = self.path();
        let read = self.source.read(*addr, &path, timeout, self.opts.max_body, cx);
        match read.await {
            Ok(answer) => self.take(answer),
            Err(error) => {
                tracing::debug!(%error, "membership: read failed");
                Taken::Failed("no answer")
            }
        }
    }

    fn path(&self) -> String {
        let path = match self.what {
            Document::Manifest => MANIFEST_PATH,
            Document::Instances => INSTANCES_PATH,
            Document::Endpoints => ENDPOINTS_PATH,
        };
        let Some(seen) = self.seen else { return path.to_owned() };
        let mark = if path.contains('?') { '&' } else { '?' };
        format!("{path}{mark}index={seen}&wait={}", span(self.wait()))
    }

    fn wait(&self) -> Duration {
        match self.what {
            Document::Manifest => self.opts.manifest_wait,
            Document::Instances | Document::Endpoints => self.opts.wait,
        }
    }

    fn take(&self, answer: Answer) -> Taken {
        match answer.status {
            OK => self.take_document(answer),
            NOT_FOUND if self.holds_nothing() => Taken::Confirms(answer.index),
            NOT_FOUND => Taken::Failed("not published any more"),
            _ => Taken::Failed("refused"),
        }
    }

    fn holds_nothing(&self) -> bool {
        let view = self.membership.view();
        match self.what {
            Document::Manifest => view.manifest_version == 0,
            Document::Instances => view.list_version == 0,
            Document::Endpoints => view.endpoints_version == 0,
        }
    }

    fn take_document(&self, answer: Answer) -> Taken {
        let Some(index) = answer.index else {
            return Taken::Failed("no index");
        };
        match self.what {
            Document::Manifest => self.take_manifest(index, &answer.body),
            Document::Instances => match consul::parse_instances(&answer.body) {
                Ok(list) => taken(index, self.membership.offer_instances(now_boot(), index, list)),
                Err(error) => malformed(&error),
            },
            Document::Endpoints => match consul::parse_endpoints(&answer.body) {
                Ok(list) => taken(index, self.membership.offer_endpoints(now_boot(), index, list)),
                Err(error) => malformed(&error),
            },
        }
    }

    fn take_manifest(&self, index: Version, body: &[u8]) -> Taken {
        let Ok(text) = std::str::from_utf8(body) else {
            return Taken::Failed("manifest is not UTF-8");
        };
        match self.membership.offer_manifest(&Origin::Service, text) {
            Applied::Older => Taken::Failed("manifest is older"),
            Applied::Applied | Applied::Same | Applied::OtherDigest | Applied::Invalid(_) | Applied::Waits(_) => {
                Taken::Confirms(Some(index))
            }
        }
    }
}

fn taken(index: Version, applied: ListApplied) -> Taken {
    match applied {
        ListApplied::Older => Taken::Failed("list is older"),
        ListApplied::Applied | ListApplied::Same | ListApplied::Reset => Taken::Confirms(Some(index)),
    }
}

fn malformed(error: &consul::ParseError) -> Taken {
    tracing::warn!(%error, "membership: list is malformed");
    Taken::Failed("list is malformed")
}

/// A time span as the service reads it.
fn span(wait: Duration) -> String {
    match wait.subsec_millis() {
        0 => format!("{}s", wait.as_secs()),
        _ => format!("{}ms", wait.as_millis()),
    }
}
