//! Load reports, which lag behind.

use std::{
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use celerytide_types::Millis;
use monoio::time;

use super::Engine;

/// Shortest time between two observations.
const MIN_PERIOD: Duration = Duration::from_millis(10);
/// Longest time between two observations.
const MAX_PERIOD: Duration = Duration::from_millis(100);
/// Observations in the time of one lag.
const OBSERVATIONS_PER_LAG: u32 = 20;

celerytide_types::data! {
    /// A load report.
    pub struct Load {
        /// Requests in the batch.
        pub running: usize,
        /// Requests before the batch.
        pub waiting: usize,
        /// Size of the batch.
        pub slots: usize,
        /// When the engine started.
        pub started_unix_ms: Millis,
        /// When this was so.
        pub observed_unix_ms: Millis,
        /// Whether the engine knows that it bears only a little.
        pub cold: bool,
        /// Tokens a second since the observation before.
        pub tokens_per_second: f64,
        /// Tokens generated since the process began, whoever asked for them.
        pub tokens_total: u64,
    }
}

/// Observations young enough to be reported later.
#[derive(Debug)]
pub struct LoadLog {
    lag: Duration,
    seen: VecDeque<(Instant, Load)>,
    tokens: u64,
    total: u64,
}

impl LoadLog {
    /// A log whose readers see it `lag` late.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            seen: VecDeque::new(),
            tokens: 0,
            total: 0,
        }
    }

    /// Counts tokens that were generated.
    pub fn count(&mut self, tokens: usize) {
        self.tokens += tokens as u64;
        self.total += tokens as u64;
    }

    /// Adds an observation.
    pub fn push(&mut self, now: Instant, mut load: Load) {
        if let Some((before, _)) = self.seen.back() {
            let seconds = now.duration_since(*before).as_secs_f64();
            load.tokens_per_second = self.tokens as f64 / seconds.max(f64::EPSILON);
        }
        load.tokens_total = self.total;
        self.tokens = 0;
        self.seen.push_back((now, load));
        while self.seen.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.seen.pop_front();
        }
    }

    /// What readers see at `now`.
    pub fn read(&self, now: Instant) -> Option<Load> {
        let seen = self.seen.iter().rev().find(|(at, _)| *at + self.lag <= now);
        seen.or(self.seen.front()).map(|(_, load)| load.clone())
    }

    fn period(&self) -> Duration {
        (self.lag / OBSERVATIONS_PER_LAG).clamp(MIN_PERIOD, MAX_PERIOD)
    }
}

/// Observes the engine for as long as the process lives.
pub async fn observe(engine: Rc<Engine>) {
    let period = engine.load.borrow().period();
    loop {
        let load = engine.load_now();
        engine.load.borrow_mut().push(Instant::now(), load);
        time::sleep(period).await;
    }
}
