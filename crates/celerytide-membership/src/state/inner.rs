//! The state behind a [`Membership`](super::Membership).

use std::collections::BTreeSet;
use std::rc::Rc;
use std::task::Waker;

use celerytide_manifest::{Fault, section_key};
use celerytide_types::{BootTime, InstanceId, Version};

use super::heard::{Heard, Wanted};
use super::lists::{ListApplied, Listed, ResetRule};
use super::manifests::{Applied, Manifests, Offered};
use super::{Options, Origin};
use crate::fresh::{Clockwork, Freshness};
use crate::news::{News, Queue};
use crate::view::{EndpointEntry, Instance, View, ViewDigest, Watched};

/// Views, their clock, peers' words and news.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) opts: Options,
    pub(super) view: Rc<View>,
    pub(super) manifests: Manifests,
    pub(super) instances: Listed<Instance>,
    pub(super) endpoints: Listed<EndpointEntry>,
    pub(super) suspects: BTreeSet<InstanceId>,
    pub(super) clockwork: Clockwork,
    pub(super) heard: Heard,
    pub(super) news: Queue,
    pub(super) wakers: Vec<Waker>,
    /// Wakes the task that fetches sections.
    pub(super) sections_waker: Option<Waker>,
}

impl Inner {
    pub(super) fn new(now: BootTime, opts: Options) -> Inner {
        let clockwork = Clockwork::new(now, opts.fresh_for, opts.pause_bound);
        Inner {
            opts,
            view: Rc::new(empty_view()),
            manifests: Manifests::default(),
            instances: Listed::new(),
            endpoints: Listed::new(),
            suspects: BTreeSet::new(),
            clockwork,
            heard: Heard::default(),
            news: Queue::default(),
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

    pub(super) fn manifests_offered(&mut self, offered: &[Offered]) {
        if offered.iter().any(|o| o.applied == Applied::Applied) {
            self.refresh_view();
        }
        for offered in offered {
            let cause = match &offered.applied {
                Applied::Same => continue,
                Applied::Applied => "applied",
                Applied::Older => "older-version",
                Applied::OtherDigest => "same-version-other-digest",
                Applied::Invalid(faults) => &invalid(faults),
                Applied::Waits(_) => "waits-for-sections",
            };
            let applied = offered.applied == Applied::Applied;
            self.tell(Watched::Manifest, applied, cause, &offered.origin, offered.version);
        }
        if let Some(waker) = self.sections_waker.take() {
            waker.wake();
        }
    }

    pub(super) fn section_refused(&mut self, origin: &Origin, digest: &str, what: &str) {
        if let Some(version) = self.manifests.section_wanted_by(digest) {
            let cause = format!("section {} {what}", section_key(digest));
            self.tell(Watched::Manifest, false, &cause, origin, version);
        }
    }

    pub(super) fn list_offered(&mut self, what: Watched, applied: ListApplied, origin: &Origin, version: Version) {
        let (in_force, cause) = match applied {
            ListApplied::Same => return,
            ListApplied::Applied => (true, "applied"),
            ListApplied::Older => (false, "older-version"),
            ListApplied::Reset => (true, "list-service-rebuilt"),
        };
        if in_force {
            self.refresh_view();
            let (list, endpoints) = (self.instances.version, self.endpoints.version);
            self.heard.caught_up(list, endpoints, applied == ListApplied::Reset);
        }
        self.tell(what, in_force, cause, origin, version);
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
        self.heard.retain(|id| view.instance(id).is_some());
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }

    /// The list, with suspects as leaving.
    fn instances_in_view(&self) -> Rc<Vec<Instance>> {
        if self.suspects.is_empty() {
            return self.instances.entries.clone();
        }
        let in_view = |i: &Instance| Instance {
            live: i.live && !self.suspects.contains(&i.id),
            ..i.clone()
        };
        Rc::new(self.instances.entries.iter().map(in_view).collect())
    }

    pub(super) fn compare_lists(&mut self, now: BootTime, digest: &ViewDigest) {
        let comparable = self.instances.ceiling.is_none() && self.endpoints.ceiling.is_none();
        let fresh_ms = self.opts.fresh_for.as_millis();
        let confirmed = digest.confirmed_ms_ago.is_some_and(|ms| u128::from(ms) <= fresh_ms);
        let newer = digest.list_version > self.instances.version || digest.endpoints_version > self.endpoints.version;
        if comparable && confirmed && newer {
            self.heard
                .peer_is_ahead(now, digest.list_version, digest.endpoints_version);
        }
    }

    pub(super) fn wanted(&mut self, now: BootTime, from: &InstanceId, digest: &ViewDigest) -> Wanted {
        let fetch_for = self.opts.fetch_for;
        let version = digest.manifest_version;
        self.tell_other_digest(from, digest);
        let newer = version > self.manifests.version();
        let manifest = newer && self.heard.start_manifest_fetch(now, from, version, fetch_for);
        let version = digest.list_version.saturating_add(digest.endpoints_version);
        let lists = self.wants_lists(now, digest) && self.heard.start_lists_fetch(now, from, version, fetch_for);
        Wanted { manifest, lists }
    }

    fn tell_other_digest(&mut self, from: &InstanceId, digest: &ViewDigest) {
        let version = digest.manifest_version;
        let same_version = version > 0 && version == self.manifests.version();
        if same_version && digest.manifest_digest != self.manifests.digest() {
            let origin = Origin::Peer(from.clone());
            self.tell(Watched::Manifest, false, "same-version-other-digest", &origin, version);
        }
    }

    /// Only while the service doesn't answer: a peer's copy must not stand against the service's own word.
    fn wants_lists(&self, now: BootTime, digest: &ViewDigest) -> bool {
        let newer = digest.list_version > self.instances.version || digest.endpoints_version > self.endpoints.version;
        newer && self.takes_peer_lists(now)
    }

    pub(super) fn takes_peer_lists(&self, now: BootTime) -> bool {
        let one_life = self.instances.ceiling.is_none() && self.endpoints.ceiling.is_none();
        one_life && self.clockwork.freshness(now) != Freshness::Fresh
    }

    pub(super) fn tell(&mut self, about: Watched, applied: bool, cause: &str, origin: &Origin, version: Version) {
        let (cause, origin) = (cause.to_owned(), origin.name().to_owned());
        tracing::info!(?about, applied, cause, origin, version, "membership: document offered");
        self.news.push(News {
            about,
            applied,
            cause,
            origin,
            version,
        });
    }
}

/// The first fault and how many there are; each names line and field.
fn invalid(faults: &[Fault]) -> String {
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
