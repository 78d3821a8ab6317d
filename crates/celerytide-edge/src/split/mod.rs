//! Divides the engines of a service into those for long prompts and those for the rest.
//!
//! Designed for this load: prompts with a long prefill arrive beside streams whose events must not pause for so long. An
//! engine prefills prompts in pieces between the events of its streams, so a few long ones in a row delay every stream
//! there. One part of a service's engines therefore gets the long prompts, and the other part serves the rest. All
//! instances compute the same parts without a call: engines are ordered by rendezvous hashing, and the sizes of the parts
//! follow the engine time of both kinds of work, as seen by this instance and those whose digests it receives. A burst
//! counts at once and decays slowly.
//!
//! Division has a cost: each kind of work has fewer engines, and shared blocks need another prefill in the other part. So
//! it lasts only while streams show the need: their longest gaps are compared with the tightest that a route of the
//! service allows. All streams count, also those beside long prompts, whose gaps don't change with the division. Where
//! one kind of work is absent or needs less than an engine, nothing is divided.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::{BootTime, ServiceId, data, rendezvous_weight};

use crate::peers::digest::id_hash;

/// Time constants of the work rates: the shorter one reacts to a burst at once, the longer one is steady.
const WINDOWS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(6)];
/// Time constant of the stream counts.
const STREAM_WINDOW: Duration = Duration::from_secs(5);
/// Share of late streams above which engines are divided again.
const DIVIDE_SHARE: f64 = 0.04;
/// Share of late streams up to which divided engines are joined.
const JOIN_SHARE: f64 = 0.01;
/// Streams that must be counted before engines are joined or divided again.
const MIN_STREAMS: f64 = 16.0;
/// Responses in the moving average of the engine time per token of maximum output.
const MAX_SAMPLES: u32 = 40;
/// Engines by which the wanted part must differ from the current one before it changes.
const MIN_CHANGE: f64 = 1.0;

/// Class of a prompt by its prefill time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptSize {
    /// Its prefill delays streams at the same engine too long.
    Long,
    /// Its prefill doesn't.
    Short,
}

data! {
    /// Work of one instance at one service, in engine time.
    #[derive(Copy, Eq)]
    pub struct WorkEntry {
        /// Hash of the service's id.
        pub service: u32,
        /// Milliseconds per second for long prompts, over the shorter and the longer window.
        pub long_ms: [u32; 2],
        /// Milliseconds per second for the other requests.
        pub short_ms: [u32; 2],
        /// Recently ended streams, in thousandths.
        pub streams: u32,
        /// Of these, streams with a gap longer than the tightest that a route allows, also in thousandths.
        pub late: u32,
    }
}

/// Engine time per second by class of prompt, over both windows.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Seconds per second for long prompts.
    pub long: [f64; 2],
    /// Seconds per second for the other requests.
    pub short: [f64; 2],
    /// Recently ended streams.
    pub streams: f64,
    /// Of these, streams with too long a gap.
    pub late: f64,
}

impl Demand {
    /// Adds the work of another instance.
    pub fn plus(mut self, work: &WorkEntry) -> Demand {
        for n in 0..WINDOWS.len() {
            self.long[n] += f64::from(work.long_ms[n]) / 1000.0;
            self.short[n] += f64::from(work.short_ms[n]) / 1000.0;
        }
        self.streams += f64::from(work.streams) / 1000.0;
        self.late += f64::from(work.late) / 1000.0;
        self
    }
}

/// Work and division of engines by service.
#[derive(Debug, Default)]
pub struct EngineSplit {
    by_service: HashMap<ServiceId, ServiceWork>,
}

#[derive(Debug, Default)]
struct ServiceWork {
    long: WorkRate,
    short: WorkRate,
    /// Engine time per token of a request's maximum output, in seconds; a moving average over responses.
    token_s: f64,
    /// Responses in that average, up to [`MAX_SAMPLES`].
    samples: u32,
    /// Engines that currently get the long prompts.
    long_engines: usize,
    /// Recently ended streams, and those with too long a gap.
    streams: DecayingCount,
    late: DecayingCount,
    /// Set while too few streams are late to justify dividing the engines. Starts false, and stays so until
    /// [`MIN_STREAMS`] are counted.
    is_undivided: bool,
}

/// Division of a service's engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Division {
    /// Engines that get the long prompts; none or all of them if the engines aren't divided.
    pub long_engines: usize,
    /// Engines that the work of long prompts needs.
    pub wanted: f64,
    /// Whether `long_engines` changed with this call.
    pub changed: bool,
}

impl ServiceWork {
    /// Whether the engines should be divided, by the late streams of this and other instances.
    fn should_divide(&mut self, remote: Demand, now: BootTime) -> bool {
        let streams = self.streams.value(now) + remote.streams;
        let late = self.late.value(now) + remote.late;
        if streams >= MIN_STREAMS {
            let share = if self.is_undivided { DIVIDE_SHARE } else { JOIN_SHARE };
            self.is_undivided = late <= streams * share;
        }
        !self.is_undivided
    }
}

/// Exponentially decaying count.
#[derive(Debug, Default)]
struct DecayingCount {
    sum: f64,
    at: BootTime,
}

impl DecayingCount {
    fn add(&mut self, count: f64, now: BootTime) {
        self.sum = self.value(now) + count;
        self.at = now;
    }

