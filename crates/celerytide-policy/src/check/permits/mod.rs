//! Model of permits: how many are in flight, and which of them were preempted.

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
    /// Whether preemption may take it: granted here, connected, and not preempted yet.
    resumable: bool,
}

/// Replays permits.
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
                let class = queue.waiting(grant.req).map(|req| req.class.clone());
                self.add_permit(grant.permit, class.unwrap_or_default(), &grant.endpoint, true);
            }
            Event::Adopted(permit, endpoint, class) => {
                self.adopted += 1;
                self.add_permit(*permit, class.clone(), endpoint, false);
            }
            Event::Orphaned(permit) => self.unmark_resumable(*permit),
            Event::Settled(permit, _) => {
                let known = self.running.remove(permit).is_some();
                self.settled += u64::from(known);
            }
            Event::Preempted(permit, capacity) => self.on_preempted(entry.at, *permit, *capacity, queue, report),
            Event::StatusRead(status) => self.compare_counts(status, report),
            _ => {}
        }
    }

    fn add_permit(&mut self, permit: PermitId, class: ClassName, endpoint: &str, resumable: bool) {
        let running = Running {
            class,
            endpoint: endpoint.to_owned(),
            resumable,
        };
        self.running.insert(permit, running);
    }

    fn unmark_resumable(&mut self, permit: PermitId) {
        if let Some(running) = self.running.get_mut(&permit) {
            running.resumable = false;
        }
    }

    fn on_preempted(
        &mut self,
        now: BootTime,
        permit: PermitId,
        capacity: u64,
        queue: &queue::Model,
        report: &mut impl FnMut(Rule, String),
    ) {
        let mut report_violation = |detail: &str| report(Rule::Preemption, format!("permit {permit}: {detail}"));
        let Some(victim) = self.running.get(&permit).filter(|running| running.resumable) else {
            return report_violation("not resumable");
        };
        let Some((plan, _)) = queue.class(&victim.class) else {
            return report_violation("no class");
        };
        if !plan.preemptible {
            report_violation("its class may not be preempted");
        }
        if !queue.is_urgent_above(plan.tier, now.after(self.lead)) {
            report_violation("no urgent request of a higher tier waits");
        }
        if !self.is_beyond_share(&victim.class, capacity, queue) {
            report_violation("its class is within its share");
        }
        if self.has_lower_tier_on_same_endpoint(victim, plan.tier, capacity, queue) {
            report_violation("work of a lower tier beyond its share runs on the same endpoint");
        }
        self.unmark_resumable(permit);
    }

    fn is_beyond_share(&self, class: &str, capacity: u64, queue: &queue::Model) -> bool {
        let share = queue.class(class).map_or(0.0, |(_, share)| share);
        let running = self.running.values().filter(|running| running.class == class).count();
        running as f64 > share * capacity as f64
    }

    /// Whether work that should have been preempted first runs on the same endpoint.
    fn has_lower_tier_on_same_endpoint(&self, victim: &Running, tier: u8, capacity: u64, queue: &queue::Model) -> bool {
        let same_endpoint = self
            .running
            .values()
            .filter(|running| running.endpoint == victim.endpoint);
        let mut resumable = same_endpoint.filter(|running| running.resumable);
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

    fn compare_counts(&self, status: &PoolStatus, report: &mut impl FnMut(Rule, String)) {
        let mut compare = |name: &str, model: u64, pool: u64| {
            if model != pool {
                report(Rule::Counts, format!("{name}: counted {model}, the pool says {pool}"));
            }
        };
        let settled = status.settled + status.released;
        let by_endpoint: u64 = status.endpoints.iter().map(|row| u64::from(row.in_flight)).sum();
        compare("granted", self.granted, status.granted);
        compare("adopted", self.adopted, status.adopted);
        compare(
            "in flight",
            (status.granted + status.adopted).saturating_sub(settled),
            status.in_flight,
        );
        compare("on endpoints", status.in_flight, by_endpoint);
        if status.released == 0 {
            compare("settled", self.settled, status.settled);
            compare("running", self.running.len() as u64, status.in_flight);
            self.compare_endpoint_counts(status, &mut compare);
        }
    }

    fn compare_endpoint_counts(&self, status: &PoolStatus, compare: &mut impl FnMut(&str, u64, u64)) {
        for row in &status.endpoints {
            let running = self
                .running
                .values()
                .filter(|running| running.endpoint == row.id)
                .count();
            compare(&row.id, running as u64, u64::from(row.in_flight));
        }
    }
}
