//! Faults that the test side sends to a stand-in, and when they strike.
//!
//! A fault is standing (`added_delay`, `freeze`, `silent`) or strikes the next answer only (`late`, `crossed`,
//! `cut-mid-answer`, `reset`, `status`). Faults for the next answer queue up in the order in which they were sent.

mod swap;

use std::{
    cell::RefCell,
    collections::{HashSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use celerytide_types::Millis;
use monoio::time;
use tokio_util::sync::CancellationToken;

pub use swap::ResponseSwap;

/// Longest sleep between two looks at a freeze, so that clearing it takes effect soon.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(20);

celerytide_types::data! {
    /// One fault, as the body of `PUT /__fault`.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Fault {
        /// Each answer (engine: each decode step) takes this much longer, until cleared.
        Slow {
            /// Added time.
            ms: Millis,
        },
        /// The process exits at once.
        Crash,
        /// Nothing is answered for this long; connections stay open.
        Freeze {
            /// Length of the freeze.
            ms: Millis,
        },
        /// Connections used so far never send again; new ones work.
        Silent,
        /// The next answer is held back.
        Late {
            /// How long it is held.
            ms: Millis,
        },
        /// The next two answers carry each other's request id and body.
        Crossed,
        /// Engine: warm caches are gone, and the endpoint bears little again.
        Cold {
            /// Whether load reports and the start time tell of it.
            #[serde(default)]
            signal: bool,
        },
        /// The next answer ends after so many bytes (engine: tokens), without its terminator.
        CutMidAnswer {
            /// Bytes or tokens sent before the cut.
            after: usize,
        },
        /// The next request runs, and its connection is closed before the answer.
        Reset,
        /// The next request is answered with this status and does not run.
        Status {
            /// HTTP status code.
            code: u16,
        },
        /// Configuration service: each call's connection is closed without an answer.
        Down,
        /// Configuration service: answers stay as they are now, whatever is published.
        Stale,
        /// Configuration service: each read is answered with 404.
        NotFound,
        /// Configuration service: ends `down`, `stale` and `not-found`.
        Up,
        /// Clears every fault.
        None,
    }
}

/// The caller's connection is gone or may not be written to any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilencedPeer;

#[derive(Default)]
struct State {
    added_delay: Duration,
    frozen_until: Option<Instant>,
    known_peers: HashSet<SocketAddr>,
    silenced_peers: HashSet<SocketAddr>,
    queued: VecDeque<Fault>,
}

/// The faults in force at one stand-in.
#[derive(Default)]
pub struct Faults {
    state: RefCell<State>,
}

impl Faults {
    /// Takes a fault into force; `false` if this kind is not common to all stand-ins.
    pub fn set(&self, fault: Fault) -> bool {
        let mut state = self.state.borrow_mut();
        match fault {
            Fault::Slow { ms } => state.added_delay = Duration::from_millis(ms),
            Fault::Freeze { ms } => state.frozen_until = Some(Instant::now() + Duration::from_millis(ms)),
            Fault::Silent => {
                let known_peers: Vec<SocketAddr> = state.known_peers.iter().copied().collect();
                state.silenced_peers.extend(known_peers);
            }
            Fault::Crossed => state.queued.extend([Fault::Crossed, Fault::Crossed]),
            Fault::Late { .. } | Fault::CutMidAnswer { .. } | Fault::Reset | Fault::Status { .. } => {
                state.queued.push_back(fault);
            }
            Fault::None => {
                state.added_delay = Duration::ZERO;
                state.frozen_until = None;
                state.silenced_peers.clear();
                state.queued.clear();
            }
            Fault::Crash | Fault::Cold { .. } | Fault::Down | Fault::Stale | Fault::NotFound | Fault::Up => {
                return false;
            }
        }
        true
    }

    /// Notes that `peer` has used its connection.
    pub fn record_peer(&self, peer: SocketAddr) {
        self.state.borrow_mut().known_peers.insert(peer);
    }

    /// The added time of `added_delay`.
    pub fn added_delay(&self) -> Duration {
        self.state.borrow().added_delay
    }

    /// Takes the fault that strikes the next answer.
    pub fn take_next(&self) -> Option<Fault> {
        self.state.borrow_mut().queued.pop_front()
    }

    /// Waits until something may be sent to `peer`: at the end of a freeze, never on a silenced connection.
    pub async fn wait_to_send(&self, peer: SocketAddr, cx: &CancellationToken) -> Result<(), SilencedPeer> {
        loop {
            if self.is_silenced(peer) {
                cx.cancelled().await;
                self.forget_peer(peer);
                return Err(SilencedPeer);
            }
            let Some(left) = self.remaining_freeze() else {
                return Ok(());
            };
            time::sleep(left.min(FREEZE_POLL_INTERVAL)).await;
        }
    }

    /// Whether sending to any peer would have to wait or could be refused.
    pub fn is_unrestricted(&self) -> bool {
        let state = self.state.borrow();
        state.frozen_until.is_none() && state.silenced_peers.is_empty()
    }

    /// What is left of a freeze.
    pub fn remaining_freeze(&self) -> Option<Duration> {
        let mut state = self.state.borrow_mut();
        let left = state
            .frozen_until?
            .checked_duration_since(Instant::now())
            .filter(|left| !left.is_zero());
        if left.is_none() {
            state.frozen_until = None;
        }
        left
    }

    fn is_silenced(&self, peer: SocketAddr) -> bool {
        self.state.borrow().silenced_peers.contains(&peer)
    }

    /// A closed connection's address may come back as a new connection.
    fn forget_peer(&self, peer: SocketAddr) {
        let mut state = self.state.borrow_mut();
        state.silenced_peers.remove(&peer);
        state.known_peers.remove(&peer);
    }
}
