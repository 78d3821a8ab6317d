//! Requests that are withheld: what is learned of them, told, and refused for them.

use celerytide_catalog::Endpoint;
use celerytide_types::{BootTime, now_boot};
use tracing::{info, warn};

use super::{Edge, PickError};
use crate::peers::digest::{id_hash, start_hash};
use crate::placement::shared_blocks;
use crate::protocol::Protocol;
use crate::quarantine::{BreakOff, Change, Reached, Releasing, Subject, SubjectStatus, SuspectEntry};
use crate::request::RoutedRequest;

impl<P: Protocol> Edge<P> {
    /// Fails if endpoints crash under a request, or under a block of its prompt.
    pub(super) fn check_withheld(&self, request: &RoutedRequest, now: BootTime) -> Result<(), PickError> {
        let Some(subject) = self.quarantine.borrow_mut().withheld(subjects(request), now) else {
            return Ok(());
        };
        self.counters.withheld_requests.inc();
        let (kind, id) = (subject.kind(), subject.id());
        info!(request = request.id, kind, id, "quarantine: a send is refused");
        Err(match subject {
            Subject::Block(_) => PickError::PromptWithheld,
            Subject::Request(_) => PickError::RequestWithheld,
        })
    }

    /// Records that an endpoint of `service` broke off a request; returns whether the request may be sent again.
    pub fn record_break_off(&self, service: &str, request: &RoutedRequest, at: BreakOff) -> bool {
        let Some(progress) = at.progress() else {
            return true;
        };
        // Resets by a partition of this instance look like crashes of the endpoints.
        if self.may_be_cut_off(service) {
            return true;
        }
        let service = id_hash(service);
        let subjects: Vec<Subject> = subjects(request).collect();
        let mut quarantine = self.quarantine.borrow_mut();
        let changes = quarantine.record_crash(service, &subjects, (at.endpoint, progress), now_boot());
        let may_repeat = quarantine.allows_repeat(subjects.into_iter());
        drop(quarantine);
        self.note_changes(&changes, "response");
        if !may_repeat {
            info!(request = request.id, "quarantine: a suspected request isn't sent again");
        }
        may_repeat
    }

    /// Records the head of a response: its endpoint has not crashed a moment ago.
    pub fn record_answer(&self, endpoint: &Endpoint) {
        if !self.quarantine.borrow().has_suspects() {
            return;
        }
        let start = start_hash(&endpoint.id, endpoint.start);
        let changes = self.quarantine.borrow_mut().record_answer(start, now_boot());
        self.note_changes(&changes, "response");
    }

    /// Records that a response of `service` to a request came so far.
    pub fn record_good_response(&self, service: &str, request: &RoutedRequest, reached: Reached) {
        let service = id_hash(service);
        let subjects: Vec<Subject> = subjects(request).collect();
        let mut quarantine = self.quarantine.borrow_mut();
        let changes = quarantine.record_good(service, &subjects, reached, now_boot());
        drop(quarantine);
        self.note_changes(&changes, "response");
    }

    /// Applies what a peer tells of subjects.
    pub fn apply_told_suspects(&self, told: &[SuspectEntry]) {
        let changes = self.quarantine.borrow_mut().learn(told, now_boot());
        self.note_changes(&changes, "peer");
    }

    /// Subjects to tell other instances now.
    pub fn suspects_to_tell(&self, now: BootTime) -> Vec<SuspectEntry> {
        self.quarantine.borrow_mut().entries(now)
    }

    /// Forgets what is known of subjects that nobody has asked for in a long time.
    pub(super) fn sweep_quarantine(&self, now: BootTime) {
        let changes = self.quarantine.borrow_mut().sweep(now);
        self.note_changes(&changes, "age");
    }

    /// Releases subjects that the settings newly list.
    pub fn release_listed(&self, listed: &[Subject]) {
        let decided = self.releases.borrow_mut().reload(listed, &self.quarantine.borrow());
        for (subject, releasing) in decided {
            let (kind, id) = (subject.kind(), subject.id());
            match releasing {
                Releasing::Due => {
                    let changes = self.quarantine.borrow_mut().release(subject, now_boot());
                    self.note_changes(&changes, "settings");
                }
                Releasing::Done => info!(
                    kind,
                    id, "quarantine: not released again, the settings listed it before"
                ),
                Releasing::NotWithheld => warn!(kind, id, "quarantine: not released, it isn't withheld"),
            }
        }
    }

    fn note_changes(&self, changes: &[Change], source: &'static str) {
        for change in changes {
            let (kind, id) = (change.subject.kind(), change.subject.id());
            let (crashes, resets) = (change.crashes, change.resets);
            match change.status {
                SubjectStatus::Suspected => info!(kind, id, crashes, resets, source, "quarantine: suspected"),
                SubjectStatus::Withheld => warn!(kind, id, crashes, resets, source, "quarantine: withheld"),
                SubjectStatus::Released => warn!(kind, id, crashes, resets, source, "quarantine: released"),
            }
        }
        if !changes.is_empty() {
            let withheld: Vec<Subject> = self.quarantine.borrow().all_withheld().collect();
            let blocks = withheld.iter().filter(|s| matches!(s, Subject::Block(_))).count();
            self.counters.withheld_blocks.set(blocks as i64);
            self.counters.withheld_contents.set((withheld.len() - blocks) as i64);
        }
    }
}

/// What the request has that may crash endpoints, from the widest on.
fn subjects(request: &RoutedRequest) -> impl Iterator<Item = Subject> {
    let blocks = shared_blocks(&request.prompt).iter();
    let blocks = blocks.map(|block| Subject::Block(block.id));
    blocks.chain([Subject::Request(request.content)])
}
