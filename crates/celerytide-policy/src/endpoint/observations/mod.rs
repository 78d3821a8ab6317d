//! Observations of an endpoint: its load reports, its times to first token and its speed.
//!
//! Reports arrive late, so they can only lower trust: they can show a restart, a cold start or work of another owner,
//! and nothing in them raises a limit.

use std::time::Duration;

use celerytide_types::BootTime;

use crate::request::LoadReport;

/// Number of windows whose peak of own work is kept. Without the newest, they span the greatest delay of reports.
const PEAKS: usize = 3;
/// Number of prompt length classes in which first tokens are compared.
const PROMPT_CLASSES: usize = 8;
/// Prompt tokens of the first length class.
const PROMPT_CLASS_TOKENS: u32 = 256;
/// Number of samples below which an average is unknown.
const SAMPLES_MIN: u32 = 8;
/// Weight of the newest sample in an average.
const GAIN: f64 = 0.1;

/// Exponentially weighted moving average.
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

    /// The average, or `None` with too few samples.
    pub fn value(&self) -> Option<f64> {
        (self.samples >= SAMPLES_MIN).then_some(self.value)
    }
}

/// What a report says about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportEffect {
    /// The report is older than the latest one.
    Stale,
    /// Nothing in it lowers trust.
    Normal,
    /// The endpoint restarted.
    Restarted,
    /// The endpoint reports that it is cold.
    Cold,
}

/// Observations of one endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Observations {
    started_unix_ms: Option<u64>,
    observed_unix_ms: Option<u64>,
    reported: u32,
    reported_at: BootTime,
    peaks: [u32; PEAKS],
    window_start: BootTime,
    first_tokens: [Average; PROMPT_CLASSES],
    pub seconds_per_token: Average,
}

impl Observations {
    /// Applies a report and classifies it.
    pub fn report(&mut self, now: BootTime, load: &LoadReport) -> ReportEffect {
        if self.observed_unix_ms.is_some_and(|seen| load.observed_unix_ms < seen) {
            return ReportEffect::Stale;
        }
        let restarted = self.started_unix_ms.is_some_and(|seen| seen != load.started_unix_ms);
        self.started_unix_ms = Some(load.started_unix_ms);
        self.observed_unix_ms = Some(load.observed_unix_ms);
        self.reported = load.running.saturating_add(load.waiting);
        self.reported_at = now;
        if restarted {
            ReportEffect::Restarted
        } else if load.cold == Some(true) {
            ReportEffect::Cold
        } else {
            ReportEffect::Normal
        }
    }

    /// Records own work in flight for comparison with reports, which are at most `lag` old.
    pub fn record_in_flight(&mut self, now: BootTime, in_flight: u32, lag: Duration) {
        if now.since(self.window_start) >= lag / (PEAKS as u32 - 1) {
            self.peaks.rotate_right(1);
            self.peaks[0] = in_flight;
            self.window_start = now;
        }
        self.peaks[0] = self.peaks[0].max(in_flight);
    }

    /// Drops the reported load if the latest report is older than `lag`.
    pub fn forget_report(&mut self, now: BootTime, lag: Duration) {
        if now.since(self.reported_at) > lag {
            self.reported = 0;
        }
    }

    /// Reported work that this pool can't have sent.
    pub fn foreign_work(&self) -> u32 {
        let own = self.peaks.iter().copied().max().unwrap_or(0);
        self.reported.saturating_sub(own)
    }

    /// Work in the latest report.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// Start time of the endpoint's process, if a report contained it.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    /// Sets a start time from a previous owner, unless a report has already set one.
    pub fn restore_start(&mut self, started_unix_ms: Option<u64>) {
        self.started_unix_ms = self.started_unix_ms.or(started_unix_ms);
    }

    /// Time of the latest report by the endpoint's clock.
    pub fn observed_unix_ms(&self) -> Option<u64> {
        self.observed_unix_ms
    }

    /// Records a time to first token. Returns whether it is so much longer than usual that it indicates a cold start.
    pub fn record_first_token(&mut self, prompt_tokens: u32, elapsed: Duration, jump: f64, floor: Duration) -> bool {
        let class = (prompt_tokens / PROMPT_CLASS_TOKENS + 1).ilog2() as usize;
        let usual = &mut self.first_tokens[class.min(PROMPT_CLASSES - 1)];
        let elapsed_seconds = elapsed.as_secs_f64();
        let jumped = elapsed > floor && usual.value().is_some_and(|usual| elapsed_seconds > usual * jump);
        if !jumped {
            usual.add(elapsed_seconds);
        }
        jumped
    }

    /// Drops the speed samples, which no longer apply.
    pub fn forget_speed(&mut self) {
        self.seconds_per_token = Average::default();
    }
}
