//! Model of the queue: which requests wait, and which were granted, refused or withdrawn.

use std::collections::HashMap;

use celerytide_types::{BootTime, ClassName, EndpointId, Tier};

use super::{Entry, Event, Rule};
use crate::options::Options;
use crate::plan::{ClassPlan, PoolPlan, effective_share, reserved_places};
use crate::pool::grant_deadline::RESERVE_MAX;
use crate::request::{Grant, PermitRequest, PermitRequestId, Refusal, Refused};

#[derive(Debug)]
struct ClassModel {
    plan: ClassPlan,
    share: f64,
    queued: usize,
    /// Queued requests that avoid endpoints.
    avoiding: usize,
    /// Queued requests with a prompt.
    prompted: usize,
}

/// Replays the queue.
#[derive(Debug)]
pub(super) struct Model {
    rows: HashMap<ClassName, ClassModel>,
    waiting: HashMap<PermitRequestId, PermitRequest>,
    outcomes: HashMap<PermitRequestId, &'static str>,
    open: Vec<EndpointId>,
    bounds_prefill: bool,
    queue_capacity: usize,
    has_tiers: bool,
}

impl Model {
    pub fn new(opts: &Options) -> Model {
        Model {
            rows: HashMap::new(),
            waiting: HashMap::new(),
            outcomes: HashMap::new(),
            open: Vec::new(),
            bounds_prefill: false,
            queue_capacity: opts.max_queued.max(1),
            has_tiers: opts.baseline.is_none(),
        }
    }

    pub fn step(&mut self, entry: &Entry, report: &mut impl FnMut(Rule, String)) {
        match &entry.event {
            Event::Applied(plan) => self.apply(plan),
            Event::Offered(id, req) => self.on_offered(*id, req),
            Event::Granted(grant) => self.on_granted(entry.at, grant, report),
            Event::Refused(refused) => self.on_refused(refused, report),
            Event::Withdrawn(id) => self.on_withdrawn(*id),
            Event::Closed => self.on_closed(report),
            _ => {}
        }
    }

    /// Plan and effective share of a class.
    pub fn class(&self, name: &str) -> Option<(&ClassPlan, f64)> {
        self.rows.get(name).map(|row| (&row.plan, row.share))
    }

    /// Each class with its share and whether it has queued requests.
    pub fn shares(&self) -> impl Iterator<Item = (&ClassName, f64, bool)> {
        self.rows.iter().map(|(name, row)| (name, row.share, row.queued > 0))
    }

    /// Whether a class has queued requests that may not fit an endpoint with a free slot.
    pub fn has_restricted_requests(&self, name: &str) -> bool {
        let row = self.rows.get(name);
        row.is_some_and(|row| row.avoiding > 0 || (row.prompted > 0 && self.bounds_prefill))
    }

    /// Whether a request of a tier above `tier` waits whose deadline is at most `soon`.
    pub fn is_urgent_above(&self, tier: Tier, soon: BootTime) -> bool {
        let urgent = self.waiting.values().filter(|req| self.urgent_from(req) <= soon);
        let mut tiers = urgent.filter_map(|req| self.rows.get(&req.class));
        tiers.any(|row| row.plan.tier < tier)
    }

    /// Earliest time at which a request may be urgent: its deadline, or its latency target less the reserve for the
    /// first token.
    fn urgent_from(&self, req: &PermitRequest) -> BootTime {
        let target = self.rows.get(&req.class).map(|row| row.plan.first_token);
        let grant_by = target.map(|target| req.arrived.after(target.mul_f64(1.0 - RESERVE_MAX)));
        grant_by.map_or(req.deadline, |grant_by| grant_by.min(req.deadline))
    }

    /// Returns a request that waits.
    pub fn waiting(&self, id: PermitRequestId) -> Option<&PermitRequest> {
        self.waiting.get(&id)
    }

