//! The state shared by clones of a [`Membership`](super::Membership).

use std::collections::BTreeSet;
use std::rc::Rc;
use std::task::Waker;

use celerytide_manifest::{Fault, section_key};
use celerytide_types::{BootTime, InstanceId, Version};

use super::lists::{ListOfferResult, ResetRule, VersionedList};
use super::manifests::{ManifestOfferResult, Manifests, OfferedManifest};
use super::peer_digests::{PeerDigests, PeerFetch};
use super::{Options, Origin};
use crate::events::{DocumentEvent, EventQueue};
use crate::freshness::{Freshness, FreshnessTracker};
use crate::view::{Document, EndpointEntry, Instance, View, ViewDigest};

/// Views, their freshness, digests of peers and unread events.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) opts: Options,
    pub(super) view: Rc<View>,
    pub(super) manifests: Manifests,
    pub(super) instances: VersionedList<Instance>,
    pub(super) endpoints: VersionedList<EndpointEntry>,
    pub(super) suspected: BTreeSet<InstanceId>,
    pub(super) freshness_tracker: FreshnessTracker,
    pub(super) peer_digests: PeerDigests,
    pub(super) events: EventQueue,
    pub(super) wakers: Vec<Waker>,
    /// Wakes the task that fetches sections.
    pub(super) sections_waker: Option<Waker>,
}

impl Inner {
    pub(super) fn new(now: BootTime, opts: Options) -> Inner {
        let freshness_tracker = FreshnessTracker::new(now, opts.fresh_for, opts.suspension_threshold);
        Inner {
            opts,
            view: Rc::new(empty_view()),
            manifests: Manifests::default(),
            instances: VersionedList::new(),
            endpoints: VersionedList::new(),
            suspected: BTreeSet::new(),
            freshness_tracker,
            peer_digests: PeerDigests::default(),
            events: EventQueue::default(),
            wakers: Vec::new(),
            sections_waker: None,
        }
    }

    pub(super) fn reset_rule(&self) -> ResetRule {
        ResetRule {
            after: self.opts.reset_after,
            reads: self.opts.reset_reads,
        }
    }

    pub(super) fn record_manifest_offers(&mut self, offered: &[OfferedManifest]) {
        if offered.iter().any(|o| o.result == ManifestOfferResult::Applied) {
            self.refresh_view();
        }
        for offered in offered {
            let cause = match &offered.result {
                ManifestOfferResult::Unchanged => continue,
                ManifestOfferResult::Applied => "applied",
                ManifestOfferResult::Older => "older-version",
                ManifestOfferResult::OtherDigest => "same-version-other-digest",
                ManifestOfferResult::Invalid(faults) => &describe_faults(faults),
                ManifestOfferResult::AwaitingSections(_) => "waits-for-sections",
            };
            let applied = offered.result == ManifestOfferResult::Applied;
            self.record_event(Document::Manifest, applied, cause, &offered.origin, offered.version);
        }
        if let Some(waker) = self.sections_waker.take() {
            waker.wake();
        }
    }

    pub(super) fn record_section_rejection(&mut self, origin: &Origin, digest: &str, reason: &str) {
        if let Some(version) = self.manifests.section_needed_by(digest) {
            let cause = format!("section {} {reason}", section_key(digest));
            self.record_event(Document::Manifest, false, &cause, origin, version);
        }
    }

    pub(super) fn record_list_offer(
        &mut self,
        document: Document,
        result: ListOfferResult,
        origin: &Origin,
        version: Version,
    ) {
        let (in_force, cause) = match result {
            ListOfferResult::Unchanged => return,
            ListOfferResult::Applied => (true, "applied"),
            ListOfferResult::Older => (false, "older-version"),
            ListOfferResult::Reset => (true, "list-service-rebuilt"),
        };
        if in_force {
            self.refresh_view();
            let (list, endpoints) = (self.instances.version, self.endpoints.version);
            self.peer_digests
                .clear_ahead_if_caught_up(list, endpoints, result == ListOfferResult::Reset);
        }
        self.record_event(document, in_force, cause, origin, version);
    }

