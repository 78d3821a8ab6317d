//! Which software wrote the first event of each stream that began lately.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use celerytide_types::{BootTime, data};
use xxhash_rust::xxh3::xxh3_64;

use super::Software;

/// Names a stream: hash of the id of the caller's request that brought its first event.
pub type StreamName = u64;

/// Time for which a stream is remembered; longer than any stream lives.
const KEEP_TIME: Duration = Duration::from_secs(120);
/// Most streams that are remembered.
const MAX_STREAMS: usize = 16_384;

data! {
    /// What one instance tells others of a stream.
    #[derive(Copy, Eq)]
    pub struct StreamEntry {
        /// The stream.
        pub stream: StreamName,
        /// Software that wrote its first event.
        pub software: Software,
        /// Time since then in milliseconds.
        pub age_ms: u32,
    }
}

/// Name of the stream of which this request brought the first event.
pub fn stream_name(request: &str) -> StreamName {
    xxh3_64(request.as_bytes())
}

#[derive(Debug, Clone, Copy)]
struct Begun {
    software: Software,
    at: BootTime,
    /// Whether it began at this instance.
    is_own: bool,
}

/// Streams that began lately, here and at instances that told of them.
#[derive(Debug, Default)]
pub struct Streams {
    begun: HashMap<StreamName, Begun>,
    /// Streams to tell, and how often each still is.
    untold: VecDeque<(StreamName, u32)>,
    /// The remembered streams in the order in which they were heard of.
    order: VecDeque<StreamName>,
}

impl Streams {
    /// Records the first event of a stream that this instance passes on.
    pub fn begin(&mut self, stream: StreamName, software: Software, now: BootTime) {
        let is_own = true;
        let at = now;
        self.insert(stream, Begun { software, at, is_own }, now);
    }

    /// The software that wrote the first event of a stream.
    pub fn software(&self, stream: StreamName) -> Option<Software> {
        self.begun.get(&stream).map(|begun| begun.software)
    }

    /// Will tell a stream of this instance `times`.
    pub fn tell(&mut self, stream: StreamName, times: u32) {
        if self.untold.len() < MAX_STREAMS {
            self.untold.push_back((stream, times));
        }
    }

    /// Will tell all streams that began here within `window`.
    pub fn tell_all(&mut self, window: Duration, times: u32, now: BootTime) {
        let own = self.begun.iter().filter(|(_, b)| b.is_own && now.since(b.at) < window);
        let own: Vec<StreamName> = own.map(|(stream, _)| *stream).collect();
        for stream in own {
            self.tell(stream, times);
        }
    }

    /// Takes at most `count` streams to tell now.
    pub fn take_untold(&mut self, count: usize, now: BootTime) -> Vec<StreamEntry> {
        let mut told = Vec::new();
        for _ in 0..count.min(self.untold.len()) {
            let Some((stream, times)) = self.untold.pop_front() else {
                break;
            };
            if times > 1 {
                self.untold.push_back((stream, times - 1));
            }
            told.extend(self.begun.get(&stream).map(|begun| StreamEntry {
                stream,
                software: begun.software,
                age_ms: u32::try_from(now.since(begun.at).as_millis()).unwrap_or(u32::MAX),
            }));
        }
        told
    }

    /// Applies what a peer tells. Where two differ on a stream, the one that heard of it first is right: what goes on later
    /// is bound by it.
    pub fn learn(&mut self, told: &[StreamEntry], now: BootTime) {
        for entry in told {
            let age = Duration::from_millis(u64::from(entry.age_ms));
            let at = now.since_start().saturating_sub(age);
            let begun = Begun {
                software: entry.software,
                at: BootTime::from_start(at),
                is_own: false,
            };
            self.insert(entry.stream, begun, now);
        }
    }

    /// Number of streams that are remembered.
    pub fn count(&self) -> usize {
        self.begun.len()
    }

    fn insert(&mut self, stream: StreamName, begun: Begun, now: BootTime) {
        if let Some(known) = self.begun.get_mut(&stream) {
            if begun.at < known.at {
                known.software = begun.software;
                known.at = begun.at;
            }
            return;
        }
        self.begun.insert(stream, begun);
        self.order.push_back(stream);
        while let Some(first) = self.order.front().copied() {
            let is_old = self
                .begun
                .get(&first)
                .is_none_or(|begun| now.since(begun.at) >= KEEP_TIME);
            if !is_old && self.begun.len() <= MAX_STREAMS {
                break;
            }
            self.order.pop_front();
            self.begun.remove(&first);
        }
    }
}