    fn apply(&mut self, plan: &PoolPlan) {
        let open = plan.endpoints.iter().filter(|endpoint| endpoint.open);
        self.open = open.map(|endpoint| endpoint.id.clone()).collect();
        self.bounds_prefill = plan.endpoints.iter().any(|endpoint| endpoint.prefill_tokens > 0);
        let shares = plan
            .classes
            .iter()
            .map(|class| effective_share(class.guaranteed_share, 1.0));
        let sum: f64 = shares.sum();
        for row in self.rows.values_mut() {
            row.share = 0.0;
        }
        for class in &plan.classes {
            let row = self.rows.entry(class.name.clone()).or_insert_with(|| ClassModel {
                plan: class.clone(),
                share: 0.0,
                queued: 0,
                avoiding: 0,
                prompted: 0,
            });
            row.plan = class.clone();
            row.share = effective_share(class.guaranteed_share, sum);
        }
    }

    fn on_offered(&mut self, id: PermitRequestId, req: &PermitRequest) {
        if let Some(row) = self.rows.get_mut(&req.class) {
            row.queued += 1;
            row.avoiding += usize::from(!req.avoid.is_empty());
            row.prompted += usize::from(req.prompt_tokens > 0);
        }
        self.waiting.insert(id, req.clone());
    }

    /// Removes a request that was granted, refused or withdrawn. A second outcome is an error, because each request
    /// gets exactly one.
    fn record_outcome(&mut self, id: PermitRequestId, how: &'static str) -> Result<PermitRequest, String> {
        let Some(req) = self.waiting.remove(&id) else {
            let before = self.outcomes.get(&id).copied().unwrap_or("never offered");
            return Err(format!("request {id}: {how} after {before}"));
        };
        self.outcomes.insert(id, how);
        if let Some(row) = self.rows.get_mut(&req.class) {
            row.queued -= 1;
            row.avoiding -= usize::from(!req.avoid.is_empty());
            row.prompted -= usize::from(req.prompt_tokens > 0);
        }
        Ok(req)
    }

    fn on_granted(&mut self, now: BootTime, grant: &Grant, report: &mut impl FnMut(Rule, String)) {
        let req = match self.record_outcome(grant.req, "granted") {
            Ok(req) => req,
            Err(detail) => return report(Rule::SingleAnswer, detail),
        };
        if req.deadline <= now {
            report(Rule::Deadline, format!("request {} was granted too late", grant.req));
        }
        let has_other = self.open.iter().any(|id| !req.avoid.contains(id));
        if req.avoid.contains(&grant.endpoint) && has_other && self.has_tiers {
            report(
                Rule::Avoid,
                format!("request {} was sent to {}", grant.req, grant.endpoint),
            );
        }
    }

    fn on_refused(&mut self, refused: &Refused, report: &mut impl FnMut(Rule, String)) {
        let cause = refused.cause;
        let sheds = matches!(
            cause,
            Refusal::QueueFull | Refusal::ShedForHigherTier | Refusal::Preempted
        );
        let class = self.waiting.get(&refused.req).map(|req| req.class.clone());
        let row = class.as_ref().and_then(|class| self.rows.get(class));
        if let Some(row) = row.filter(|_| sheds && self.has_tiers) {
            self.check_shed(row, cause, report);
        }
        if let Err(detail) = self.record_outcome(refused.req, cause.as_str()) {
            report(Rule::SingleAnswer, detail);
        }
    }

    fn check_shed(&self, shed: &ClassModel, cause: Refusal, report: &mut impl FnMut(Rule, String)) {
        let beyond = |row: &ClassModel| row.queued > reserved_places(row.share, self.queue_capacity);
        let lower = self
            .rows
            .values()
            .find(|row| row.plan.tier > shed.plan.tier && beyond(row));
        if let Some(lower) = lower {
            let detail = format!(
                "{} was shed ({}) while {} waited",
                shed.plan.name,
                cause.as_str(),
                lower.plan.name
            );
            report(Rule::ShedOrder, detail);
        }
        if !beyond(shed) {
            report(Rule::ShedOrder, format!("{} was shed within its share", shed.plan.name));
        }
    }

    fn on_withdrawn(&mut self, id: PermitRequestId) {
        // A withdrawal may cross a grant or a refusal; only the first of the two counts.
        let _ = self.record_outcome(id, "withdrawn");
    }

    fn on_closed(&self, report: &mut impl FnMut(Rule, String)) {
        for id in self.waiting.keys() {
            report(Rule::SingleAnswer, format!("request {id} has no answer"));
        }
    }
}
