//! Slow start of a cold endpoint, which falls over if it gets its full load at once.
//!
//! A cold endpoint is limited to its cold slots until it has given a number of complete responses to requests whose
//! permit was granted after it turned cold. Its limit then grows by one for each complete response, which doubles it in
//! each round, up to its slots. A round is one complete response for each permit that the limit allows. The limit of a
//! slow endpoint is halved, and grows again by one in each round.

/// Concurrency limit of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Ramp {
    slots: u32,
    cold_slots: u32,
    limit: u32,
    slow_start_threshold: u32,
    successes_needed: u32,
    successes_since_increase: u32,
    epoch: u64,
    slow: bool,
    successes_per_slot: u32,
}

impl Ramp {
    /// Creates the limit of a cold endpoint, which grows after `successes_per_slot` complete responses for each cold
    /// slot.
    pub fn new(slots: u32, cold_slots: u32, successes_per_slot: u32) -> Ramp {
        let mut ramp = Ramp {
            slots: 0,
            cold_slots: 0,
            limit: 0,
            slow_start_threshold: 0,
            successes_needed: 0,
            successes_since_increase: 0,
            epoch: 0,
            slow: false,
            successes_per_slot,
        };
        ramp.resize(slots, cold_slots);
        ramp.mark_cold();
        ramp
    }

    /// Applies changed sizes. The limit never falls below the cold slots; otherwise a resize can only lower it.
    pub fn resize(&mut self, slots: u32, cold_slots: u32) {
        let successes_to_warm = self.successes_to_warm();
        self.slots = slots.max(1);
        self.cold_slots = cold_slots.clamp(1, self.slots);
        if self.is_cold() {
            self.successes_needed = (self.successes_needed + self.successes_to_warm())
                .saturating_sub(successes_to_warm)
                .max(1);
        }
        self.slow_start_threshold = if self.slow {
            self.slow_start_threshold.min(self.slots)
        } else {
            self.slots
        };
        let bound = if self.is_cold() { self.cold_slots } else { self.slots };
        self.limit = self.limit.clamp(self.cold_slots, bound);
    }

    /// Restarts the cold start. Responses to requests whose permit was granted before no longer count.
    pub fn mark_cold(&mut self) {
        self.limit = self.cold_slots;
        self.slow_start_threshold = self.slots;
        self.successes_needed = self.successes_to_warm();
        self.successes_since_increase = 0;
        self.epoch += 1;
        self.slow = false;
    }

    /// Records a complete response to a request whose permit was granted in `epoch`; other epochs are ignored.
    pub fn record_success(&mut self, epoch: u64) {
        if epoch != self.epoch {
            return;
        }
        if self.successes_needed > 0 {
            self.successes_needed -= 1;
            return;
        }
        self.successes_since_increase += 1;
        let step = if self.limit < self.slow_start_threshold {
            1
        } else {
            self.limit
        };
        if self.successes_since_increase < step {
            return;
        }
        self.successes_since_increase = 0;
        self.limit = (self.limit + 1).min(self.slots);
        self.slow &= self.limit < self.slots;
    }

    /// Ends the cold start with a limit that a previous owner has established.
    pub fn restore_limit(&mut self, limit: u32) {
        self.successes_needed = 0;
        self.limit = limit.clamp(self.cold_slots, self.slots);
    }

    /// Halves the limit because the endpoint is slower than the others, but not below the cold slots. Ignored during a
    /// cold start.
    pub fn record_slow(&mut self) {
        if self.is_cold() {
            return;
        }
        self.limit = (self.limit / 2).max(self.cold_slots).min(self.limit);
        self.slow_start_threshold = self.limit;
        self.successes_since_increase = 0;
        self.slow = true;
    }

    /// Number of complete responses that ends a cold start.
    fn successes_to_warm(&self) -> u32 {
        self.cold_slots.saturating_mul(self.successes_per_slot).max(1)
    }

    /// Permits that may be in flight now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the endpoint is in cold start.
    pub fn is_cold(&self) -> bool {
        self.successes_needed > 0
    }

    /// Whether the endpoint was slow and its limit hasn't recovered yet.
    pub fn is_slow(&self) -> bool {
        self.slow
    }

    /// Number of cold starts so far. A response counts only if its permit was granted in the current epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}
