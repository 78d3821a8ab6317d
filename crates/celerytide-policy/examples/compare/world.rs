//! Callers, the pool and the engines in simulated time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use celerytide_policy::check::{Event, Recorder};
use celerytide_policy::{Ask, AskId, Ended, Grant, Offer, Options, Refused};
use celerytide_types::{Boot, EndpointId, PermitId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Engine, Job, Step};
use crate::scene::{CLASSES, ENGINES, capacity_per_second, plan, wave};

const STEP_SECONDS: f64 = 0.005;
const CALM_SECONDS: f64 = 40.0;
const PEAK_SECONDS: f64 = 60.0;
const END_SECONDS: f64 = 140.0;
/// When an engine restarts, and which.
const RESTART_AT: f64 = 60.0;
const RESTARTED: usize = 3;
/// Load outside the peak, as a fraction of capacity.
const CALM_LOAD: f64 = 0.6;
/// Callers leave after this many times their target without a first token.
const PATIENCE: f64 = 3.0;
/// Part of a target that is kept for the prefill.
const PREFILL_RESERVE: f64 = 0.3;
/// Seconds in which preempted work must go on.
const RESUME_SECONDS: f64 = 30.0;
const CUSTOMERS: usize = 40;
/// Customers that send most of the load.
const LARGE: usize = 4;
const LARGE_PART: f64 = 0.8;
/// Length of the windows in which shares are looked at.
const WINDOW_SECONDS: f64 = 10.0;

/// What a run showed.
pub struct Outcome {
    pub attained: Vec<f64>,
    pub goodput: f64,
    pub wasted: f64,
    pub falls: f64,
    pub least_share: f64,
    pub small: f64,
    pub wave: f64,
    pub broken: usize,
}

#[derive(Clone)]
struct Request {
    class: usize,
    customer: usize,
    arrived: f64,
    prompt: f64,
    length: f64,
    prefix: u64,
    first: Option<f64>,
    done: f64,
    whole: bool,
}

pub struct World {
    pool: Recorder,
    engines: Vec<Engine>,
    rng: SmallRng,
    now: f64,
    requests: Vec<Request>,
    queued: HashMap<AskId, usize>,
    /// Request and engine of each permit.
    running: BTreeMap<PermitId, (usize, usize)>,
    returns: Vec<f64>,
    /// Per window: grants of each class, and whether it waited all along.
    windows: Vec<Vec<(u64, bool)>>,
    is_baseline: bool,
}

impl World {
    pub fn run(opts: Options, load: f64, seed: u64) -> Outcome {
        let is_baseline = opts.baseline.is_some();
        let mut pool = Recorder::new(Options { seed, ..opts });
        pool.apply(boot(0.0), plan());
        let mut world = World {
            pool,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            requests: Vec::new(),
            queued: HashMap::new(),
            running: BTreeMap::new(),
            returns: Vec::new(),
            windows: Vec::new(),
            is_baseline,
        };
        let mut restarted = false;
        while world.now < END_SECONDS {
            world.arrive(load);
            if !restarted && world.now >= RESTART_AT {
                restarted = true;
                let steps = world.engines[RESTARTED].restart(world.now);
                world.take(steps);
            }
            world.work();
            world.leave();
            world.decide();
            world.watch();
            world.now += STEP_SECONDS;
        }
        world.outcome()
    }

    fn is_peak(&self, at: f64) -> bool {
        (CALM_SECONDS..CALM_SECONDS + PEAK_SECONDS).contains(&at)
    }

    fn arrive(&mut self, load: f64) {
        let load = if self.is_peak(self.now) { load } else { CALM_LOAD };
        let per_second = load * capacity_per_second();
        let bound = (-per_second * STEP_SECONDS).exp();
        let mut product: f64 = self.rng.random();
        while product > bound {
            let request = self.draw();
            self.requests.push(request);
            self.offer(self.requests.len() - 1, None, Vec::new());
            product *= self.rng.random::<f64>();
        }
    }

