//! Signs of how an endpoint does: its reports, its first tokens and its speed.
//!
//! Reports lag, so they only ever lower trust: they can show a restart, a cold start, or work of another owner, and
//! nothing that they say raises a limit.

use std::time::Duration;

use celerytide_types::BootTime;

use crate::ask::LoadReport;

/// Windows whose peak of own work is remembered; all but the newest together span the lag of reports.
const PEAKS: usize = 3;
/// Classes of prompt length that first tokens are compared in.
const PROMPT_CLASSES: usize = 8;
/// Prompt tokens of the first such class.
const PROMPT_CLASS_TOKENS: u32 = 256;
/// First tokens under which nothing is known.
const SAMPLES_MIN: u32 = 8;
/// Weight of the newest sample in an average.
const GAIN: f64 = 0.1;

/// An average that follows its samples.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    pub fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * gain;
    }

    /// The average, once it rests on enough samples.
    pub fn known(&self) -> Option<f64> {
        (self.samples >= SAMPLES_MIN).then_some(self.value)
    }
}

/// What a report showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shown {
    /// Older than one already seen.
    Stale,
    /// Nothing that lowers trust.
    Usual,
    /// The endpoint restarted.
    Restarted,
    /// The endpoint says that it is cold.
    Cold,
}

/// Signs of one endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Signs {
    started_unix_ms: Option<u64>,
    observed_unix_ms: Option<u64>,
    reported: u32,
    reported_at: BootTime,
    peaks: [u32; PEAKS],
    window_began: BootTime,
    first_tokens: [Average; PROMPT_CLASSES],
    pub seconds_per_token: Average,
}

impl Signs {
    /// Takes a report in.
    pub fn report(&mut self, now: BootTime, load: &LoadReport) -> Shown {
        if self.observed_unix_ms.is_some_and(|seen| load.observed_unix_ms < seen) {
            return Shown::Stale;
        }
        let restarted = self.started_unix_ms.is_some_and(|seen| seen != load.started_unix_ms);
        self.started_unix_ms = Some(load.started_unix_ms);
        self.observed_unix_ms = Some(load.observed_unix_ms);
        self.reported = load.running.saturating_add(load.waiting);
        self.reported_at = now;
        if restarted {
            Shown::Restarted
        } else if load.cold == Some(true) {
            Shown::Cold
        } else {
            Shown::Usual
        }
    }

    /// Own work in flight now counts towards the peak that reports are compared with; they lag by at most `lag`.
    pub fn note_in_flight(&mut self, now: BootTime, in_flight: u32, lag: Duration) {
        if now.since(self.window_began) >= lag / (PEAKS as u32 - 1) {
            self.peaks.rotate_right(1);
            self.peaks[0] = in_flight;
            self.window_began = now;
        }
        self.peaks[0] = self.peaks[0].max(in_flight);
    }

    /// Drops what a report said once no other has come for `lag`.
    pub fn forget_report(&mut self, now: BootTime, lag: Duration) {
        if now.since(self.reported_at) > lag {
            self.reported = 0;
        }
    }

    /// Reported work that this pool can't have sent.
    pub fn foreign(&self) -> u32 {
        let own = self.peaks.iter().copied().max().unwrap_or(0);
        self.reported.saturating_sub(own)
    }

    /// Work that the last report showed.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// When the endpoint's process started, as far as reports said.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    /// Takes over a start time, to be compared with the next report's.
    pub fn take_over_start(&mut self, started_unix_ms: Option<u64>) {
        self.started_unix_ms = self.started_unix_ms.or(started_unix_ms);
    }

    /// When the last report was made.
    pub fn observed_unix_ms(&self) -> Option<u64> {
        self.observed_unix_ms
    }

    /// Takes in a time to first token; says whether it is a jump.
    pub fn first_token(&mut self, prompt_tokens: u32, took: Duration, jump: f64, floor: Duration) -> bool {
        let class = (prompt_tokens / PROMPT_CLASS_TOKENS + 1).ilog2() as usize;
        let usual = &mut self.first_tokens[class.min(PROMPT_CLASSES - 1)];
        let took_seconds = took.as_secs_f64();
        let jumped = took > floor && usual.known().is_some_and(|usual| took_seconds > usual * jump);
        if !jumped {
            usual.add(took_seconds);
        }
        jumped
    }

    /// Forgets what no longer holds after a cold start.
    pub fn forget_speed(&mut self) {
        self.seconds_per_token = Average::default();
    }
}
