//! The views of one process, fed by the service's watches and by peers.

mod heard;
mod inner;
mod lists;
mod manifests;
mod sections;

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use celerytide_manifest::{check_manifest, check_section};
use celerytide_types::{BootTime, Incarnation, InstanceId, Version};

use crate::fresh::{Freshness, PeersSay};
use crate::news::News;
use crate::view::{EndpointEntry, Instance, PeerLists, View, ViewDigest, Watched};

pub use heard::Wanted;
use inner::Inner;
pub use lists::ListApplied;
pub use manifests::{Applied, Check, CheckSection, SectionApplied};
pub use sections::MissingSection;

/// Bounds and the check of manifests.
#[derive(Debug, Clone)]
pub struct Options {
    /// This process's incarnation.
    pub incarnation: Incarnation,
    /// Checks a manifest's text; arguments are the name that faults bear and the text.
    pub check: Check,
    /// Checks a section's text.
    pub check_section: CheckSection,
    /// Views are fresh for this long after the service's answer; longer than a blocking read may last.
    pub fresh_for: Duration,
    /// A longer gap between ticks counts as a pause.
    pub pause_bound: Duration,
    /// A peer may be ahead for this long before the own views count as stale.
    pub ahead_bound: Duration,
    /// A peer's digest counts for this long.
    pub heard_for: Duration,
    /// A fetch from a peer may last this long before another peer is asked.
    pub fetch_for: Duration,
    /// A lower list index is taken as a rebuilt list service after this long.
    pub reset_after: Duration,
    /// And after this many reads, none of them at the former index.
    pub reset_reads: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            incarnation: celerytide_types::new_incarnation(),
            check: check_manifest,
            check_section,
            fresh_for: Duration::from_secs(30),
            pause_bound: Duration::from_secs(2),
            ahead_bound: Duration::from_secs(5),
            heard_for: Duration::from_secs(10),
            fetch_for: Duration::from_secs(1),
            reset_after: Duration::from_secs(60),
            reset_reads: 3,
        }
    }
}

/// Where an offer came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The configuration service.
    Service,
    /// A peer.
    Peer(InstanceId),
}

/// The views of one process; clones share one state.
#[derive(Debug, Clone)]
pub struct Membership {
    inner: Rc<RefCell<Inner>>,
}

