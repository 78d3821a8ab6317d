//! Random histories that drive a pool through every kind of event.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_policy::check::{Recorder, Violation};
use celerytide_policy::{
    ClassPlan, CustomerPlan, Ended, EndpointPlan, LoadReport, Offer, Options, PermitRequest, PermitRequestId,
};
use celerytide_policy::{PoolPlan, Trust, WarmLimit};
use celerytide_types::{BootTime, PermitId};

use crate::common::at_ms;

/// Kinds of events that a history contains.
#[derive(Clone, Copy)]
pub struct Shape {
    pub steps: usize,
    /// Whether prompts are bounded and retries avoid endpoints.
    pub restricted: bool,
    /// Whether ownership, reports and the plan change.
    pub reconfigures: bool,
}

pub struct Driver<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    shape: Shape,
    now_ms: u64,
    pub recorder: Recorder,
    plan: PoolPlan,
    queued: Vec<PermitRequestId>,
    running: Vec<PermitId>,
    started_ms: u64,
}

/// Drives a random history and returns the violated rules.
pub fn violations(u: &mut Unstructured<'_>, opts: Options, shape: Shape) -> Result<Vec<Violation>> {
    let mut driver = Driver::new(u, opts, shape)?;
    for _ in 0..shape.steps {
        driver.step()?;
    }
    driver.finish();
    Ok(driver.recorder.violations())
}

impl<'a, 'b> Driver<'a, 'b> {
    pub fn new(u: &'a mut Unstructured<'b>, opts: Options, shape: Shape) -> Result<Self> {
        let mut driver = Driver {
            u,
            shape,
            now_ms: 0,
            recorder: Recorder::new(opts),
            plan: PoolPlan::default(),
            queued: Vec::new(),
            running: Vec::new(),
            started_ms: 1,
        };
        driver.plan = driver.draw_plan()?;
        driver.recorder.apply(at_ms(0), driver.plan.clone());
        Ok(driver)
    }

    fn draw_plan(&mut self) -> Result<PoolPlan> {
        let mut plan = PoolPlan::default();
        for index in 0..self.u.int_in_range(1..=5)? {
            plan.endpoints.push(self.draw_endpoint(index)?);
        }
        for index in 0..self.u.int_in_range(1..=5)? {
            plan.classes.push(self.draw_class(index)?);
        }
        let id = "c0".to_owned();
        plan.customers.push(CustomerPlan { id, weight: 3 });
        Ok(plan)
    }

    fn draw_endpoint(&mut self, index: u32) -> Result<EndpointPlan> {
        let slots = self.u.int_in_range(1..=6)?;
        let bound = if self.shape.restricted { 500 } else { 0 };
        Ok(EndpointPlan {
            id: format!("e{index}"),
            zone: "a".to_owned(),
            slots,
            cold_slots: self.u.int_in_range(1..=2)?,
            prefill_tokens: bound,
            resumes: self.u.ratio(3, 4)?,
            open: self.u.ratio(7, 8)?,
        })
    }

    fn draw_class(&mut self, index: u8) -> Result<ClassPlan> {
        let shares = [0.0, 0.05, 0.1, 0.2, 0.4];
        Ok(ClassPlan {
            name: format!("k{index}"),
            tier: self.u.int_in_range(1..=4)?,
            priority: self.u.int_in_range(0..=2)?,
            first_token: Duration::from_secs(1),
            guaranteed_share: *self.u.choose(&shares)?,
            preemptible: self.u.ratio(3, 4)?,
        })
    }

    pub fn step(&mut self) -> Result<()> {
        self.now_ms += self.u.int_in_range(0..=40)?;
        let now = at_ms(self.now_ms);
        match self.u.int_in_range(0..=19)? {
            0..=8 => self.offer(now)?,
            9..=13 => self.settle(now)?,
            14 => self.progress(now)?,
            15 => self.withdraw(now)?,
            16 => self.recorder.record_status(now),
            17 => self.preempt(now)?,
            18 if self.shape.reconfigures => self.reconfigure(now)?,
            _ => self.idle(now)?,
        }
        while let Some(grant) = self.recorder.next_grant(now) {
            self.running.push(grant.permit);
        }
        Ok(())
    }

    fn finish(&mut self) {
        let now = at_ms(self.now_ms);
        self.recorder.record_status(now);
        self.recorder.close(now);
    }

    fn offer(&mut self, now: BootTime) -> Result<()> {
        for _ in 0..self.u.int_in_range(1..=4)? {
            let req = self.draw_request()?;
            if let Offer::Queued(id) = self.recorder.offer(now, req) {
                self.queued.push(id);
            }
        }
        Ok(())
    }

    fn draw_request(&mut self) -> Result<PermitRequest> {
        let class = self.u.choose(&self.plan.classes)?.name.clone();
        let avoid = if self.shape.restricted && self.u.ratio(1, 4)? {
            vec![self.u.choose(&self.plan.endpoints)?.id.clone()]
        } else {
            Vec::new()
        };
        let wait = self.u.int_in_range(1..=3000)?;
        Ok(PermitRequest {
            request: String::new(),
            class,
            customer: format!("c{}", self.u.int_in_range(0..=3)?),
            deadline: at_ms(self.now_ms + wait),
            arrived: at_ms(self.now_ms),
            prompt_tokens: if self.shape.restricted {
                self.u.int_in_range(0..=800)?
            } else {
                0
            },
            max_tokens: None,
            prefix: vec![self.u.int_in_range(0..=3)?, self.u.int_in_range(4..=9)?],
            avoid,
            content: None,
        })
    }

