//! Which engines read long prompts.
//!
//! Answers this load: prompts that take long to read arrive beside streams whose events may not pause for so long. An
//! engine reads prompts piece by piece between the events of all streams that it runs, so a few long ones in a row make
//! every stream there late. The engines of a service are therefore divided: one part reads the long prompts, the other
//! part is left to the rest. Every instance works out the same parts without a call: the order of the engines is drawn by
//! rendezvous hashing, and the parts follow the engine time that both kinds of work take, as far as this instance and
//! those that it hears have seen it. A burst counts at once and fades slowly.
//!
//! Division costs: fewer engines are left for either kind, and documents are read anew. So it lasts only where streams
//! show that it is needed, by their longest pause against the tightest that a route of the service allows. All streams
//! count, also those beside which long prompts are read: what they show doesn't change with the division. Where one kind
//! of work is missing, or earns no engine of its own, nothing is divided.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::{BootTime, ServiceId, data, rendezvous_weight};

use crate::peers::digest::id_hash;

/// Times over which work is counted: the shorter one sees a burst at once, the longer one is steady.
const WINDOWS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(6)];
/// Time over which streams are counted.
const SEEN_FOR: Duration = Duration::from_secs(5);
/// Share of streams with too long a pause above which engines are divided again, and up to which they are joined.
const DIVIDE_SHARE: f64 = 0.04;
const JOIN_SHARE: f64 = 0.01;
/// Streams that have to be seen before engines are joined or divided again.
const LEAST_SEEN: f64 = 16.0;
/// Answers that the mean time of a token counts, the last ones most.
const MEAN_OF: u32 = 40;
/// Engines by which the part that the work asks for has to differ from the one in force before it is moved.
const STEP: f64 = 1.0;

/// How a request counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Reading it makes streams beside it late.
    Long,
    /// It doesn't.
    Short,
}

data! {
    /// Engine time that an instance's work takes at one service.
    #[derive(Copy, Eq)]
    pub struct WorkAt {
        /// Hash of the service's id.
        pub service: u32,
        /// Milliseconds a second for long prompts, over the shorter and the longer window.
        pub long_ms: [u32; 2],
        /// Milliseconds a second for the rest.
        pub short_ms: [u32; 2],
        /// Streams that ended of late, in thousandths.
        pub streams: u32,
        /// Those of them with a pause longer than the tightest that a route allows.
        pub late: u32,
    }
}

/// Engine time a second, by kind of work and over both windows.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Seconds for long prompts.
    pub long: [f64; 2],
    /// Seconds for the rest.
    pub short: [f64; 2],
    /// Streams that ended of late.
    pub streams: f64,
    /// Those of them with too long a pause.
    pub late: f64,
}

impl Demand {
    /// Adds what another instance told.
    pub fn with(mut self, work: &WorkAt) -> Demand {
        for n in 0..WINDOWS.len() {
            self.long[n] += f64::from(work.long_ms[n]) / 1000.0;
            self.short[n] += f64::from(work.short_ms[n]) / 1000.0;
        }
        self.streams += f64::from(work.streams) / 1000.0;
        self.late += f64::from(work.late) / 1000.0;
        self
    }
}

/// The parts of all services.
#[derive(Debug, Default)]
pub struct Split {
    by_service: HashMap<ServiceId, Work>,
}

#[derive(Debug, Default)]
struct Work {
    long: Rate,
    short: Rate,
    /// Share of an engine's time that one token of an answer takes, in seconds.
    token_s: f64,
    /// Answers that it was learned from, up to [`MEAN_OF`].
    answers: u32,
    /// Engines that read long prompts, as it is in force.
    readers: usize,
    /// Streams that ended of late, and those of them with too long a pause.
    streams: Fading,
    late: Fading,
    /// Streams are hardly ever late: the engines aren't divided.
    joined: bool,
}

/// How the engines of a service are divided.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Parts {
    /// Engines that read long prompts; none or all of them if they aren't divided.
    pub readers: usize,
    /// What the work asks for.
    pub wanted: f64,
    /// Whether that moved the parts.
    pub moved: bool,
}

impl Work {
    /// Whether the engines are divided, by what this instance and those that it hears saw of streams.
    fn divides(&mut self, elsewhere: Demand, now: BootTime) -> bool {
        let streams = self.streams.left(now) + elsewhere.streams;
        let late = self.late.left(now) + elsewhere.late;
        if streams >= LEAST_SEEN {
            let share = if self.joined { DIVIDE_SHARE } else { JOIN_SHARE };
            self.joined = late <= streams * share;
        }
        !self.joined
    }
}

/// A count that fades.
#[derive(Debug, Default)]
struct Fading {
    sum: f64,
    at: BootTime,
}

impl Fading {
    fn add(&mut self, count: f64, now: BootTime) {
        self.sum = self.left(now) + count;
        self.at = now;
    }

