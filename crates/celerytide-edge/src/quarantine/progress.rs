//! How far a request had come when its endpoint crashed, how far responses come, and what the one proves of the other.

use std::time::Duration;

use celerytide_types::data;

use super::Subject;

/// Tenths of a second after the head of a response.
type Tenths = u8;

/// Time after the head of a response within which it counts as just begun.
const BEGIN_TIME: Duration = Duration::from_millis(300);
/// The same for a response without an event.
const SILENT_BEGIN_TIME: Duration = Duration::from_secs(2);
/// Time after the head from which a broken response blames nobody; the last of [`CHECKPOINTS`].
const MAX_TIME: Duration = Duration::from_secs(16);
/// Times after the head at which a response that goes on is looked at.
const CHECKPOINTS: [Tenths; 5] = [10, 20, 40, 80, 160];
/// Spread of the times at which one cause crashes endpoints, beside a quarter of the time.
const SPREAD: Tenths = 3;

data! {
    /// How far a request had come when its endpoint crashed; the greater one tells more of what crashed it.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Progress {
        /// It had no head of a response: all requests that wait there look alike.
        BeforeHead,
        /// Its response had just begun.
        Begun,
        /// Its response had gone on for this time, as all that run there.
        GoneOn(Tenths),
    }
}

impl Progress {
    /// The same as evidence against one subject. A request that is there at several crashes stands for itself: requests
    /// beside it are different ones each time.
    pub(super) fn against(self, subject: Subject) -> Progress {
        match subject {
            Subject::Request(_) => self.max(Progress::Begun),
            Subject::Block(_) => self,
        }
    }

    fn time(self) -> Tenths {
        match self {
            Progress::BeforeHead => 0,
            Progress::Begun => tenths(BEGIN_TIME),
            Progress::GoneOn(time) => time,
        }
    }

    /// The latest time of a crash that has the same cause as one at this time.
    fn last_time(self) -> Tenths {
        let time = self.time();
        time.saturating_add(time / 4).saturating_add(SPREAD)
    }

    /// Whether a crash at `later` may have the same cause, if this one is the earliest.
    pub(super) fn is_like(self, later: Progress) -> bool {
        (self.time()..=self.last_time()).contains(&later.time())
    }
}

data! {
    /// How far a response came without a crash.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Reached {
        /// This time after its head.
        Time(Tenths),
        /// Its regular end.
        End,
    }

    /// How far requests with a subject came at a crash, and responses with it afterwards.
    #[derive(Copy, Eq)]
    pub struct Evidence {
        /// The request that had come furthest at the crash.
        pub progress: Progress,
        /// The response that came furthest since.
        pub reached: Option<Reached>,
    }
}

impl Evidence {
    /// Evidence against a subject of a response that had just begun.
    pub(super) const BEGUN: Evidence = Evidence {
        progress: Progress::Begun,
        reached: None,
    };

    /// Whether no response came further than the request at the crash.
    pub(super) fn holds(self) -> bool {
        !self.reached.is_some_and(|reached| reached.is_beyond(self.progress))
    }

    /// What follows from both.
    pub(super) fn and(self, other: Evidence) -> Evidence {
        Evidence {
            progress: self.progress.max(other.progress),
            reached: self.reached.max(other.reached),
        }
    }
}

impl Reached {
    /// Whether the response came further than requests that crash endpoints at `crash`.
    pub(super) fn is_beyond(self, crash: Progress) -> bool {
        match self {
            Reached::Time(time) => time > crash.last_time(),
            Reached::End => true,
        }
    }
}

/// Times after its head that a response has reached.
#[derive(Debug, Default)]
pub struct Checkpoints {
    count: usize,
}

impl Checkpoints {
    /// What a response reaches with this time after its head, if it hadn't before.
    pub fn pass(&mut self, head_age: Duration) -> Option<Reached> {
        let age = head_age.as_millis() / 100;
        let count = CHECKPOINTS.partition_point(|time| u128::from(*time) <= age);
        if count <= self.count {
            return None;
        }
        self.count = count;
        CHECKPOINTS.get(count - 1).copied().map(Reached::Time)
    }
}

/// How an endpoint broke off a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakOff {
    /// Hash of the endpoint's id and start.
    pub endpoint: u32,
    /// Time since the head of the response; `None` before it.
    pub head_age: Option<Duration>,
    /// Whether an event had arrived.
    pub has_events: bool,
}

impl BreakOff {
    /// How far the request had come, if it may be the cause.
    pub fn progress(&self) -> Option<Progress> {
        let Some(age) = self.head_age else {
            return Some(Progress::BeforeHead);
        };
        let begin_time = if self.has_events { BEGIN_TIME } else { SILENT_BEGIN_TIME };
        match age {
            age if age < begin_time => Some(Progress::Begun),
            age if age < MAX_TIME => Some(Progress::GoneOn(tenths(age))),
            _ => None,
        }
    }
}

fn tenths(time: Duration) -> Tenths {
    Tenths::try_from(time.as_millis() / 100).unwrap_or(Tenths::MAX)
}
