//! A runner that refuses a share of what it gets, and writes half of these refusals a second time.
//!
//! The copy comes up to a quarter of a second later, in front of or behind another response on the connection, as a queue of
//! complete responses would put it, also while the refused request is under way again.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::Duration;

use super::request::Request;
use super::response::refusal;
use super::runner::{RunnerMode, lock};

/// Longest time from a refusal to its copy, in milliseconds.
const MAX_COPY_MS: u64 = 250;
/// Statuses of refusals.
const STATUSES: [&str; 3] = ["503 Full", "429 Full", "421 Misdirected"];

/// How much a runner refuses, and how it serves the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusing {
    /// Share of the requests that is refused, in percent.
    pub percent: u64,
    /// Time in milliseconds for which another one is worked on before its response begins.
    pub work_ms: u64,
    /// Mode for the others.
    pub then: &'static RunnerMode,
}

/// Keeps the responses on a connection apart.
#[derive(Debug, Clone, Default)]
pub(super) struct Writing(Arc<Mutex<()>>);

impl Writing {
    /// Waits until no other response is being written.
    pub(super) fn begin(&self) -> MutexGuard<'_, ()> {
        lock(&self.0)
    }
}

impl Refusing {
    /// Refuses the request that was the runner's `index`-th, or works on it; returns whether it was refused.
    pub(super) fn refuse(self, req: &Request, index: usize, out: &TcpStream, writing: &Writing) -> bool {
        let drawn = draw(req.header("x-attempt-id"), index);
        if drawn % 100 >= self.percent {
            sleep(Duration::from_millis(self.work_ms));
            return false;
        }
        let rest = drawn / 100;
        let status = STATUSES[(rest % 3) as usize];
        let response = refusal(status, req);
        write(out, &response, writing);
        let rest = rest / 3;
        if rest.is_multiple_of(2) {
            write_later(out, response, writing, Duration::from_millis(rest / 2 % MAX_COPY_MS));
        }
        true
    }
}

fn draw(id: &str, index: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (id, index).hash(&mut hasher);
    hasher.finish()
}

fn write(mut out: &TcpStream, response: &str, writing: &Writing) {
    let _writing = writing.begin();
    // Fails only if the connection has ended already.
    let _ = out.write_all(response.as_bytes());
}

fn write_later(out: &TcpStream, response: String, writing: &Writing, delay: Duration) {
    let Ok(out) = out.try_clone() else {
        return;
    };
    let writing = writing.clone();
    spawn(move || {
        sleep(delay);
        write(&out, &response, &writing);
    });
}
