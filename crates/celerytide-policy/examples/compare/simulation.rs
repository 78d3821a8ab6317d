//! Simulates callers, the pool and the engines.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use celerytide_policy::check::{Event, Recorder};
use celerytide_policy::{Ended, Grant, Offer, Options, PermitRequest, PermitRequestId, Refused};
use celerytide_types::{BootTime, EndpointId, PermitId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Engine, Job, RESTART_SECONDS, Step};
use crate::mix::{Mix, normal};
use crate::outcome::{Outcome, Request, Second};

const STEP_SECONDS: f64 = 0.005;
pub const CALM_SECONDS: f64 = 40.0;
pub const PEAK_SECONDS: f64 = 60.0;
const END_SECONDS: f64 = 140.0;
/// Time of an engine's restart, and the index of that engine.
const RESTART_AT: f64 = 60.0;
const RESTARTED: usize = 3;
/// Load outside the peak, as a fraction of capacity.
const CALM_LOAD: f64 = 0.6;
/// Multiple of its target that a request may wait before it starts, as at the entry.
const PATIENCE: f64 = 4.0;
/// Number of prompt groups with a shared prefix.
const GROUPS: u64 = 8;
/// Number of times that a refused caller retries.
const RETURNS: u32 = 3;

pub struct Simulation<'a> {
    mix: &'a Mix,
    pool: Recorder,
    engines: Vec<Engine>,
    rng: SmallRng,
    now: f64,
    requests: Vec<Request>,
    queued: HashMap<PermitRequestId, usize>,
    /// Request and engine of each permit.
    running: BTreeMap<PermitId, (usize, usize)>,
    /// Refused callers that will retry, by time in microseconds and request.
    returning: BTreeMap<(u64, usize), usize>,
    returns: Vec<f64>,
    seconds: Vec<Second>,
    checks: bool,
    retries_refused: bool,
}