impl Membership {
    /// Views that hold nothing yet; `now` is the start of the process.
    pub fn new(now: BootTime, opts: Options) -> Membership {
        let inner = Inner::new(now, opts);
        Membership {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// The present view.
    pub fn view(&self) -> Rc<View> {
        self.inner.borrow().view.clone()
    }

    /// Waits until the view's generation is beyond `seen` and returns it.
    pub async fn changed(&self, seen: u64) -> u64 {
        poll_fn(|task| {
            let mut inner = self.inner.borrow_mut();
            let generation = inner.view.generation;
            if generation > seen {
                return Poll::Ready(generation);
            }
            let known = inner.wakers.iter().any(|w| w.will_wake(task.waker()));
            if !known {
                inner.wakers.push(task.waker().clone());
            }
            Poll::Pending
        })
        .await
    }

    /// Offers a manifest's text; only a valid one of a higher version takes force.
    pub fn offer_manifest(&self, origin: &Origin, text: &str) -> Applied {
        let mut inner = self.inner.borrow_mut();
        let check = inner.opts.check;
        let offered = inner.manifests.offer(check, origin, text);
        inner.manifests_offered(&offered);
        offered
            .into_iter()
            .next_back()
            .map_or(Applied::Same, |last| last.applied)
    }

    /// Offers the text of the section of a digest; only one of that digest is taken.
    pub fn offer_section(&self, origin: &Origin, digest: &str, text: &str) -> SectionApplied {
        let mut inner = self.inner.borrow_mut();
        let check = inner.opts.check_section;
        let (applied, offered) = inner.manifests.offer_section(check, digest, text);
        if applied == SectionApplied::OtherDigest {
            inner.section_refused(origin, digest, "has another digest");
        }
        inner.manifests_offered(&offered);
        applied
    }

    /// Notes that nobody gave a section that a waiting manifest lacks.
    pub fn section_absent(&self, origin: &Origin, digest: &str) {
        self.inner.borrow_mut().section_refused(origin, digest, "is missing");
    }

    /// Sections that waiting manifests lack; waits until there are any.
    pub async fn missing_sections(&self) -> Vec<MissingSection> {
        poll_fn(|task| {
            let mut inner = self.inner.borrow_mut();
            let missing = inner.manifests.missing_sections();
            if !missing.is_empty() {
                return Poll::Ready(missing);
            }
            inner.sections_waker = Some(task.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Whether a waiting manifest lacks the section.
    pub fn lacks_section(&self, digest: &str) -> bool {
        self.inner.borrow().manifests.section_wanted_by(digest).is_some()
    }

    /// Text of a section that is held, for peers.
    pub fn section_text(&self, digest: &str) -> Option<Rc<str>> {
        self.inner.borrow().manifests.section_text(digest)
    }

    /// Text of the manifest in force, for peers.
    pub fn manifest_text(&self) -> Option<Rc<str>> {
        self.inner.borrow().manifests.text()
    }

    /// Offers an instance list that the service answered.
    pub fn offer_instances(&self, now: BootTime, version: Version, list: Vec<Instance>) -> ListApplied {
        let mut inner = self.inner.borrow_mut();
        let rule = inner.reset_rule();
        let applied = inner.instances.offer(now, version, list, rule);
        inner.list_offered(Watched::Instances, applied, &Origin::Service, version);
        applied
    }

    /// Offers an endpoint list that the service answered.
    pub fn offer_endpoints(&self, now: BootTime, version: Version, list: Vec<EndpointEntry>) -> ListApplied {
        let mut inner = self.inner.borrow_mut();
        let rule = inner.reset_rule();
        let applied = inner.endpoints.offer(now, version, list, rule);
        inner.list_offered(Watched::Endpoints, applied, &Origin::Service, version);
        applied
    }

    /// Takes an instance as leaving in this process's view only, or no longer; says whether that changed the view.
    pub fn suspect(&self, id: &str, suspected: bool) -> bool {
        let mut inner = self.inner.borrow_mut();
        let changed = match suspected {
            true => inner.suspects.insert(id.to_owned()),
            false => inner.suspects.remove(id),
        };
        if changed {
            inner.refresh_view();
        }
        changed
    }

    /// The lists held, for a peer that wants them.
    pub fn peer_lists(&self) -> PeerLists {
        let view = self.view();
        PeerLists {
            instances: self.inner.borrow().instances.entries.to_vec(),
            list_version: view.list_version,
            endpoints: view.endpoints.to_vec(),
            endpoints_version: view.endpoints_version,
        }
    }

    /// Offers a peer's copy of the lists; only higher versions are taken, and only while the service doesn't answer.
    /// It is no confirmation.
    pub fn offer_peer_lists(&self, now: BootTime, from: &InstanceId, lists: PeerLists) {
        let mut inner = self.inner.borrow_mut();
        if !inner.takes_peer_lists(now) {
            return;
        }
        let origin = Origin::Peer(from.clone());
        if lists.list_version > inner.instances.version {
            let applied = inner.instances.offer_higher(lists.list_version, lists.instances);
            inner.list_offered(Watched::Instances, applied, &origin, lists.list_version);
        }
        if lists.endpoints_version > inner.endpoints.version {
            let applied = inner.endpoints.offer_higher(lists.endpoints_version, lists.endpoints);
            inner.list_offered(Watched::Endpoints, applied, &origin, lists.endpoints_version);
        }
    }

    /// What to tell peers.
    pub fn digest(&self, now: BootTime) -> ViewDigest {
        let inner = self.inner.borrow();
        let age = inner.clockwork.confirmed_age(now);
        ViewDigest {
            manifest_version: inner.view.manifest_version,
            manifest_digest: inner.view.manifest_digest.clone(),
            list_version: inner.view.list_version,
            endpoints_version: inner.view.endpoints_version,
            incarnation: inner.opts.incarnation,
            confirmed_ms_ago: age.map(|age| age.as_millis().try_into().unwrap_or(u64::MAX)),
        }
    }

    /// Takes a peer's digest and says what to fetch.
    pub fn heard(&self, now: BootTime, from: &InstanceId, digest: &ViewDigest) -> Wanted {
        let mut inner = self.inner.borrow_mut();
        inner.heard.note(now, from, digest);
        inner.compare_lists(now, digest);
        inner.wanted(now, from, digest)
    }

    /// Notes that a fetch from a peer brought nothing: the next peer that is ahead is asked at once.
    pub fn fetch_failed(&self, from: &InstanceId) {
        self.inner.borrow_mut().heard.fetch_failed(from);
    }

    /// Notes the service's answer to a read sent at `asked`. False if a pause lies between: read again.
    pub fn confirmed(&self, now: BootTime, what: Watched, asked: BootTime) -> bool {
        self.inner.borrow_mut().clockwork.confirmed(now, what, asked)
    }

    /// How far the views may be trusted now.
    pub fn freshness(&self, now: BootTime) -> Freshness {
        let inner = self.inner.borrow();
        let by_service = inner.clockwork.freshness(now);
        let behind = inner.heard.ahead_for(now) > inner.opts.ahead_bound;
        if by_service == Freshness::Fresh && behind {
            return Freshness::Stale {
                age: inner.clockwork.age(now),
            };
        }
        by_service
    }

    /// What peers' digests tell about the own views.
    pub fn peers_say(&self, now: BootTime) -> PeersSay {
        let inner = self.inner.borrow();
        inner.heard.sum_up(now, inner.opts.heard_for, inner.opts.fresh_for)
    }

    /// Notes that the process runs; call it several times within the pause bound.
    pub fn tick(&self, now: BootTime) {
        self.inner.borrow_mut().clockwork.tick(now);
    }

    /// Takes the changes and refusals since the last call, for the audit trail.
    pub fn take_news(&self) -> Vec<News> {
        self.inner.borrow_mut().news.drain()
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
