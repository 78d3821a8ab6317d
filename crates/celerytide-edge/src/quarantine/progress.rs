//! How far a request had come when its endpoint crashed, and what that proves.

use std::time::Duration;

use celerytide_types::data;

use super::Subject;

/// Time after the head of a response within which a broken response makes its subjects suspects.
const BEGIN_TIME: Duration = Duration::from_millis(300);
/// The same for a response without an event.
const SILENT_BEGIN_TIME: Duration = Duration::from_secs(2);

data! {
    /// How far a request had come when its endpoint crashed; the greater one tells more of what crashed it.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Progress {
        /// It had no head of a response: all requests that wait there look alike.
        BeforeHead,
        /// Its response had just begun.
        Begun,
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
        let time = if self.has_events { BEGIN_TIME } else { SILENT_BEGIN_TIME };
        (age < time).then_some(Progress::Begun)
    }
}
