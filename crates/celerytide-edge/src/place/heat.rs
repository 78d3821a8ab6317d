//! What is asked about a shared part: how many engines should hold it, and how long prompts about it are.
//!
//! Answers this load: much of the traffic is about one document. Its home alone can't read all prompts about it, and in a
//! large fleet no instance sees that: each has one request of it now and then, and sends it home. An instance takes the
//! fleet to be like itself. The first request of a part tells nothing; each further one shortly after it tells of as many
//! at the other instances.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::BootTime;

/// Time over which requests of a part are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Parts that are remembered.
const MAX_PARTS: usize = 4096;
/// Weight of a new prompt in the mean length.
const LENGTH_WEIGHT: f64 = 0.1;
/// Share of an engine that prompts about one part may take.
const ENGINE_SHARE: f64 = 0.5;

/// Requests of each shared part that this instance had lately.
#[derive(Debug, Default)]
pub struct Heat {
    by_part: HashMap<u64, Count>,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    requests: f64,
    /// Mean length of the prompts, in tokens.
    tokens: f64,
    at: BootTime,
}

impl Count {
    fn left(self, now: BootTime) -> f64 {
        let passed = now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64();
        self.requests * (-passed).exp()
    }
}

impl Heat {
    /// Counts a request with a prompt of `tokens` whose deepest shared part is `part`.
    pub fn note(&mut self, part: u64, tokens: u32, now: BootTime) {
        if self.by_part.len() >= MAX_PARTS {
            self.by_part.retain(|_, count| now.since(count.at) < WINDOW);
        }
        if self.by_part.len() >= MAX_PARTS {
            self.by_part.clear();
        }
        let tokens = f64::from(tokens);
        let before = self.by_part.get(&part);
        let mean = before.map_or(tokens, |count| count.tokens);
        let count = Count {
            requests: before.map_or(0.0, |count| count.left(now)) + 1.0,
            tokens: mean + (tokens - mean) * LENGTH_WEIGHT,
            at: now,
        };
        self.by_part.insert(part, count);
    }

    /// Mean length of the prompts about `part`; `None` if none was seen.
    pub fn tokens(&self, part: u64) -> Option<f64> {
        self.by_part.get(&part).map(|count| count.tokens)
    }

    /// Engines that should hold `part`, where each of `instances` sees the same and a prompt about it takes an engine
    /// `takes`.
    pub fn homes(&self, part: u64, instances: usize, takes: Duration, now: BootTime) -> usize {
        let seen = self.by_part.get(&part).map_or(0.0, |count| count.left(now));
        let per_s = (seen - 1.0).max(0.0) * instances as f64 / WINDOW.as_secs_f64();
        let engines = per_s * takes.as_secs_f64() / ENGINE_SHARE;
        (engines.ceil() as usize).max(1)
    }
}