    fn draw(&mut self) -> Request {
        let mut pick: f64 = self.rng.random();
        let mut class = CLASSES.len() - 1;
        for (at, candidate) in CLASSES.iter().enumerate() {
            if pick < candidate.mix {
                class = at;
                break;
            }
            pick -= candidate.mix;
        }
        let customer = if self.rng.random_bool(LARGE_PART) {
            self.rng.random_range(0..LARGE)
        } else {
            self.rng.random_range(LARGE..CUSTOMERS)
        };
        let spread = |rng: &mut SmallRng| (-rng.random_range(0.02_f64..1.0).ln()).clamp(0.1, 3.5);
        let length = CLASSES[class].length * spread(&mut self.rng);
        Request {
            class,
            customer,
            arrived: self.now,
            prompt: CLASSES[class].prompt * self.rng.random_range(0.5..1.5),
            length: length.max(5.0),
            prefix: (customer * CLASSES.len() + class) as u64 * 4 + self.rng.random_range(0..4),
            first: None,
            done: 0.0,
            whole: false,
        }
    }

    fn offer(&mut self, at: usize, resumed: Option<f64>, avoid: Vec<EndpointId>) {
        let request = &self.requests[at];
        let class = &CLASSES[request.class];
        let deadline = match resumed {
            Some(now) => now + RESUME_SECONDS,
            None => request.arrived + class.target * (1.0 - PREFILL_RESERVE),
        };
        let block = request.prefix * 16;
        let ask = Ask {
            request: String::new(),
            class: class.name.to_owned(),
            customer: format!("customer-{}", request.customer),
            deadline: boot(deadline),
            arrived: boot(request.arrived),
            prompt_tokens: (request.prompt + request.done) as u32,
            max_tokens: None,
            prefix: (0..8).map(|part| block + part).chain([(at as u64 + 1) << 32]).collect(),
            avoid,
        };
        let before = self.pool.history().len();
        if let Offer::Queued(id) = self.pool.offer(boot(self.now), ask) {
            self.queued.insert(id, at);
        }
        self.note_refusals(before);
    }

    /// Looks through the history for refusals since `before`.
    fn note_refusals(&mut self, before: usize) {
        let refused: Vec<Refused> = self.pool.history()[before..]
            .iter()
            .filter_map(|entry| match &entry.event {
                Event::Refused(refused) => Some(refused.clone()),
                _ => None,
            })
            .collect();
        for refused in refused {
            self.queued.remove(&refused.ask);
            if self.is_peak(self.now) {
                self.returns.push(self.now + refused.retry_after.as_secs_f64());
            }
        }
    }

    fn decide(&mut self) {
        let now = boot(self.now);
        let before = self.pool.history().len();
        self.pool.expire(now);
        self.grant_all(now);
        while let Some(permit) = self.pool.preempt(now) {
            self.preempt(now, permit);
            self.grant_all(now);
        }
        self.note_refusals(before);
    }

    fn grant_all(&mut self, now: Boot) {
        while let Some(grant) = self.pool.next(now) {
            self.start(now, grant);
        }
    }

    fn start(&mut self, now: Boot, grant: Grant) {
        let Some(at) = self.queued.remove(&grant.ask) else {
            return;
        };
        let engine = grant.endpoint.trim_start_matches("engine-").parse().unwrap_or(0);
        let request = &self.requests[at];
        let job = Job {
            permit: grant.permit,
            prefix: request.prefix,
            prompt_left: request.prompt + request.done,
            prefix_tokens: request.prompt * 8.0 / 9.0,
            done: request.done,
            length: request.length,
        };
        let class = request.class;
        if let Some(window) = self.windows.last_mut() {
            window[class].0 += 1;
        }
        if !self.engines[engine].start(self.now, job) {
            // Nothing ran, so it goes to another engine.
            self.pool.settle(now, grant.permit, Ended::NotStarted);
            let resumed = self.requests[at].first.map(|_| self.now);
            self.offer(at, resumed, vec![grant.endpoint]);
            return;
        }
        self.running.insert(grant.permit, (at, engine));
    }

    fn preempt(&mut self, now: Boot, permit: PermitId) {
        self.pool.settle(now, permit, Ended::Cancelled);
        let Some((at, engine)) = self.running.remove(&permit) else {
            return;
        };
        let done = self.engines[engine].done(permit);
        self.engines[engine].cancel(permit);
        self.requests[at].done = done.max(self.requests[at].done);
        let resumed = if self.requests[at].first.is_some() {
            Some(self.now)
        } else {
            None
        };
        self.offer(at, resumed, Vec::new());
    }

    fn work(&mut self) {
        for engine in 0..ENGINES {
            let steps = self.engines[engine].step(self.now, STEP_SECONDS);
            self.take(steps);
        }
    }