    pub(super) fn refresh_view(&mut self) {
        let view = View {
            generation: self.view.generation + 1,
            manifest: self.manifests.manifest(),
            manifest_version: self.manifests.version(),
            manifest_digest: self.manifests.digest(),
            instances: self.instances_in_view(),
            list_version: self.instances.version,
            list_epoch: self.instances.epoch,
            list_ceiling: self.instances.ceiling,
            endpoints: self.endpoints.entries.clone(),
            endpoints_version: self.endpoints.version,
        };
        self.view = Rc::new(view);
        let view = self.view.clone();
        self.peer_digests.retain(|id| view.instance(id).is_some());
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }

    /// The instance list with suspected instances marked as leaving.
    fn instances_in_view(&self) -> Rc<Vec<Instance>> {
        if self.suspected.is_empty() {
            return self.instances.entries.clone();
        }
        let in_view = |i: &Instance| Instance {
            live: i.live && !self.suspected.contains(&i.id),
            ..i.clone()
        };
        Rc::new(self.instances.entries.iter().map(in_view).collect())
    }

    /// Records that a peer with fresh views has newer lists. Versions of two epochs of the list service aren't
    /// compared.
    pub(super) fn compare_lists(&mut self, now: BootTime, digest: &ViewDigest) {
        let comparable = self.instances.ceiling.is_none() && self.endpoints.ceiling.is_none();
        let fresh_ms = self.opts.fresh_for.as_millis();
        let confirmed = digest.confirmed_ms_ago.is_some_and(|ms| u128::from(ms) <= fresh_ms);
        let newer = digest.list_version > self.instances.version || digest.endpoints_version > self.endpoints.version;
        if comparable && confirmed && newer {
            self.peer_digests
                .record_ahead(now, digest.list_version, digest.endpoints_version);
        }
    }

    pub(super) fn plan_fetch(&mut self, now: BootTime, from: &InstanceId, digest: &ViewDigest) -> PeerFetch {
        let fetch_timeout = self.opts.fetch_timeout;
        let version = digest.manifest_version;
        self.record_digest_mismatch(from, digest);
        let is_newer = version > self.manifests.version();
        let manifest = is_newer
            && self
                .peer_digests
                .start_manifest_fetch(now, from, version, fetch_timeout);
        let version = digest.list_version.saturating_add(digest.endpoints_version);
        let lists =
            self.needs_lists(now, digest) && self.peer_digests.start_lists_fetch(now, from, version, fetch_timeout);
        PeerFetch { manifest, lists }
    }

    fn record_digest_mismatch(&mut self, from: &InstanceId, digest: &ViewDigest) {
        let version = digest.manifest_version;
        let same_version = version > 0 && version == self.manifests.version();
        if same_version && digest.manifest_digest != self.manifests.digest() {
            let origin = Origin::Peer(from.clone());
            self.record_event(Document::Manifest, false, "same-version-other-digest", &origin, version);
        }
    }

    /// Whether to fetch a peer's newer lists; never while the configuration service responds, whose own lists take
    /// precedence.
    fn needs_lists(&self, now: BootTime, digest: &ViewDigest) -> bool {
        let newer = digest.list_version > self.instances.version || digest.endpoints_version > self.endpoints.version;
        newer && self.accepts_peer_lists(now)
    }

    pub(super) fn accepts_peer_lists(&self, now: BootTime) -> bool {
        let comparable = self.instances.ceiling.is_none() && self.endpoints.ceiling.is_none();
        comparable && self.freshness_tracker.freshness(now) != Freshness::Fresh
    }

    pub(super) fn record_event(
        &mut self,
        about: Document,
        applied: bool,
        cause: &str,
        origin: &Origin,
        version: Version,
    ) {
        let (cause, origin) = (cause.to_owned(), origin.name().to_owned());
        tracing::info!(?about, applied, cause, origin, version, "membership: document offered");
        self.events.push(DocumentEvent {
            about,
            applied,
            cause,
            origin,
            version,
        });
    }
}

/// The first fault, with its line and field, and the number of further ones.
fn describe_faults(faults: &[Fault]) -> String {
    match faults {
        [] => String::from("invalid"),
        [only] => format!("invalid: {only}"),
        [first, rest @ ..] => format!("invalid: {first} (and {} more)", rest.len()),
    }
}

fn empty_view() -> View {
    View {
        generation: 0,
        manifest: None,
        manifest_version: 0,
        manifest_digest: String::new(),
        instances: Rc::default(),
        list_version: 0,
        list_epoch: 0,
        list_ceiling: None,
        endpoints: Rc::default(),
        endpoints_version: 0,
    }
}
