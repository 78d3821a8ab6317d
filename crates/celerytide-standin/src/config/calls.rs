//! Request counts of the configuration service, in total and by second.

use std::time::Instant;

celerytide_types::data! {
    /// Requests of the system so far; a blocking query counts as one.
    #[derive(Eq, Default)]
    pub struct Calls {
        /// Since the start.
        pub total: u64,
        /// In the last whole second.
        pub last_second: u64,
        /// In the busiest second.
        pub peak_second: u64,
    }
}

/// Counts requests by second since its start.
#[derive(Debug)]
pub struct CallCounter {
    start: Instant,
    second: u64,
    current_second_calls: u64,
    calls: Calls,
}

impl CallCounter {
    /// A counter whose first second starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            second: 0,
            current_second_calls: 0,
            calls: Calls::default(),
        }
    }

    /// Counts one request at `now`.
    pub fn add(&mut self, now: Instant) {
        self.advance(now);
        self.current_second_calls += 1;
        self.calls.total += 1;
        self.calls.peak_second = self.calls.peak_second.max(self.current_second_calls);
    }

    /// The counts at `now`.
    pub fn read(&mut self, now: Instant) -> Calls {
        self.advance(now);
        self.calls.clone()
    }

    fn advance(&mut self, now: Instant) {
        let second = now.saturating_duration_since(self.start).as_secs();
        if second == self.second {
            return;
        }
        self.calls.last_second = if second == self.second + 1 {
            self.current_second_calls
        } else {
            0
        };
        self.second = second;
        self.current_second_calls = 0;
    }

    /// Start of the first second.
    pub fn start(&self) -> Instant {
        self.start
    }
}

impl Default for CallCounter {
    fn default() -> Self {
        Self::new()
    }
}
