//! Contents under which endpoints crash.
//!
//! A request that crashes its endpoint does so at each further one, and its caller repeats it. All requests of a pool have
//! permits of one owner, which therefore sees every crash. A content is withheld once [`MIN_CRASHES`] crashes ended requests with
//! it that had just begun, and none was answered in between. When the time is over it is tried again: the next
//! crash withholds it for twice as long. A new owner of the pool starts with no crashes.

use std::collections::VecDeque;
use std::time::Duration;

use ahash::AHashMap;
use celerytide_types::{BootTime, EndpointId};

/// Hash of what a request asks for and of who asks; equal requests have equal contents.
pub type Content = u64;

/// Crashes after which a content is withheld. One or two may have another cause.
const MIN_CRASHES: usize = 3;
/// Time after which the crashes under a content are forgotten.
const MEMORY: Duration = Duration::from_secs(120);
/// Time for which a content is withheld at first.
const FIRST_SPAN: Duration = Duration::from_secs(30);
/// Doublings of that time: at most 2 min. Where endpoints crash for another reason, callers wait that long behind its end.
const MAX_DOUBLINGS: u32 = 2;
/// Most contents that are remembered, some 300 bytes each. Only contents under which an endpoint crashed are.
const MAX_CONTENTS: usize = 1024;

/// The contents under which endpoints crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: AHashMap<Content, Suspect>,
}

#[derive(Debug)]
struct Suspect {
    crashes: usize,
    /// The last crashes that count, at most [`MIN_CRASHES`].
    last: VecDeque<Crash>,
    withheld_until: BootTime,
    /// Number of times it was withheld.
    times_withheld: u32,
}

#[derive(Debug)]
struct Crash {
    at: BootTime,
    endpoint: EndpointId,
}

impl Quarantine {
    /// Records that `endpoint` crashed while it began a request with this content. Ends within `span` at one endpoint are
    /// one crash. Returns whether the content is withheld from now on.
    pub fn record_crash(&mut self, now: BootTime, content: Content, endpoint: &str, span: Duration) -> bool {
        self.make_room(now, content);
        let suspect = self.suspects.entry(content).or_insert_with(|| Suspect::new(now));
        if suspect.is_same_crash(now, endpoint, span) {
            return false;
        }
        suspect.add(now, endpoint);
        suspect.withhold(now)
    }

    /// Records that a request with this content was answered, so that the crashes had another cause.
    pub fn record_success(&mut self, content: Content) {
        self.suspects.remove(&content);
    }

    /// Time for which the content is still withheld; `None` if it isn't.
    pub fn remaining(&self, now: BootTime, content: Content) -> Option<Duration> {
        let suspect = self.suspects.get(&content)?;
        Some(suspect.withheld_until.since(now)).filter(|left| !left.is_zero())
    }

    /// Number of contents that are withheld.
    pub fn withheld(&self, now: BootTime) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| now < suspect.withheld_until).count()
    }

    /// Forgets what is old, and the suspect with the oldest crash if there are too many.
    fn make_room(&mut self, now: BootTime, content: Content) {
        if self
            .suspects
            .get(&content)
            .is_some_and(|suspect| suspect.is_forgotten(now))
        {
            self.suspects.remove(&content);
        }
        if self.suspects.contains_key(&content) || self.suspects.len() < MAX_CONTENTS {
            return;
        }
        self.suspects.retain(|_, suspect| !suspect.is_forgotten(now));
        if self.suspects.len() < MAX_CONTENTS {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash());
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&oldest);
        }
    }
}

impl Suspect {
    fn new(now: BootTime) -> Suspect {
        Suspect {
            crashes: 0,
            last: VecDeque::new(),
            withheld_until: now,
            times_withheld: 0,
        }
    }

    fn is_same_crash(&self, now: BootTime, endpoint: &str, span: Duration) -> bool {
        let is_same = |crash: &Crash| crash.endpoint == endpoint && now.since(crash.at) < span;
        self.last.iter().any(is_same)
    }

    fn add(&mut self, now: BootTime, endpoint: &str) {
        self.crashes += 1;
        if self.last.len() == MIN_CRASHES {
            self.last.pop_front();
        }
        self.last.push_back(Crash {
            at: now,
            endpoint: endpoint.to_owned(),
        });
    }

    fn last_crash(&self) -> BootTime {
        self.last.back().map(|crash| crash.at).unwrap_or_default()
    }

    /// Withholds the content if there were enough crashes, or again if it was withheld before.
    fn withhold(&mut self, now: BootTime) -> bool {
        let is_due = self.crashes >= MIN_CRASHES && now >= self.withheld_until;
        if is_due {
            let doublings = self.times_withheld.min(MAX_DOUBLINGS);
            self.withheld_until = now.after(FIRST_SPAN * 2u32.pow(doublings));
            self.times_withheld += 1;
        }
        is_due
    }

    /// Whether the last crash and the time withheld are long over.
    fn is_forgotten(&self, now: BootTime) -> bool {
        now.since(self.last_crash().max(self.withheld_until)) >= MEMORY
    }
}
