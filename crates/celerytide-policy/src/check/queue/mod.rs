//! Model of the queue: who waits, and who was answered.

use std::collections::HashMap;

use celerytide_types::{BootTime, ClassName, EndpointId, Tier};

use super::{Entry, Event, Rule};
use crate::ask::{Ask, AskId, Grant, Refusal, Refused};
use crate::options::Options;
use crate::plan::{ClassPlan, PoolPlan, effective_share, reserved_seats};
use crate::pool::goal::RESERVE_MAX;

#[derive(Debug)]
struct Row {
    plan: ClassPlan,
    share: f64,
    queued: usize,
    /// Queued asks that avoid endpoints.
    avoiding: usize,
    /// Queued asks with a prompt.
    prompted: usize,
}

/// The queue, replayed.
#[derive(Debug)]
pub(super) struct Model {
    rows: HashMap<ClassName, Row>,
    waiting: HashMap<AskId, Ask>,
    answered: HashMap<AskId, &'static str>,
    open: Vec<EndpointId>,
    bounds_prefill: bool,
    seats: usize,
    tiered: bool,
}

impl Model {
    pub fn new(opts: &Options) -> Model {
        Model {
            rows: HashMap::new(),
            waiting: HashMap::new(),
            answered: HashMap::new(),
            open: Vec::new(),
            bounds_prefill: false,
            seats: opts.max_queued.max(1),
            tiered: opts.baseline.is_none(),
        }
    }

    pub fn step(&mut self, entry: &Entry, report: &mut impl FnMut(Rule, String)) {
        match &entry.event {
            Event::Applied(plan) => self.apply(plan),
            Event::Offered(id, ask) => self.offered(*id, ask),
            Event::Granted(grant) => self.granted(entry.at, grant, report),
            Event::Refused(refused) => self.refused(refused, report),
            Event::Withdrawn(id) => self.withdrawn(*id),
            Event::Closed => self.closed(report),
            _ => {}
        }
    }

    /// Tier and share of a class.
    pub fn class(&self, name: &str) -> Option<(&ClassPlan, f64)> {
        self.rows.get(name).map(|row| (&row.plan, row.share))
    }

    /// Each class with its share and whether it waits.
    pub fn shares(&self) -> impl Iterator<Item = (&ClassName, f64, bool)> {
        self.rows.iter().map(|(name, row)| (name, row.share, row.queued > 0))
    }

    /// Whether a class holds asks that an endpoint with room may still not fit.
    pub fn is_choosy(&self, name: &str) -> bool {
        let row = self.rows.get(name);
        row.is_some_and(|row| row.avoiding > 0 || (row.prompted > 0 && self.bounds_prefill))
    }

    /// Whether an ask of a tier above `tier` with a deadline by `soon` waits.
    pub fn is_urgent_above(&self, tier: Tier, soon: BootTime) -> bool {
        let urgent = self.waiting.values().filter(|ask| self.urgent_from(ask) <= soon);
        let mut tiers = urgent.filter_map(|ask| self.rows.get(&ask.class));
        tiers.any(|row| row.plan.tier < tier)
    }

    /// When an ask may be urgent at the earliest: its deadline, or its target less what is kept for the first token.
    fn urgent_from(&self, ask: &Ask) -> BootTime {
        let target = self.rows.get(&ask.class).map(|row| row.plan.first_token);
        let goal = target.map(|target| ask.arrived.after(target.mul_f64(1.0 - RESERVE_MAX)));
        goal.map_or(ask.deadline, |goal| goal.min(ask.deadline))
    }

    /// An ask that waits.
    pub fn waiting(&self, id: AskId) -> Option<&Ask> {
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
            let row = self.rows.entry(class.name.clone()).or_insert_with(|| Row {
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

    fn offered(&mut self, id: AskId, ask: &Ask) {
        if let Some(row) = self.rows.get_mut(&ask.class) {
            row.queued += 1;
            row.avoiding += usize::from(!ask.avoid.is_empty());
            row.prompted += usize::from(ask.prompt_tokens > 0);
        }
        self.waiting.insert(id, ask.clone());
    }

    /// Takes an ask out of the queue; a second answer breaks the rule.
    fn answer(&mut self, id: AskId, how: &'static str) -> Result<Ask, String> {
        let Some(ask) = self.waiting.remove(&id) else {
            let before = self.answered.get(&id).copied().unwrap_or("never offered");
            return Err(format!("ask {id}: {how} after {before}"));
        };
        self.answered.insert(id, how);
        if let Some(row) = self.rows.get_mut(&ask.class) {
            row.queued -= 1;
            row.avoiding -= usize::from(!ask.avoid.is_empty());
            row.prompted -= usize::from(ask.prompt_tokens > 0);
        }
        Ok(ask)
    }

    fn granted(&mut self, now: BootTime, grant: &Grant, report: &mut impl FnMut(Rule, String)) {
        let ask = match self.answer(grant.ask, "granted") {
            Ok(ask) => ask,
            Err(what) => return report(Rule::OneAnswer, what),
        };
        if ask.deadline <= now {
            report(Rule::Deadline, format!("ask {} was granted too late", grant.ask));
        }
        let has_other = self.open.iter().any(|id| !ask.avoid.contains(id));
        if ask.avoid.contains(&grant.endpoint) && has_other && self.tiered {
            report(Rule::Avoid, format!("ask {} was sent to {}", grant.ask, grant.endpoint));
        }
    }

    fn refused(&mut self, refused: &Refused, report: &mut impl FnMut(Rule, String)) {
        let why = refused.why;
        let sheds = matches!(
            why,
            Refusal::QueueFull | Refusal::ShedForHigherTier | Refusal::Preempted
        );
        let class = self.waiting.get(&refused.ask).map(|ask| ask.class.clone());
        let row = class.as_ref().and_then(|class| self.rows.get(class));
        if let Some(row) = row.filter(|_| sheds && self.tiered) {
            self.check_shed(row, why, report);
        }
        if let Err(what) = self.answer(refused.ask, why.as_str()) {
            report(Rule::OneAnswer, what);
        }
    }

    fn check_shed(&self, shed: &Row, why: Refusal, report: &mut impl FnMut(Rule, String)) {
        let beyond = |row: &Row| row.queued > reserved_seats(row.share, self.seats);
        let lower = self
            .rows
            .values()
            .find(|row| row.plan.tier > shed.plan.tier && beyond(row));
        if let Some(lower) = lower {
            let what = format!(
                "{} was shed ({}) while {} waited",
                shed.plan.name,
                why.as_str(),
                lower.plan.name
            );
            report(Rule::ShedOrder, what);
        }
        if !beyond(shed) {
            report(Rule::ShedOrder, format!("{} was shed within its share", shed.plan.name));
        }
    }

    fn withdrawn(&mut self, id: AskId) {
        // A withdrawal may cross the answer on its way; only the first of the two counts.
        let _ = self.answer(id, "withdrawn");
    }

    fn closed(&self, report: &mut impl FnMut(Rule, String)) {
        for id in self.waiting.keys() {
            report(Rule::OneAnswer, format!("ask {id} has no answer"));
        }
    }
}
