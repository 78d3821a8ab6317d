//! The views of one process, fed by watches of the configuration service and by peers.

mod inner;
mod lists;
mod manifests;
mod peer_digests;
mod sections;

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use celerytide_manifest::{check_manifest, check_section};
use celerytide_types::{BootTime, Incarnation, InstanceId, Version};

use crate::events::DocumentEvent;
use crate::freshness::{Freshness, PeerFreshness};
use crate::view::{Document, EndpointEntry, Instance, PeerLists, View, ViewDigest};

use inner::Inner;
pub use lists::ListOfferResult;
pub use manifests::{Check, CheckSection, ManifestOfferResult, SectionOfferResult};
pub use peer_digests::PeerFetch;
pub use sections::MissingSection;

/// Time bounds of the views, and the checks of published documents.
#[derive(Debug, Clone)]
pub struct Options {
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Checks a manifest; the arguments are the name to show in faults and the text.
    pub check: Check,
    /// Checks a section of a manifest.
    pub check_section: CheckSection,
    /// Time after a response of the configuration service during which views are fresh; longer than a blocking read may
    /// last.
    pub fresh_for: Duration,
    /// Gap between ticks above which the process counts as suspended.
    pub suspension_threshold: Duration,
    /// Time for which a peer may have newer lists than this process before the own views count as stale.
    pub ahead_bound: Duration,
    /// Time for which a peer's digest is taken into account.
    pub digest_max_age: Duration,
    /// Time after which a fetch from a peer may be repeated with another peer.
    pub fetch_timeout: Duration,
    /// Time for which all reads must have returned a lower list version before the list service counts as rebuilt;
    /// [`Options::reset_reads`] must be reached too.
    pub reset_after: Duration,
    /// Number of reads in a row with a lower list version before the list service counts as rebuilt;
    /// [`Options::reset_after`] must have passed too. A read that returns the version in force or a higher one ends the
    /// row, and one below the read before starts it anew.
    pub reset_reads: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            incarnation: celerytide_types::new_incarnation(),
            check: check_manifest,
            check_section,
            fresh_for: Duration::from_secs(30),
            suspension_threshold: Duration::from_secs(2),
            ahead_bound: Duration::from_secs(5),
            digest_max_age: Duration::from_secs(10),
            fetch_timeout: Duration::from_secs(1),
            reset_after: Duration::from_secs(60),
            reset_reads: 3,
        }
    }
}

/// Source of an offered document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The configuration service.
    Service,
    /// The peer with this id.
    Peer(InstanceId),
}

/// The views of one process; clones share one state.
#[derive(Debug, Clone)]
pub struct Membership {
    inner: Rc<RefCell<Inner>>,
}