    fn value(&self, now: BootTime) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.sum * (-elapsed / STREAM_WINDOW.as_secs_f64()).exp()
    }
}

/// Engine time in seconds as decaying sums over both windows; a sum divided by its window is a rate.
#[derive(Debug, Default)]
struct WorkRate {
    sums: [f64; 2],
    at: BootTime,
}

impl WorkRate {
    fn add(&mut self, seconds: f64, now: BootTime) {
        let elapsed = now.since(self.at).as_secs_f64();
        for (sum, window) in self.sums.iter_mut().zip(WINDOWS) {
            *sum = *sum * (-elapsed / window.as_secs_f64()).exp() + seconds;
        }
        self.at = now;
    }

    fn per_s(&self, now: BootTime) -> [f64; 2] {
        let elapsed = now.since(self.at).as_secs_f64();
        let rate = |n: usize| {
            let window = WINDOWS[n].as_secs_f64();
            self.sums[n] * (-elapsed / window).exp() / window
        };
        [rate(0), rate(1)]
    }
}

/// Classifies a prompt of `tokens` for engines that prefill `per_s` tokens per second: long if its prefill takes more
/// than `max_gap`, the tightest `max_event_gap` of the service's routes.
pub fn classify(tokens: f64, max_gap: Duration, per_s: f64) -> PromptSize {
    let prefill_time = tokens / per_s.max(1.0);
    if prefill_time > max_gap.as_secs_f64() {
        PromptSize::Long
    } else {
        PromptSize::Short
    }
}

impl EngineSplit {
    /// Counts a sent request of `service` by the engine time for the prefill of its prompt and for its longest response.
    pub fn record_request(
        &mut self,
        service: &str,
        size: PromptSize,
        prefill_time: Duration,
        max_output_tokens: u32,
        now: BootTime,
    ) {
        let work = self.work_mut(service);
        let decode_time = f64::from(max_output_tokens) * work.token_s;
        let rate = match size {
            PromptSize::Long => &mut work.long,
            PromptSize::Short => &mut work.short,
        };
        rate.add(prefill_time.as_secs_f64() + decode_time, now);
    }

    /// Counts an ended stream; `late` if one of its gaps exceeded the tightest that a route allows.
    pub fn record_stream(&mut self, service: &str, late: bool, now: BootTime) {
        let work = self.work_mut(service);
        work.streams.add(1.0, now);
        work.late.add(if late { 1.0 } else { 0.0 }, now);
    }

    /// Learns the engine time per token of maximum output from a response that held one of the engine's `slots` for
    /// `slot_time`.
    pub fn record_response(&mut self, service: &str, max_output_tokens: u32, slot_time: Duration, slots: u32) {
        let work = self.work_mut(service);
        let token_s = slot_time.as_secs_f64() / f64::from(slots.max(1)) / f64::from(max_output_tokens.max(1));
        work.samples = work.samples.saturating_add(1).min(MAX_SAMPLES);
        work.token_s += (token_s - work.token_s) / f64::from(work.samples);
    }

    fn work_mut(&mut self, service: &str) -> &mut ServiceWork {
        self.by_service.entry(service.to_owned()).or_default()
    }

    /// This instance's work, for the digest.
    pub fn entries(&self, now: BootTime) -> Vec<WorkEntry> {
        let entries = self.by_service.iter().map(|(service, work)| WorkEntry {
            service: id_hash(service),
            long_ms: in_ms(work.long.per_s(now)),
            short_ms: in_ms(work.short.per_s(now)),
            streams: (work.streams.value(now) * 1000.0) as u32,
            late: (work.late.value(now) * 1000.0) as u32,
        });
        let mut entries: Vec<WorkEntry> = entries
            .filter(|w| w.long_ms != [0; 2] || w.short_ms != [0; 2])
            .collect();
        entries.sort_unstable_by_key(|w| w.service);
        entries
    }

    /// Divides the `engines` of `service` by the work of this instance and of others.
    pub fn divide(&mut self, service: &str, engines: usize, remote: Demand, now: BootTime) -> Division {
        let Some(work) = self.by_service.get_mut(service) else {
            return Division::default();
        };
        let long = peak(work.long.per_s(now), remote.long);
        let short = peak(work.short.per_s(now), remote.short);
        let total = long + short;
        let wanted = if total > 0.0 {
            engines as f64 * long / total
        } else {
            0.0
        };
        let long_engines = if work.should_divide(remote, now) { wanted } else { 0.0 };
        let changed = (long_engines - work.long_engines as f64).abs() >= MIN_CHANGE;
        if changed {
            work.long_engines = long_engines.round() as usize;
        }
        Division {
            long_engines: work.long_engines,
            wanted,
            changed,
        }
    }
}

/// The `count` engines among `ids` that get the long prompts of `service`.
pub fn long_engines<'a>(service: &str, ids: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = ids.iter().map(|id| (rendezvous_weight(service, id), *id)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, id)| id).collect()
}

/// Total work, over the window in which it is larger.
fn peak(own: [f64; 2], remote: [f64; 2]) -> f64 {
    (own[0] + remote[0]).max(own[1] + remote[1])
}

fn in_ms(seconds: [f64; 2]) -> [u32; 2] {
    seconds.map(|s| (s * 1000.0) as u32)
}