    fn take(&mut self, steps: Vec<Step>) {
        let now = boot(self.now);
        for step in steps {
            match step {
                Step::Token(permit, tokens) => self.first_token(now, permit, tokens),
                Step::Done(permit, tokens) => self.done(now, permit, tokens),
                Step::Failed(permit) => {
                    self.pool.settle(now, permit, Ended::Failed);
                    self.running.remove(&permit);
                }
            }
        }
    }

    fn first_token(&mut self, now: Boot, permit: PermitId, tokens: u32) {
        self.pool.progress(now, permit, tokens);
        let Some(&(at, _)) = self.running.get(&permit) else {
            return;
        };
        self.requests[at].first.get_or_insert(self.now);
        self.requests[at].done = f64::from(tokens);
    }

    fn done(&mut self, now: Boot, permit: PermitId, tokens: u32) {
        self.pool.settle(now, permit, Ended::Whole { tokens });
        let Some((at, _)) = self.running.remove(&permit) else {
            return;
        };
        self.requests[at].whole = true;
        self.requests[at].done = f64::from(tokens);
    }

    /// Callers without a first token leave after their patience.
    fn leave(&mut self) {
        let gone = |request: &Request, now: f64| {
            request.first.is_none() && now > request.arrived + CLASSES[request.class].target * PATIENCE
        };
        let permits = self
            .running
            .iter()
            .filter(|(_, (at, _))| gone(&self.requests[*at], self.now));
        let permits: Vec<(PermitId, usize)> = permits.map(|(permit, (_, engine))| (*permit, *engine)).collect();
        for (permit, engine) in permits {
            self.engines[engine].cancel(permit);
            self.running.remove(&permit);
            self.pool.settle(boot(self.now), permit, Ended::Cancelled);
        }
    }

    fn watch(&mut self) {
        if !self.is_peak(self.now) {
            return;
        }
        let window = ((self.now - CALM_SECONDS) / WINDOW_SECONDS) as usize;
        if self.windows.len() <= window {
            self.windows.push(vec![(0, true); CLASSES.len()]);
        }
        let mut waiting = vec![0; CLASSES.len()];
        self.queued
            .values()
            .for_each(|at| waiting[self.requests[*at].class] += 1);
        for (class, count) in waiting.into_iter().enumerate() {
            self.windows[window][class].1 &= count > 0;
        }
    }

    fn outcome(self) -> Outcome {
        let peak: Vec<&Request> = self
            .requests
            .iter()
            .filter(|request| self.is_peak(request.arrived))
            .collect();
        let of_class = |class: usize| peak.iter().copied().filter(move |request| request.class == class);
        let generated: f64 = peak.iter().map(|request| request.done).sum();
        let good: f64 = peak
            .iter()
            .filter(|request| request.attained())
            .map(|request| request.done)
            .sum();
        let small = peak.iter().copied().filter(|request| request.customer >= LARGE);
        Outcome {
            attained: (0..CLASSES.len()).map(|class| percent(of_class(class))).collect(),
            goodput: good / PEAK_SECONDS,
            wasted: 100.0 * (1.0 - good / generated.max(1.0)),
            falls: self.engines.iter().map(|engine| f64::from(engine.falls)).sum(),
            least_share: self.least_share(),
            small: percent(small),
            wave: wave(&self.returns),
            broken: if self.is_baseline {
                0
            } else {
                self.pool.violations().len()
            },
        }
    }

    fn least_share(&self) -> f64 {
        let mut least = f64::INFINITY;
        for window in &self.windows {
            let grants: u64 = window.iter().map(|(grants, _)| grants).sum();
            for (class, (own, waited)) in CLASSES.iter().zip(window) {
                if *waited {
                    least = least.min(100.0 * *own as f64 / (grants as f64 * class.share));
                }
            }
        }
        least
    }
}

impl Request {
    fn attained(&self) -> bool {
        let in_time = |first: f64| first <= self.arrived + CLASSES[self.class].target;
        self.whole && self.first.is_some_and(in_time)
    }
}

fn percent<'a>(requests: impl Iterator<Item = &'a Request>) -> f64 {
    let (mut all, mut attained) = (0, 0);
    for request in requests {
        all += 1;
        attained += u32::from(request.attained());
    }
    100.0 * f64::from(attained) / f64::from(all.max(1))
}

fn boot(seconds: f64) -> Boot {
    Boot::from_start(Duration::from_secs_f64(1000.0 + seconds))
}