    fn draw_permit(&mut self) -> Result<Option<usize>> {
        if self.running.is_empty() {
            return Ok(None);
        }
        Ok(Some(self.u.choose_index(self.running.len())?))
    }

    fn settle(&mut self, now: BootTime) -> Result<()> {
        let Some(at) = self.draw_permit()? else { return Ok(()) };
        let permit = self.running.swap_remove(at);
        let tokens = self.u.int_in_range(1..=500)?;
        let ended = match self.u.int_in_range(0..=19)? {
            0 => Ended::Failed,
            1 => Ended::NotStarted,
            2 => Ended::Slow,
            3 => Ended::Cancelled,
            _ => Ended::Whole { tokens },
        };
        self.recorder.settle(now, permit, ended);
        Ok(())
    }

    fn progress(&mut self, now: BootTime) -> Result<()> {
        let Some(at) = self.draw_permit()? else { return Ok(()) };
        let tokens = self.u.int_in_range(1..=50)?;
        self.recorder.progress(now, self.running[at], tokens);
        Ok(())
    }

    fn withdraw(&mut self, now: BootTime) -> Result<()> {
        if !self.queued.is_empty() {
            let at = self.u.choose_index(self.queued.len())?;
            let id = self.queued.swap_remove(at);
            self.recorder.withdraw(now, id);
        }
        Ok(())
    }

    fn preempt(&mut self, now: BootTime) -> Result<()> {
        let Some(permit) = self.recorder.preempt(now) else {
            return Ok(());
        };
        self.running.retain(|running| *running != permit);
        self.recorder.settle(now, permit, Ended::Cancelled);
        Ok(())
    }

    fn idle(&mut self, now: BootTime) -> Result<()> {
        if self.u.ratio(1, 30)? {
            self.now_ms += 70_000;
        }
        self.recorder.expire(now);
        Ok(())
    }

    fn reconfigure(&mut self, now: BootTime) -> Result<()> {
        match self.u.int_in_range(0..=6)? {
            6 => self.restore_warm_limit(now)?,
            0 => self.change_endpoint(now)?,
            1 => self.shrink_plan(now)?,
            2 => self.report(now)?,
            3 => self.change_trust(now)?,
            4 => self.adopt(now)?,
            _ => self.orphan(now)?,
        }
        Ok(())
    }

    fn change_endpoint(&mut self, now: BootTime) -> Result<()> {
        let at = self.u.choose_index(self.plan.endpoints.len())?;
        let resized = self.u.ratio(1, 3)?;
        let (slots, cold_slots) = (self.u.int_in_range(1..=6)?, self.u.int_in_range(1..=2)?);
        let endpoint = &mut self.plan.endpoints[at];
        if resized {
            (endpoint.slots, endpoint.cold_slots) = (slots, cold_slots);
        } else {
            endpoint.open = !endpoint.open;
        }
        self.recorder.apply(now, self.plan.clone());
        Ok(())
    }

    fn shrink_plan(&mut self, now: BootTime) -> Result<()> {
        let mut plan = self.plan.clone();
        if plan.endpoints.len() > 1 && self.u.arbitrary()? {
            plan.endpoints.pop();
        }
        if plan.classes.len() > 1 && self.u.arbitrary()? {
            plan.classes.pop();
        }
        self.recorder.apply(now, plan);
        Ok(())
    }

    fn report(&mut self, now: BootTime) -> Result<()> {
        if self.u.ratio(1, 4)? {
            self.started_ms += 1;
        }
        let load = LoadReport {
            running: self.u.int_in_range(0..=8)?,
            waiting: 0,
            slots: 8,
            started_unix_ms: self.started_ms,
            observed_unix_ms: self.now_ms + self.u.int_in_range(0..=100)?,
            cold: *self.u.choose(&[None, Some(true), Some(false)])?,
        };
        let endpoint = self.u.choose(&self.plan.endpoints)?.id.clone();
        self.recorder.report(now, &endpoint, load);
        Ok(())
    }

    fn change_trust(&mut self, now: BootTime) -> Result<()> {
        let trust = match self.u.int_in_range(0..=3)? {
            0 => Trust::Stale,
            1 => Trust::Taking { share: 0.5 },
            _ => Trust::Settled,
        };
        self.recorder.set_trust(now, trust);
        Ok(())
    }

    fn adopt(&mut self, now: BootTime) -> Result<()> {
        let endpoint = self.u.choose(&self.plan.endpoints)?.id.clone();
        let class = self.u.choose(&self.plan.classes)?.name.clone();
        let permit = self.recorder.adopt(now, &endpoint, &class, "c1");
        self.running.push(permit);
        Ok(())
    }

    fn restore_warm_limit(&mut self, now: BootTime) -> Result<()> {
        let warm_limit = WarmLimit {
            endpoint: self.u.choose(&self.plan.endpoints)?.id.clone(),
            limit: self.u.int_in_range(0..=8)?,
            started_unix_ms: *self.u.choose(&[None, Some(1), Some(2)])?,
        };
        self.recorder.restore_warm_limits(now, &[warm_limit]);
        Ok(())
    }

    fn orphan(&mut self, now: BootTime) -> Result<()> {
        let Some(at) = self.draw_permit()? else { return Ok(()) };
        let permit = self.running.swap_remove(at);
        self.recorder.orphan(now, permit);
        Ok(())
    }
}