impl<'a> Simulation<'a> {
    pub fn run(mix: &'a Mix, opts: Options, load: f64, seed: u64, how: &str) -> Outcome {
        let checks = how == "check" && opts.baseline.is_none();
        let mut pool = Recorder::new(Options { seed, ..opts });
        pool.apply(boot(0.0), mix.plan());
        let mut simulation = Simulation {
            mix,
            pool,
            engines: (0..mix.engines).map(|_| Engine::new(mix.spec)).collect(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            requests: Vec::new(),
            queued: HashMap::new(),
            running: BTreeMap::new(),
            returning: BTreeMap::new(),
            returns: Vec::new(),
            seconds: Vec::new(),
            checks,
            retries_refused: how == "back",
        };
        let mut restarted = false;
        while simulation.now < END_SECONDS {
            simulation.add_arrivals(load);
            simulation.add_returns();
            if !restarted && simulation.now >= RESTART_AT {
                restarted = true;
                let steps = simulation.engines[RESTARTED].restart(simulation.now);
                simulation.apply_steps(steps);
            }
            simulation.step_engines();
            simulation.cancel_impatient();
            simulation.decide();
            simulation.record_second();
            simulation.now += STEP_SECONDS;
        }
        simulation.outcome(load)
    }

    fn is_peak(&self, at: f64) -> bool {
        (CALM_SECONDS..CALM_SECONDS + PEAK_SECONDS).contains(&at)
    }

    fn add_arrivals(&mut self, load: f64) {
        let load = if self.is_peak(self.now) { load } else { CALM_LOAD };
        let scale = load / self.mix.demand();
        for class in 0..self.mix.classes.len() {
            let bound = (-self.mix.classes[class].rate * scale * STEP_SECONDS).exp();
            let mut product: f64 = self.rng.random();
            while product > bound {
                let request = self.draw(class);
                self.requests.push(request);
                self.offer(self.requests.len() - 1, None, Vec::new());
                product *= self.rng.random::<f64>();
            }
        }
    }

    fn add_returns(&mut self) {
        let now_us = (self.now * 1e6) as u64;
        while let Some((&(at, key), &request)) = self.returning.first_key_value() {
            if at > now_us {
                return;
            }
            self.returning.remove(&(at, key));
            if self.is_peak(self.now) {
                self.returns.push(self.now);
            }
            let again = self.requests[request].again(self.now);
            self.requests.push(again);
            self.offer(self.requests.len() - 1, None, Vec::new());
        }
    }

    fn draw(&mut self, class: usize) -> Request {
        let weights = self.mix.weights;
        let mut pick = self.rng.random_range(0..weights.iter().sum::<u32>());
        let mut customer = 0;
        while pick >= weights[customer] {
            pick -= weights[customer];
            customer += 1;
        }
        let spec = &self.mix.classes[class];
        let z = normal(self.rng.random_range(0.001..0.999));
        let length = (self.mix.length.0 * (self.mix.length.1 * z).exp()).min(spec.max_tokens);
        let group = self.rng.random_range(0..GROUPS);
        let number = self.requests.len() as u64 + 1;
        let prefix = if spec.shared > 0.0 {
            class as u64 * GROUPS + group
        } else {
            number << 32
        };
        Request {
            class,
            customer,
            arrived: self.now,
            prompt: spec.prompt,
            shared: spec.shared,
            length: length.max(5.0).round(),
            prefix,
            tries: 0,
            first: None,
            generated: 0.0,
            finished: None,
            refused: None,
        }
    }

    fn offer(&mut self, at: usize, resumed: Option<f64>, avoid: Vec<EndpointId>) {
        let request = &self.requests[at];
        let class = &self.mix.classes[request.class];
        let deadline = match resumed {
            Some(now) => now + class.target,
            None => request.arrived + class.target * PATIENCE,
        };
        let block = request.prefix * 16;
        let shared = if request.shared > 0.0 { 8 } else { 0 };
        let req = PermitRequest {
            request: String::new(),
            class: class.name.to_owned(),
            customer: format!("customer-{}", request.customer),
            deadline: boot(deadline),
            arrived: boot(request.arrived),
            prompt_tokens: (request.prompt + request.shared) as u32,
            max_tokens: Some(class.max_tokens as u32),
            prefix: (0..shared)
                .map(|part| block + part)
                .chain([(at as u64 + 1) << 40])
                .collect(),
            avoid,
            content: None,
        };
        let before = self.pool.history().len();
        match self.pool.offer(boot(self.now), req) {
            Offer::Queued(id) => {
                self.queued.insert(id, at);
                self.note_refusals(before);
            }
            Offer::Refused(refused) => {
                self.queued.insert(refused.req, at);
                self.note_refusals(before);
            }
        }
    }

    /// Handles the refusals that were recorded since `before`.
    fn note_refusals(&mut self, before: usize) {
        let refused: Vec<Refused> = self.pool.history()[before..]
            .iter()
            .filter_map(|entry| match &entry.event {
                Event::Refused(refused) => Some(refused.clone()),
                _ => None,
            })
            .collect();
        for refused in refused {
            let Some(at) = self.queued.remove(&refused.req) else {
                continue;
            };
            self.requests[at].refused = Some((self.now, refused.cause));
            let begun = self.requests[at].first.is_some();
            if self.retries_refused && !begun && self.requests[at].tries < RETURNS {
                let back = self.now + refused.retry_after.as_secs_f64();
                self.returning.insert(((back * 1e6) as u64, at), at);
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

    fn grant_all(&mut self, now: BootTime) {
        while let Some(grant) = self.pool.next_grant(now) {
            self.start(now, grant);
        }
    }

    fn start(&mut self, now: BootTime, grant: Grant) {
        let Some(at) = self.queued.remove(&grant.req) else {
            return;
        };
        let engine = grant.endpoint.trim_start_matches("engine-").parse().unwrap_or(0);
        let request = &self.requests[at];
        let job = Job {
            permit: grant.permit,
            prefix: request.prefix,
            prompt_left: request.prompt + request.shared + request.generated,
            prefix_tokens: request.shared,
            generated: request.generated,
            length: request.length,
            has_first_token: false,
        };
        if !self.engines[engine].start(self.now, job) {
            // Nothing ran, so the request goes to another engine.
            self.pool.settle(now, grant.permit, Ended::NotStarted);
            let resumed = self.requests[at].first.map(|_| self.now);
            self.offer(at, resumed, vec![grant.endpoint]);
            return;
        }
        self.running.insert(grant.permit, (at, engine));
    }

    fn preempt(&mut self, now: BootTime, permit: PermitId) {
        self.pool.settle(now, permit, Ended::Cancelled);
        let Some((at, engine)) = self.running.remove(&permit) else {
            return;
        };
        let generated = self.engines[engine].generated(permit);
        self.engines[engine].cancel(permit);
        self.requests[at].generated = generated.max(self.requests[at].generated);
        let resumed = if self.requests[at].first.is_some() {
            Some(self.now)
        } else {
            None
        };
        self.offer(at, resumed, Vec::new());
    }

    fn step_engines(&mut self) {
        for engine in 0..self.engines.len() {
            let steps = self.engines[engine].step(self.now, STEP_SECONDS);
            self.apply_steps(steps);
        }
    }

    fn apply_steps(&mut self, steps: Vec<Step>) {
        let now = boot(self.now);
        for step in steps {
            match step {
                Step::Token(permit, tokens) => self.first_token(now, permit, tokens),
                Step::Done(permit, tokens) => self.finish(now, permit, tokens),
                Step::Failed(permit) => {
                    self.pool.settle(now, permit, Ended::Failed);
                    self.running.remove(&permit);
                }
            }
        }
    }

    fn first_token(&mut self, now: BootTime, permit: PermitId, tokens: u32) {
        self.pool.progress(now, permit, tokens);
        let Some(&(at, _)) = self.running.get(&permit) else {
            return;
        };
        self.requests[at].first.get_or_insert(self.now);
        self.requests[at].generated = f64::from(tokens);
    }

    fn finish(&mut self, now: BootTime, permit: PermitId, tokens: u32) {
        self.pool.settle(now, permit, Ended::Whole { tokens });
        let Some((at, _)) = self.running.remove(&permit) else {
            return;
        };
        self.requests[at].finished = Some(self.now);
        self.requests[at].generated = f64::from(tokens);
    }

    /// Cancels the requests of callers that got no first token within their patience.
    fn cancel_impatient(&mut self) {
        let gone = |request: &Request, now: f64| {
            let target = self.mix.classes[request.class].target;
            request.first.is_none() && now > request.arrived + target * (PATIENCE + 1.0)
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

    /// Adds slot time and waiting classes to the current second of the peak.
    fn record_second(&mut self) {
        if !self.is_peak(self.now) {
            return;
        }
        let second = (self.now - CALM_SECONDS) as usize;
        let classes = self.mix.classes.len();
        if self.seconds.len() <= second {
            self.seconds.push(Second::new(classes));
        }
        let mut waits = vec![false; classes];
        self.queued
            .values()
            .for_each(|at| waits[self.requests[*at].class] = true);
        let second = &mut self.seconds[second];
        for (at, _) in self.running.values() {
            second.slot_seconds[self.requests[*at].class] += STEP_SECONDS;
        }
        for (class, waits) in waits.into_iter().enumerate() {
            second.waited[class] &= waits;
        }
    }

    fn outcome(self, load: f64) -> Outcome {
        let crashes: u32 = self.engines.iter().map(|engine| engine.crashes).sum();
        let broken = if self.checks {
            self.pool.violations()
        } else {
            Vec::new()
        };
        if let Some(first) = broken.first() {
            eprintln!("broken: {first:?}");
        }
        let lost = RESTART_SECONDS + self.mix.spec.cold_seconds;
        let engine_seconds = self.mix.engines as f64 * PEAK_SECONDS - lost;
        let peak = (CALM_SECONDS, CALM_SECONDS + PEAK_SECONDS);
        let mut outcome = Outcome::new(self.mix, &self.requests, &self.seconds, peak, engine_seconds);
        outcome.load = load;
        outcome.crashes = f64::from(crashes);
        outcome.broken = broken.len();
        (outcome.wave, outcome.wave_mean) = crate::mix::wave(&self.returns);
        outcome
    }
}

fn boot(seconds: f64) -> BootTime {
    BootTime::from_start(Duration::from_secs_f64(1000.0 + seconds))
}
