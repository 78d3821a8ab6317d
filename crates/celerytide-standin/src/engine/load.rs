//! Load reports that lag behind the actual load.

use std::{
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use celerytide_types::Millis;
use monoio::time;

use super::Engine;

/// Shortest time between two observations.
const MIN_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time between two observations.
const MAX_INTERVAL: Duration = Duration::from_millis(100);
/// Observations in the time of one lag.
const OBSERVATIONS_PER_LAG: u32 = 20;

celerytide_types::data! {
    /// A load report.
    pub struct Load {
        /// Running requests.
        pub running: usize,
        /// Waiting requests.
        pub waiting: usize,
        /// Most running requests.
        pub slots: usize,
        /// Start time; an announced cold start renews it.
        pub started_unix_ms: Millis,
        /// Time of the observation.
        pub observed_unix_ms: Millis,
        /// Whether the engine reports a cold start.
        pub cold: bool,
        /// Tokens per second since the previous observation.
        pub tokens_per_second: f64,
        /// Tokens generated since the process started, for all callers.
        pub tokens_total: u64,
    }
}

/// Recent observations, reported once they are `lag` old.
#[derive(Debug)]
pub struct LoadHistory {
    lag: Duration,
    observations: VecDeque<(Instant, Load)>,
    new_tokens: u64,
    total_tokens: u64,
}

impl LoadHistory {
    /// A history that is reported `lag` late.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            observations: VecDeque::new(),
            new_tokens: 0,
            total_tokens: 0,
        }
    }

    /// Counts generated tokens.
    pub fn add_tokens(&mut self, new_tokens: usize) {
        self.new_tokens += new_tokens as u64;
        self.total_tokens += new_tokens as u64;
    }

    /// Adds an observation and completes its token counts.
    pub fn push(&mut self, now: Instant, mut load: Load) {
        if let Some((before, _)) = self.observations.back() {
            let seconds = now.duration_since(*before).as_secs_f64();
            load.tokens_per_second = self.new_tokens as f64 / seconds.max(f64::EPSILON);
        }
        load.tokens_total = self.total_tokens;
        self.new_tokens = 0;
        self.observations.push_back((now, load));
        while self.observations.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.observations.pop_front();
        }
    }

    /// The report at `now`: the newest observation that is `lag` old, else the oldest one.
    pub fn read(&self, now: Instant) -> Option<Load> {
        let visible = self.observations.iter().rev().find(|(at, _)| *at + self.lag <= now);
        visible.or(self.observations.front()).map(|(_, load)| load.clone())
    }

    fn interval(&self) -> Duration {
        (self.lag / OBSERVATIONS_PER_LAG).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}

/// Observes the load until the process ends.
pub async fn run_observer(engine: Rc<Engine>) {
    let interval = engine.load.borrow().interval();
    loop {
        let load = engine.current_load();
        engine.load.borrow_mut().push(Instant::now(), load);
        time::sleep(interval).await;
    }
}
