//! Results of a simulation run.

use celerytide_policy::Refusal;

use crate::mix::Mix;

/// Length in seconds of the windows in which shares are measured; one starts each second.
const WINDOW: usize = 10;
/// Fraction of the load below which a customer is small.
const SMALL_PART: f64 = 0.06;

#[derive(Clone)]
pub struct Request {
    pub class: usize,
    pub customer: usize,
    pub arrived: f64,
    pub prompt: f64,
    pub shared: f64,
    pub length: f64,
    pub prefix: u64,
    /// Number of refusals before this offer.
    pub tries: u32,
    pub first: Option<f64>,
    pub generated: f64,
    pub finished: Option<f64>,
    pub refused: Option<(f64, Refusal)>,
}

impl Request {
    /// Returns the same request, offered again.
    pub fn again(&self, now: f64) -> Request {
        Request {
            arrived: now,
            tries: self.tries + 1,
            refused: None,
            ..self.clone()
        }
    }

    fn attained(&self, mix: &Mix) -> bool {
        let by = self.arrived + mix.classes[self.class].target;
        self.finished.is_some() && self.first.is_some_and(|first| first <= by)
    }
}

/// Slot time by class in one second, and which classes waited throughout it.
pub struct Second {
    pub slot_seconds: Vec<f64>,
    pub waited: Vec<bool>,
}

impl Second {
    pub fn new(classes: usize) -> Second {
        Second {
            slot_seconds: vec![0.0; classes],
            waited: vec![true; classes],
        }
    }
}

pub struct Outcome {
    pub load: f64,
    /// Percent of first offers that attained their target, by class.
    pub attained: Vec<f64>,
    /// Percent of first offers that were refused, by class.
    pub refused: Vec<f64>,
    /// Median time to a refusal in percent of the target, by class.
    pub refusal_delay: Vec<f64>,
    /// Percent of first offers whose first token was late, by class.
    pub late: Vec<f64>,
    /// Tokens per second of responses that attained their target, by the time of their end.
    pub goodput: f64,
    /// Goodput in percent of the optimum with perfect knowledge, in any order and in order of tiers.
    pub of_optimum: f64,
    pub of_tiered_optimum: f64,
    pub wasted: f64,
    pub least_share: f64,
    pub small: f64,
    pub crashes: f64,
    pub wave: f64,
    pub wave_mean: f64,
    pub broken: usize,
}

impl Outcome {
    pub fn new(
        mix: &Mix,
        requests: &[Request],
        seconds: &[Second],
        (from, to): (f64, f64),
        engine_seconds: f64,
    ) -> Outcome {
        let peak: Vec<&Request> = requests.iter().filter(|r| (from..to).contains(&r.arrived)).collect();
        let offers: Vec<&Request> = peak.iter().copied().filter(|r| r.tries == 0).collect();
        let by_class = |of: &dyn Fn(&Request) -> bool| -> Vec<f64> {
            let classes = 0..mix.classes.len();
            classes
                .map(|class| percent(offers.iter().copied().filter(|r| r.class == class), of))
                .collect()
        };
        let total: u32 = mix.weights.iter().sum();
        let is_small = |r: &&Request| f64::from(mix.weights[r.customer]) < SMALL_PART * f64::from(total);
        let in_peak = |r: &&Request| r.finished.is_some_and(|end| (from..to).contains(&end));
        let good: f64 = requests
            .iter()
            .filter(in_peak)
            .filter(|r| r.attained(mix))
            .map(|r| r.generated)
            .sum();
        let generated: f64 = peak.iter().map(|r| r.generated).sum();
        let kept: f64 = peak.iter().filter(|r| r.attained(mix)).map(|r| r.generated).sum();
        let is_late = |r: &Request| r.first.is_some_and(|f| f > r.arrived + mix.classes[r.class].target);
        Outcome {
            load: 0.0,
            attained: by_class(&|r| r.attained(mix)),
            refused: by_class(&|r| r.refused.is_some()),
            refusal_delay: refusal_delay(mix, &offers),
            late: by_class(&is_late),
            goodput: good / (to - from),
            of_optimum: 100.0 * good / optimum(mix, &offers, engine_seconds, false),
            of_tiered_optimum: 100.0 * good / optimum(mix, &offers, engine_seconds, true),
            wasted: 100.0 * (1.0 - kept / generated.max(1.0)),
            least_share: least_share(mix, seconds),
            small: percent(offers.iter().copied().filter(is_small), &|r| r.attained(mix)),
            crashes: 0.0,
            wave: 0.0,
            wave_mean: 0.0,
            broken: 0,
        }
    }
}

/// Tokens that perfect knowledge could yield: every length is known, every batch is full, every shared prefix is cached
/// and every first token is in time, so that a request costs only its engine time in a full batch. The most expensive
/// tokens are left out or, if `tiered`, the lowest tiers. The last request counts in part.
fn optimum(mix: &Mix, offers: &[&Request], engine_seconds: f64, tiered: bool) -> f64 {
    let cost = |r: &Request| mix.spec.engine_seconds(r.prompt, r.length);
    let key = |r: &Request| {
        let tier = if tiered { mix.classes[r.class].tier } else { 0 };
        (tier, cost(r) / r.length)
    };
    let mut offers = offers.to_vec();
    offers.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    let (mut left, mut tokens) = (engine_seconds, 0.0);
    for request in offers {
        let cost = cost(request);
        tokens += request.length * (left / cost).min(1.0);
        left = (left - cost).max(0.0);
    }
    tokens
}

fn refusal_delay(mix: &Mix, offers: &[&Request]) -> Vec<f64> {
    let of = |class: usize| {
        let refused = offers.iter().filter(|r| r.class == class && r.first.is_none());
        let spans = refused.filter_map(|r| r.refused.map(|(at, _)| at - r.arrived));
        let mut spans: Vec<f64> = spans.collect();
        spans.sort_by(f64::total_cmp);
        let median = spans.get(spans.len() / 2).copied().unwrap_or(0.0);
        100.0 * median / mix.classes[class].target
    };
    (0..mix.classes.len()).map(of).collect()
}

/// Smallest percentage of its guaranteed share that a class got in a window in which it waited throughout.
fn least_share(mix: &Mix, seconds: &[Second]) -> f64 {
    let mut least = f64::INFINITY;
    for window in seconds.windows(WINDOW) {
        let total: f64 = window.iter().flat_map(|second| &second.slot_seconds).sum();
        for (class, spec) in mix.classes.iter().enumerate() {
            if window.iter().all(|second| second.waited[class]) {
                let own: f64 = window.iter().map(|second| second.slot_seconds[class]).sum();
                least = least.min(100.0 * own / (total * spec.share));
            }
        }
    }
    least
}

fn percent<'a>(requests: impl Iterator<Item = &'a Request>, of: &dyn Fn(&Request) -> bool) -> f64 {
    let (mut all, mut met) = (0, 0);
    for request in requests {
        all += 1;
        met += u32::from(of(request));
    }
    100.0 * f64::from(met) / f64::from(all.max(1))
}
