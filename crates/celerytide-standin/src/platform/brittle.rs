//! A runner with few slots that says that it is brittle, and falls over when it has to refuse too much.
//!
//! Requests beyond the slots wait. For the first seconds all of them may wait, later only some; the others are refused. A
//! runner that refuses more in a second than it says it bears ends all connections and listens again some seconds later.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::crash::{Crashes, Crashing, Trigger};
use super::endless::is_closed;
use super::request::Request;
use super::response::send_response;
use super::runner::lock;

/// Time from the first brittle answer until fewer may wait.
pub const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time for which a runner that fell over is down.
pub const FALL_TIME: Duration = Duration::from_secs(3);
/// Length of the window in which refusals are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Interval at which a waiting request looks whether its client has left.
const CLOSE_POLL: Duration = Duration::from_millis(20);

/// How a runner falls over.
const FALLING: Crashing = Crashing {
    trigger: Trigger::Any,
    sends_head: false,
    down: FALL_TIME,
};

/// Room of a brittle runner, and how much it can refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Brittle {
    /// Most refusals for want of room in a second; named in all answers.
    pub rejections_per_s: usize,
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that may wait at a time, from [`NOTICE_TIME`] on.
    pub waiting: usize,
}

/// A runner that fell over.
#[derive(Debug, Clone)]
pub struct Fall {
    /// Time of the fall.
    pub at: Instant,
    /// Attempt ids of the requests refused in the second before, the last one included.
    pub rejected: Vec<String>,
}

/// What becomes of a request that has been read.
#[derive(Debug)]
pub(super) enum Place<'a> {
    /// It runs.
    Slot(Slot<'a>),
    /// It is refused.
    Refused,
    /// It is one too many: the runner falls over.
    Falls,
    /// The runner fell over, or the client left, while it waited.
    Ended,
}

/// The slot of a running request; given back on drop.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    room: &'a Room,
    /// The life of the runner in which it counts.
    life: u64,
}

/// Slots of a runner, and the requests that wait for one.
#[derive(Debug, Default)]
pub(super) struct Room {
    state: Mutex<State>,
    freed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// With the time from which it holds.
    brittle: Option<(Brittle, Instant)>,
    running: usize,
    waiting: usize,
    /// Number of falls; places of before count no more.
    life: u64,
    rejected: VecDeque<(Instant, String)>,
    falls: Vec<Fall>,
}

impl Room {
    pub(super) fn set(&self, brittle: Option<Brittle>) {
        let mut state = lock(&self.state);
        state.brittle = brittle.map(|brittle| (brittle, Instant::now()));
        state.rejected.clear();
        self.freed.notify_all();
    }

    pub(super) fn falls(&self) -> Vec<Fall> {
        lock(&self.state).falls.clone()
    }

    /// Header line of all answers; empty if the runner isn't brittle.
    pub(super) fn header(&self) -> String {
        let brittle = lock(&self.state).brittle;
        brittle.map_or(String::new(), |(brittle, _)| {
            format!("server-brittle: {}\r\n", brittle.rejections_per_s)
        })
    }

    /// Takes a slot for the request `id`, or waits for one while its client stays.
    pub(super) fn enter(&self, conn: &TcpStream, id: &str) -> Place<'_> {
        let mut state = lock(&self.state);
        if state.is_full() && !state.may_wait() {
            return state.reject(id, &self.freed);
        }
        let life = state.life;
        state.waiting += 1;
        while state.life == life && state.is_full() && !is_closed(conn) {
            state = self.wait(state);
        }
        if state.life != life {
            return Place::Ended;
        }
        state.waiting -= 1;
        if state.is_full() {
            return Place::Ended;
        }
        state.running += 1;
        Place::Slot(Slot { room: self, life })
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        let waited = self.freed.wait_timeout(state, CLOSE_POLL);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Refuses a request that gets no slot, or falls over; true if the connection stays open.
    pub(super) fn turn_away(
        &self,
        place: &Place<'_>,
        crashes: &Crashes,
        out: &mut TcpStream,
        req: &Request,
        address: SocketAddr,
    ) -> bool {
        if matches!(place, Place::Falls) {
            crashes.crash(address, out, req, "", FALLING);
            return false;
        }
        let id = req.header("x-attempt-id");
        let headers = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n{}", self.header());
        matches!(place, Place::Refused) && send_response(out, "503 Full", &headers, "")
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.room.state);
        if state.life == self.life {
            state.running -= 1;
            self.room.freed.notify_one();
        }
    }
}

impl State {
    fn is_full(&self) -> bool {
        self.brittle.is_some_and(|(brittle, _)| self.running >= brittle.slots)
    }

    fn may_wait(&self) -> bool {
        self.brittle
            .is_none_or(|(brittle, since)| since.elapsed() < NOTICE_TIME || self.waiting < brittle.waiting)
    }

    fn reject<'a>(&mut self, id: &str, freed: &Condvar) -> Place<'a> {
        let now = Instant::now();
        self.rejected.push_back((now, id.to_owned()));
        self.rejected.retain(|(at, _)| *at + WINDOW > now);
        let most = self.brittle.map_or(usize::MAX, |(brittle, _)| brittle.rejections_per_s);
        if self.rejected.len() <= most {
            return Place::Refused;
        }
        let rejected = self.rejected.drain(..).map(|(_, id)| id).collect();
        self.falls.push(Fall { at: now, rejected });
        self.life += 1;
        (self.running, self.waiting) = (0, 0);
        freed.notify_all();
        Place::Falls
    }
}
