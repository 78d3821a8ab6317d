//! Cold start: how much an endpoint bears now.
//!
//! A cold endpoint bears its cold slots until it has given a number of whole answers to work that was granted after
//! it turned cold. Then its limit grows by one for each whole answer (it doubles in each round) up to its slots. A
//! slow endpoint's limit is halved, and grows again by one for each round of whole answers.

/// Limit on the work of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Ramp {
    slots: u32,
    cold_slots: u32,
    limit: u32,
    threshold: u32,
    missing: u32,
    successes: u32,
    epoch: u64,
    suspect: bool,
    per_slot: u32,
}

impl Ramp {
    /// A cold endpoint that must give `per_slot` whole answers for each cold slot before its limit grows.
    pub fn new(slots: u32, cold_slots: u32, per_slot: u32) -> Ramp {
        let mut ramp = Ramp {
            slots: 0,
            cold_slots: 0,
            limit: 0,
            threshold: 0,
            missing: 0,
            successes: 0,
            epoch: 0,
            suspect: false,
            per_slot,
        };
        ramp.resize(slots, cold_slots);
        ramp.chill();
        ramp
    }

    /// Takes over changed sizes. An endpoint always bears its cold slots; beyond these a limit only shrinks by it.
    pub fn resize(&mut self, slots: u32, cold_slots: u32) {
        let needed = self.needed();
        self.slots = slots.max(1);
        self.cold_slots = cold_slots.clamp(1, self.slots);
        if self.is_cold() {
            self.missing = (self.missing + self.needed()).saturating_sub(needed).max(1);
        }
        self.threshold = if self.suspect {
            self.threshold.min(self.slots)
        } else {
            self.slots
        };
        let bound = if self.is_cold() { self.cold_slots } else { self.slots };
        self.limit = self.limit.clamp(self.cold_slots, bound);
    }

    /// The endpoint is cold from now on.
    pub fn chill(&mut self) {
        self.limit = self.cold_slots;
        self.threshold = self.slots;
        self.missing = self.needed();
        self.successes = 0;
        self.epoch += 1;
        self.suspect = false;
    }

    /// A whole answer to work that was granted in `epoch`; older epochs don't count.
    pub fn succeed(&mut self, epoch: u64) {
        if epoch != self.epoch {
            return;
        }
        if self.missing > 0 {
            self.missing -= 1;
            return;
        }
        self.successes += 1;
        let step = if self.limit < self.threshold { 1 } else { self.limit };
        if self.successes < step {
            return;
        }
        self.successes = 0;
        self.limit = (self.limit + 1).min(self.slots);
        self.suspect &= self.limit < self.slots;
    }

    /// Takes over a limit that another has seen it bear.
    pub fn take_over(&mut self, limit: u32) {
        self.missing = 0;
        self.limit = limit.clamp(self.cold_slots, self.slots);
    }

    /// The endpoint is slower than it should be.
    pub fn slow(&mut self) {
        if self.is_cold() {
            return;
        }
        self.limit = (self.limit / 2).max(self.cold_slots).min(self.limit);
        self.threshold = self.limit;
        self.successes = 0;
        self.suspect = true;
    }

    /// Whole answers that end a cold start.
    fn needed(&self) -> u32 {
        self.cold_slots.saturating_mul(self.per_slot).max(1)
    }

    /// Permits that it may bear now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether it is in cold start.
    pub fn is_cold(&self) -> bool {
        self.missing > 0
    }

    /// Whether it was slow and hasn't grown back yet.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Number of times it turned cold; work is counted as evidence only in the epoch of its grant.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}
