//! What endpoints say of themselves in their answers.
//!
//! Answers these loads: endpoints are replaced while the store is away or behind, so that their entries don't say that
//! they leave; endpoints turn requests away in a burst and ask for a pause, while every instance has more to send. A word
//! is the endpoint's own and holds from the moment it is read, whatever its entry says: that it leaves holds for this
//! start of it, a pause until its end. Other instances aren't told: the answer that tells an instance also serves its
//! request, or says that it did not run.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_catalog::Endpoint;
use celerytide_types::{BootTime, EndpointId};

/// Longest pause that is believed; behind it the endpoint is asked again.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Time for which the word of an endpoint is kept though nothing more is heard of it.
const KEPT: Duration = Duration::from_secs(3600);

/// A pause as it was asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Asked {
    /// Seconds, of any sign and size.
    Seconds(f64),
    /// Something that is no number.
    Unreadable,
}

/// What one answer says of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// The endpoint will end.
    pub leaves: bool,
    /// It wants no requests from this instance for a while.
    pub pause: Option<Asked>,
}

/// What follows from the words of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may get requests.
    Open,
    /// It gets none until then.
    Pauses(BootTime),
    /// This start of it gets none any more.
    Leaves,
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    /// It leaves, which wasn't known.
    pub leaves: bool,
    /// It pauses for longer than was known: for this time from now.
    pub pauses: Option<Duration>,
    /// It asked for a pause that is no time, or too long a one.
    pub senseless: bool,
}

/// The words of all endpoints.
#[derive(Debug, Default)]
pub struct Notices {
    by_id: HashMap<EndpointId, Word>,
}

/// The words of one start of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Word {
    start: Option<u64>,
    leaves: bool,
    pause_until: Option<BootTime>,
    at: BootTime,
}

impl Word {
    fn is_kept(&self, now: BootTime) -> bool {
        let pauses = self.pause_until.is_some_and(|until| now < until);
        pauses || (self.leaves && now.since(self.at) < KEPT)
    }
}

/// The pause that is kept, and whether it is another one than was asked for.
pub fn bounded(asked: Asked) -> (Option<Duration>, bool) {
    let Asked::Seconds(seconds) = asked else {
        return (None, true);
    };
    match Duration::try_from_secs_f64(seconds) {
        Ok(pause) if pause <= MAX_PAUSE => (Some(pause), false),
        Ok(_) => (Some(MAX_PAUSE), true),
        Err(_) if seconds > 0.0 => (Some(MAX_PAUSE), true),
        Err(_) => (None, true),
    }
}

impl Notices {
    /// Takes in what an answer of `endpoint` says.
    pub fn note(&mut self, endpoint: &Endpoint, notice: Notice, now: BootTime) -> Heard {
        let (pause, senseless) = notice.pause.map_or((None, false), bounded);
        let mut heard = Heard {
            senseless,
            ..Heard::default()
        };
        let known = self.by_id.get(&endpoint.id);
        let is_older = known.is_some_and(|word| endpoint.start < word.start);
        if is_older || (!notice.leaves && pause.is_none()) {
            return heard;
        }
        let same = known.filter(|word| word.start == endpoint.start).copied();
        let mut word = same.unwrap_or(Word {
            start: endpoint.start,
            leaves: false,
            pause_until: None,
            at: now,
        });
        heard.leaves = notice.leaves && !word.leaves;
        let until = pause.map(|pause| now.after(pause));
        if until > word.pause_until {
            word.pause_until = until;
            heard.pauses = pause;
        }
        word.leaves |= notice.leaves;
        word.at = now;
        self.by_id.insert(endpoint.id.clone(), word);
        heard
    }

    /// What follows for `endpoint` from its words; those of another start say nothing.
    pub fn standing(&self, endpoint: &Endpoint, now: BootTime) -> Standing {
        let Some(word) = self.by_id.get(&endpoint.id).filter(|w| w.start == endpoint.start) else {
            return Standing::Open;
        };
        match word.pause_until {
            _ if word.leaves => Standing::Leaves,
            Some(until) if now < until => Standing::Pauses(until),
            _ => Standing::Open,
        }
    }

    /// Forgets words that no longer hold.
    pub fn sweep(&mut self, now: BootTime) {
        self.by_id.retain(|_, word| word.is_kept(now));
    }
}
