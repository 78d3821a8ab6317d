//! Model of permits: how many are in flight, and which of them preemption took.

use std::collections::HashMap;

use celerytide_types::{BootTime, ClassName, EndpointId, PermitId};

use super::queue;
use super::{Entry, Event, Rule};
use crate::options::Options;
use crate::status::PoolStatus;

#[derive(Debug)]
struct Running {
    class: ClassName,
    endpoint: EndpointId,
    /// Whether preemption may take it: granted here, connected, and not yet taken.
    resumable: bool,
}

/// Permits, replayed.
#[derive(Debug)]
pub(super) struct Model {
    running: HashMap<PermitId, Running>,
    granted: u64,
    adopted: u64,
    settled: u64,
    lead: std::time::Duration,
}

impl Model {
    pub fn new(opts: &Options) -> Model {
        Model {
            running: HashMap::new(),
            granted: 0,
            adopted: 0,
            settled: 0,
            lead: opts.preempt_lead,
        }
    }

    pub fn step(&mut self, entry: &Entry, queue: &queue::Model, report: &mut impl FnMut(Rule, String)) {
        match &entry.event {
            Event::Granted(grant) => {
                self.granted += 1;
                let class = queue.waiting(grant.ask).map(|ask| ask.class.clone());
                self.run(grant.permit, class.unwrap_or_default(), &grant.endpoint, true);
            }
            Event::Adopted(permit, endpoint, class) => {
                self.adopted += 1;
                self.run(*permit, class.clone(), endpoint, false);
            }
            Event::Orphaned(permit) => self.unlist(*permit),
            Event::Settled(permit, _) => {
                let known = self.running.remove(permit).is_some();
                self.settled += u64::from(known);
            }
            Event::Preempted(permit, capacity) => self.preempted(entry.at, *permit, *capacity, queue, report),
            Event::Counted(status) => self.counted(status, report),
            _ => {}
        }
    }

    fn run(&mut self, permit: PermitId, class: ClassName, endpoint: &str, resumable: bool) {
        let running = Running {
            class,
            endpoint: endpoint.to_owned(),
            resumable,
        };
        self.running.insert(permit, running);
    }

    fn unlist(&mut self, permit: PermitId) {
        if let Some(running) = self.running.get_mut(&permit) {
            running.resumable = false;
        }
    }

    fn preempted(
        &mut self,
        now: BootTime,
        permit: PermitId,
        capacity: u64,
        queue: &queue::Model,
        report: &mut impl FnMut(Rule, String),
    ) {
        let mut complain = |what: &str| report(Rule::Preemption, format!("permit {permit}: {what}"));
        let Some(victim) = self.running.get(&permit).filter(|running| running.resumable) else {
            return complain("not resumable");
        };
        let Some((plan, _)) = queue.class(&victim.class) else {
            return complain("no class");
        };
        if !plan.preemptible {
            complain("its class may not be preempted");
        }
        if !queue.is_urgent_above(plan.tier, now.after(self.lead)) {
            complain("no urgent ask of a higher tier waits");
        }
        if !self.is_beyond_share(&victim.class, capacity, queue) {
            complain("its class is within its share");
        }
        if self.has_lower_beside(victim, plan.tier, capacity, queue) {
            complain("lower work beyond its share runs beside it");
        }
        self.unlist(permit);
    }

    fn is_beyond_share(&self, class: &str, capacity: u64, queue: &queue::Model) -> bool {
        let share = queue.class(class).map_or(0.0, |(_, share)| share);
        let running = self.running.values().filter(|running| running.class == class).count();
        running as f64 > share * capacity as f64
    }

    /// Whether work that should have gone first runs on the same endpoint.
    fn has_lower_beside(&self, victim: &Running, tier: u8, capacity: u64, queue: &queue::Model) -> bool {
        let beside = self
            .running
            .values()
            .filter(|running| running.endpoint == victim.endpoint);
        let mut resumable = beside.filter(|running| running.resumable);
        resumable.any(|running| {
            let Some((plan, share)) = queue.class(&running.class) else {
                return false;
            };
            let count = self
                .running
                .values()
                .filter(|other| other.class == running.class)
                .count();
            let beyond = count as f64 > share * capacity as f64 + 1.0;
            plan.preemptible && plan.tier > tier && beyond
        })
    }

    fn counted(&self, status: &PoolStatus, report: &mut impl FnMut(Rule, String)) {
        let mut differ = |what: &str, model: u64, pool: u64| {
            if model != pool {
                report(Rule::Counts, format!("{what}: counted {model}, the pool says {pool}"));
            }
        };
        let settled = status.settled + status.released;
        let by_endpoint: u64 = status.endpoints.iter().map(|row| u64::from(row.in_flight)).sum();
        differ("granted", self.granted, status.granted);
        differ("adopted", self.adopted, status.adopted);
        differ(
            "in flight",
            (status.granted + status.adopted).saturating_sub(settled),
            status.in_flight,
        );
        differ("on endpoints", status.in_flight, by_endpoint);
        if status.released == 0 {
            differ("settled", self.settled, status.settled);
            differ("running", self.running.len() as u64, status.in_flight);
            self.count_endpoints(status, &mut differ);
        }
    }

    fn count_endpoints(&self, status: &PoolStatus, differ: &mut impl FnMut(&str, u64, u64)) {
        for row in &status.endpoints {
            let running = self
                .running
                .values()
                .filter(|running| running.endpoint == row.id)
                .count();
            differ(&row.id, running as u64, u64::from(row.in_flight));
        }
    }
}
