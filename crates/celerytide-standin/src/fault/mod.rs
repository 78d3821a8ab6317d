//! Faults that a test injects into a stand-in.
//!
//! A fault either stays in force (`slow`, `freeze`, `silent`, `deadly`) or applies to the next response only (`late`, `crossed`,
//! `cut-mid-answer`, `reset`, `status`, `stall`). Faults for the next response are queued in the order in which they were sent.

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

/// Longest sleep between two checks for a freeze, so that clearing it takes effect soon.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(20);

celerytide_types::data! {
    /// One fault, the JSON body of `PUT /__fault`.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Fault {
        /// Each response (engine: each decode step) takes this much longer until the fault is cleared.
        Slow {
            /// Added time.
            ms: Millis,
        },
        /// The process exits at once.
        Crash,
        /// No response is sent for this long; connections stay open.
        Freeze {
            /// Length of the freeze.
            ms: Millis,
        },
        /// Connections used so far send nothing any more; new ones work.
        Silent,
        /// The next response is delayed.
        Late {
            /// Length of the delay.
            ms: Millis,
        },
        /// The next two responses carry each other's request id and body.
        Crossed,
        /// Engine: caches are empty and the load limit of a cold start applies again.
        Cold {
            /// Whether load reports and the start time show it.
            #[serde(default)]
            signal: bool,
        },
        /// The next response ends after this many bytes (engine: tokens of a stream) without its terminator.
        CutMidAnswer {
            /// Bytes or tokens sent before the cut.
            after: usize,
        },
        /// The next request runs, and its connection is closed before the response.
        Reset,
        /// The next request is answered with this status.
        Status {
            /// HTTP status code.
            code: u16,
            /// Whether the request runs first, as behind a gateway that gives up on its endpoint.
            #[serde(default)]
            ran: bool,
            /// Whether the response states that the request did not run.
            #[serde(default)]
            stated: bool,
        },
        /// Engine: the next request runs, and its response pauses.
        Stall {
            /// Length of the pause.
            ms: Millis,
            /// Whether the pause follows the head of the response instead of preceding it.
            #[serde(default)]
            after_head: bool,
        },
        /// Engine: each request whose body contains this text crashes the engine when it begins it: all connections are
        /// closed, all requests are lost, and the engine starts again, until the fault is cleared.
        Deadly {
            /// The text.
            text: String,
        },
        /// Engine: each event of a stream names this version as `system_fingerprint`; not cleared by `none`.
        Version {
            /// The version.
            name: String,
        },
        /// Configuration service: the connection of each request is closed without a response.
        Down,
        /// Configuration service: responses stay as they are now, whatever is published.
        Stale,
        /// Configuration service: each read gets 404.
        NotFound,
        /// Configuration service: ends `down`, `stale` and `not-found`.
        Up,
        /// Clears every fault.
        None,
    }
}

/// Error: the caller's connection is silenced and must not be written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilencedPeer;

#[derive(Default)]
struct State {
    added_delay: Duration,
    frozen_until: Option<Instant>,
    known_peers: HashSet<SocketAddr>,
    silenced_peers: HashSet<SocketAddr>,
    queued: VecDeque<Fault>,
    deadly_text: Option<String>,
    version: Option<String>,
}

/// The faults of one stand-in.
#[derive(Default)]
pub struct Faults {
    state: RefCell<State>,
}

impl Faults {
    /// Applies a fault; `false` for kinds that only some stand-ins support, which these handle themselves.
    pub fn set(&self, fault: Fault) -> bool {
        let mut state = self.state.borrow_mut();
        match fault {
            Fault::Slow { ms } => state.added_delay = Duration::from_millis(ms),
            Fault::Freeze { ms } => state.frozen_until = Some(Instant::now() + Duration::from_millis(ms)),
            Fault::Silent => {
                let known_peers: Vec<SocketAddr> = state.known_peers.iter().copied().collect();
                state.silenced_peers.extend(known_peers);
            }
            Fault::Version { name } => state.version = Some(name),
            Fault::Deadly { text } => state.deadly_text = Some(text),
            Fault::Crossed => state.queued.extend([Fault::Crossed, Fault::Crossed]),
            Fault::Late { .. } | Fault::CutMidAnswer { .. } | Fault::Reset | Fault::Status { .. } => {
                state.queued.push_back(fault);
            }
            Fault::None => {
                state.added_delay = Duration::ZERO;
                state.frozen_until = None;
                state.silenced_peers.clear();
                state.queued.clear();
                state.deadly_text = None;
            }
            Fault::Crash
            | Fault::Cold { .. }
            | Fault::Stall { .. }
            | Fault::Down
            | Fault::Stale
            | Fault::NotFound
            | Fault::Up => {
                return false;
            }
        }
        true
    }

    /// Queues a fault for the next response.
    pub(crate) fn queue(&self, fault: Fault) {
        self.state.borrow_mut().queued.push_back(fault);
    }

    /// Records that `peer` has used its connection, so that `silent` covers it.
    pub fn record_peer(&self, peer: SocketAddr) {
        self.state.borrow_mut().known_peers.insert(peer);
    }

    /// The delay that `slow` adds.
    pub fn added_delay(&self) -> Duration {
        self.state.borrow().added_delay
    }

    /// The version that events name.
    pub fn version(&self) -> Option<String> {
        self.state.borrow().version.clone()
    }

    /// Whether a request with this body crashes the stand-in.
    pub fn is_deadly(&self, body: &[u8]) -> bool {
        let state = self.state.borrow();
        let text = state.deadly_text.as_deref().filter(|text| !text.is_empty());
        text.is_some_and(|text| body.windows(text.len()).any(|part| part == text.as_bytes()))
    }

    /// Removes and returns the fault for the next response.
    pub fn take_next(&self) -> Option<Fault> {
        self.state.borrow_mut().queued.pop_front()
    }

    /// Waits for the end of a freeze before bytes are sent to `peer`; fails on a silenced connection once `cx` ends.
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

    /// Whether bytes may be sent to every peer without waiting.
    pub fn is_unrestricted(&self) -> bool {
        let state = self.state.borrow();
        state.frozen_until.is_none() && state.silenced_peers.is_empty()
    }

    /// Time until the freeze ends; `None` without a freeze.
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

    /// Removes `peer`, because a new connection may reuse the address of a closed one.
    fn forget_peer(&self, peer: SocketAddr) {
        let mut state = self.state.borrow_mut();
        state.silenced_peers.remove(&peer);
        state.known_peers.remove(&peer);
    }
}