impl Membership {
    /// Creates empty views; `now` is the start of the process.
    pub fn new(now: BootTime, opts: Options) -> Membership {
        let inner = Inner::new(now, opts);
        Membership {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// The current view.
    pub fn view(&self) -> Rc<View> {
        self.inner.borrow().view.clone()
    }

    /// Waits for a view generation greater than `generation_seen` and returns it.
    pub async fn changed(&self, generation_seen: u64) -> u64 {
        poll_fn(|cx| {
            let mut inner = self.inner.borrow_mut();
            let generation = inner.view.generation;
            if generation > generation_seen {
                return Poll::Ready(generation);
            }
            let is_registered = inner.wakers.iter().any(|w| w.will_wake(cx.waker()));
            if !is_registered {
                inner.wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await
    }

    /// Offers a manifest's text; only a valid one with a higher version is put in force.
    pub fn offer_manifest(&self, origin: &Origin, text: &str) -> ManifestOfferResult {
        let mut inner = self.inner.borrow_mut();
        let check = inner.opts.check;
        let offered = inner.manifests.offer(check, origin, text);
        inner.record_manifest_offers(&offered);
        offered
            .into_iter()
            .next_back()
            .map_or(ManifestOfferResult::Unchanged, |last| last.result)
    }

    /// Offers the text of a section; it is stored only if it matches `digest`.
    pub fn offer_section(&self, origin: &Origin, digest: &str, text: &str) -> SectionOfferResult {
        let mut inner = self.inner.borrow_mut();
        let check = inner.opts.check_section;
        let (result, offered) = inner.manifests.offer_section(check, digest, text);
        if result == SectionOfferResult::OtherDigest {
            inner.record_section_rejection(origin, digest, "has another digest");
        }
        inner.record_manifest_offers(&offered);
        result
    }

    /// Records that neither the configuration service nor a peer provided a section that a waiting manifest needs.
    pub fn section_not_found(&self, origin: &Origin, digest: &str) {
        self.inner
            .borrow_mut()
            .record_section_rejection(origin, digest, "is missing");
    }

    /// Waits until manifests need sections that are not stored, and returns these.
    pub async fn missing_sections(&self) -> Vec<MissingSection> {
        poll_fn(|cx| {
            let mut inner = self.inner.borrow_mut();
            let missing = inner.manifests.missing_sections();
            if !missing.is_empty() {
                return Poll::Ready(missing);
            }
            inner.sections_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Whether a waiting manifest needs the section and it is not stored.
    pub fn needs_section(&self, digest: &str) -> bool {
        self.inner.borrow().manifests.section_needed_by(digest).is_some()
    }

    /// Text of a stored section, for peers.
    pub fn section_text(&self, digest: &str) -> Option<Rc<str>> {
        self.inner.borrow().manifests.section_text(digest)
    }

    /// Text of the manifest in force, for peers.
    pub fn manifest_text(&self) -> Option<Rc<str>> {
        self.inner.borrow().manifests.text()
    }

    /// Offers an instance list read from the configuration service.
    pub fn offer_instances(&self, now: BootTime, version: Version, list: Vec<Instance>) -> ListOfferResult {
        let mut inner = self.inner.borrow_mut();
        let rule = inner.reset_rule();
        let result = inner.instances.offer(now, version, list, rule);
        inner.record_list_offer(Document::Instances, result, &Origin::Service, version);
        result
    }

    /// Offers an endpoint list read from the configuration service.
    pub fn offer_endpoints(&self, now: BootTime, version: Version, list: Vec<EndpointEntry>) -> ListOfferResult {
        let mut inner = self.inner.borrow_mut();
        let rule = inner.reset_rule();
        let result = inner.endpoints.offer(now, version, list, rule);
        inner.record_list_offer(Document::Endpoints, result, &Origin::Service, version);
        result
    }

    /// Treats an instance as leaving in this process's view although the list doesn't say so, or undoes that; returns
    /// whether the set of suspected instances changed.
    pub fn set_suspected(&self, id: &str, suspected: bool) -> bool {
        let mut inner = self.inner.borrow_mut();
        let changed = match suspected {
            true => inner.suspected.insert(id.to_owned()),
            false => inner.suspected.remove(id),
        };
        if changed {
            inner.refresh_view();
        }
        changed
    }

    /// The current lists, for a peer that can't read the configuration service.
    pub fn peer_lists(&self) -> PeerLists {
        let view = self.view();
        PeerLists {
            instances: self.inner.borrow().instances.entries.to_vec(),
            list_version: view.list_version,
            endpoints: view.endpoints.to_vec(),
            endpoints_version: view.endpoints_version,
        }
    }

    /// Offers a peer's copy of the lists; only higher versions are applied, and only while the configuration service
    /// doesn't respond. The copy doesn't make the views fresh.
    pub fn offer_peer_lists(&self, now: BootTime, from: &InstanceId, lists: PeerLists) {
        let mut inner = self.inner.borrow_mut();
        if !inner.accepts_peer_lists(now) {
            return;
        }
        let origin = Origin::Peer(from.clone());
        if lists.list_version > inner.instances.version {
            let result = inner.instances.offer_higher(lists.list_version, lists.instances);
            inner.record_list_offer(Document::Instances, result, &origin, lists.list_version);
        }
        if lists.endpoints_version > inner.endpoints.version {
            let result = inner.endpoints.offer_higher(lists.endpoints_version, lists.endpoints);
            inner.record_list_offer(Document::Endpoints, result, &origin, lists.endpoints_version);
        }
    }

    /// Summary of the views to send to peers.
    pub fn digest(&self, now: BootTime) -> ViewDigest {
        let inner = self.inner.borrow();
        let age = inner.freshness_tracker.confirmed_age(now);
        ViewDigest {
            manifest_version: inner.view.manifest_version,
            manifest_digest: inner.view.manifest_digest.clone(),
            list_version: inner.view.list_version,
            endpoints_version: inner.view.endpoints_version,
            incarnation: inner.opts.incarnation,
            confirmed_ms_ago: age.map(|age| age.as_millis().try_into().unwrap_or(u64::MAX)),
        }
    }

    /// Records a peer's digest and returns what to fetch from it.
    pub fn receive_digest(&self, now: BootTime, from: &InstanceId, digest: &ViewDigest) -> PeerFetch {
        let mut inner = self.inner.borrow_mut();
        inner.peer_digests.record(now, from, digest);
        inner.compare_lists(now, digest);
        inner.plan_fetch(now, from, digest)
    }

    /// Records that a fetch from a peer failed, so that the next peer that is ahead is asked at once.
    pub fn fetch_failed(&self, from: &InstanceId) {
        self.inner.borrow_mut().peer_digests.fetch_failed(from);
    }

    /// Records a response of the configuration service to a read sent at `sent_at`. Returns false if the process was
    /// suspended in between; the document then has to be read again.
    pub fn record_confirmation(&self, now: BootTime, document: Document, sent_at: BootTime) -> bool {
        self.inner
            .borrow_mut()
            .freshness_tracker
            .confirm(now, document, sent_at)
    }

    /// Whether the views may be trusted now.
    pub fn freshness(&self, now: BootTime) -> Freshness {
        let inner = self.inner.borrow();
        let by_service = inner.freshness_tracker.freshness(now);
        let behind = inner.peer_digests.ahead_for(now) > inner.opts.ahead_bound;
        if by_service == Freshness::Fresh && behind {
            return Freshness::Stale {
                age: inner.freshness_tracker.age(now),
            };
        }
        by_service
    }

    /// Whether peers reach the configuration service, according to their recent digests.
    pub fn peer_freshness(&self, now: BootTime) -> PeerFreshness {
        let inner = self.inner.borrow();
        inner
            .peer_digests
            .peer_freshness(now, inner.opts.digest_max_age, inner.opts.fresh_for)
    }

    /// Records that the process is running; call it several times within [`Options::suspension_threshold`].
    pub fn tick(&self, now: BootTime) {
        self.inner.borrow_mut().freshness_tracker.tick(now);
    }

    /// Removes and returns the changes and rejections since the last call, for the audit trail.
    pub fn take_events(&self) -> Vec<DocumentEvent> {
        self.inner.borrow_mut().events.drain()
    }
}

impl Origin {
    pub(super) fn name(&self) -> &str {
        match self {
            Origin::Service => "service",
            Origin::Peer(id) => id,
        }
    }
}