    fn left(&self, now: BootTime) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.sum * (-passed / SEEN_FOR.as_secs_f64()).exp()
    }
}

/// Seconds a second, over both windows.
#[derive(Debug, Default)]
struct Rate {
    sums: [f64; 2],
    at: BootTime,
}

impl Rate {
    fn add(&mut self, seconds: f64, now: BootTime) {
        let passed = now.since(self.at).as_secs_f64();
        for (sum, window) in self.sums.iter_mut().zip(WINDOWS) {
            *sum = *sum * (-passed / window.as_secs_f64()).exp() + seconds;
        }
        self.at = now;
    }

    fn per_s(&self, now: BootTime) -> [f64; 2] {
        let passed = now.since(self.at).as_secs_f64();
        let rate = |n: usize| {
            let window = WINDOWS[n].as_secs_f64();
            self.sums[n] * (-passed / window).exp() / window
        };
        [rate(0), rate(1)]
    }
}

/// How a prompt of `tokens` counts beside streams that may pause for `pause`, at engines that read `per_s` tokens a second:
/// as long where it takes longer to read than that.
pub fn size(tokens: f64, pause: Duration, per_s: f64) -> Size {
    let reading = tokens / per_s.max(1.0);
    if reading > pause.as_secs_f64() {
        Size::Long
    } else {
        Size::Short
    }
}

impl Split {
    /// Counts a request of `service` that is sent: the time that reading takes an engine, and the time for which it will
    /// hold one of its places.
    pub fn note(&mut self, service: &str, size: Size, reading: Duration, output: u32, now: BootTime) {
        let work = self.work(service);
        let writing = f64::from(output) * work.token_s;
        let rate = match size {
            Size::Long => &mut work.long,
            Size::Short => &mut work.short,
        };
        rate.add(reading.as_secs_f64() + writing, now);
    }

    /// A stream ended; whether one of its pauses was longer than the tightest that a route allows.
    pub fn saw(&mut self, service: &str, late: bool, now: BootTime) {
        let work = self.work(service);
        work.streams.add(1.0, now);
        work.late.add(if late { 1.0 } else { 0.0 }, now);
    }

    /// An answer of at most `output` tokens held one of the `slots` of an engine of `service` for `held`.
    pub fn learn(&mut self, service: &str, output: u32, held: Duration, slots: u32) {
        let work = self.work(service);
        let token_s = held.as_secs_f64() / f64::from(slots.max(1)) / f64::from(output.max(1));
        work.answers = work.answers.saturating_add(1).min(MEAN_OF);
        work.token_s += (token_s - work.token_s) / f64::from(work.answers);
    }

    fn work(&mut self, service: &str) -> &mut Work {
        self.by_service.entry(service.to_owned()).or_default()
    }

    /// This instance's work, for others.
    pub fn told(&self, now: BootTime) -> Vec<WorkAt> {
        let told = self.by_service.iter().map(|(service, work)| WorkAt {
            service: id_hash(service),
            long_ms: in_ms(work.long.per_s(now)),
            short_ms: in_ms(work.short.per_s(now)),
            streams: (work.streams.left(now) * 1000.0) as u32,
            late: (work.late.left(now) * 1000.0) as u32,
        });
        let mut told: Vec<WorkAt> = told.filter(|w| w.long_ms != [0; 2] || w.short_ms != [0; 2]).collect();
        told.sort_unstable_by_key(|w| w.service);
        told
    }

    /// The parts of the `engines` of `service`, beside what others have to do.
    pub fn parts(&mut self, service: &str, engines: usize, elsewhere: Demand, now: BootTime) -> Parts {
        let Some(work) = self.by_service.get_mut(service) else {
            return Parts::default();
        };
        let long = most(work.long.per_s(now), elsewhere.long);
        let short = most(work.short.per_s(now), elsewhere.short);
        let all = long + short;
        let wanted = if all > 0.0 { engines as f64 * long / all } else { 0.0 };
        let readers = if work.divides(elsewhere, now) { wanted } else { 0.0 };
        let moved = (readers - work.readers as f64).abs() >= STEP;
        if moved {
            work.readers = readers.round() as usize;
        }
        Parts {
            readers: work.readers,
            wanted,
            moved,
        }
    }
}

/// Those of `ids` that read long prompts: `count` engines of `service`.
pub fn readers<'a>(service: &str, ids: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = ids.iter().map(|id| (rendezvous_weight(service, id), *id)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, id)| id).collect()
}

/// The work of all that were heard, over the window in which it is more.
fn most(own: [f64; 2], elsewhere: [f64; 2]) -> f64 {
    (own[0] + elsewhere[0]).max(own[1] + elsewhere[1])
}

fn in_ms(seconds: [f64; 2]) -> [u32; 2] {
    seconds.map(|s| (s * 1000.0) as u32)
}
