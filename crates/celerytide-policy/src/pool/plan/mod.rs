//! Taking over a new plan. Queued work and work in flight survive it.

use celerytide_types::BootTime;

use super::Pool;
use crate::class::Class;
use crate::endpoint::Endpoint;
use crate::plan::{ClassPlan, CustomerPlan, EndpointPlan, PoolPlan, effective_share};

impl Pool {
    /// Takes over a new plan. Endpoints that it no longer names keep their counts until these are settled.
    pub fn apply(&mut self, now: BootTime, plan: PoolPlan) {
        self.accrue(now);
        self.apply_endpoints(now, plan.endpoints);
        self.is_planned = true;
        self.apply_classes(plan.classes);
        self.apply_customers(plan.customers);
        self.reserved = None;
    }

    fn apply_endpoints(&mut self, now: BootTime, plans: Vec<EndpointPlan>) {
        for at in self.table.indices() {
            self.table.update(at, |endpoint| endpoint.gone = true);
        }
        for plan in plans {
            match self.table.find(&plan.id) {
                Some(at) => {
                    self.table.update(at, |endpoint| endpoint.replan(plan));
                }
                None => self.insert_new(now, plan),
            }
        }
    }

    /// An endpoint that appears later has probably just started; those of the first plan may have run for long, and
    /// only their reports can tell.
    fn insert_new(&mut self, now: BootTime, plan: EndpointPlan) {
        let mut endpoint = Endpoint::new(now, plan, &self.opts);
        if self.is_planned {
            endpoint.cold_until = now.after(self.opts.cold_min);
        }
        self.table.insert(endpoint);
    }

    fn apply_classes(&mut self, plans: Vec<ClassPlan>) {
        for class in &mut self.classes {
            class.planned = false;
        }
        for plan in plans {
            match self.by_class.get(&plan.name) {
                Some(&at) => {
                    self.classes[at].planned = true;
                    self.classes[at].plan = plan;
                }
                None => {
                    self.by_class.insert(plan.name.clone(), self.classes.len());
                    self.classes.push(Class::new(plan));
                }
            }
        }
        self.share_out();
    }

    fn share_out(&mut self) {
        let planned = self.classes.iter().filter(|class| class.planned);
        let sum: f64 = planned
            .map(|class| effective_share(class.plan.guaranteed_share, 1.0))
            .sum();
        for class in &mut self.classes {
            let share = if class.planned {
                class.plan.guaranteed_share
            } else {
                0.0
            };
            class.share = effective_share(share, sum);
        }
        self.ranked = (0..self.classes.len()).collect();
        self.ranked.sort_by_key(|&at| self.classes[at].rank());
    }

    fn apply_customers(&mut self, plans: Vec<CustomerPlan>) {
        let weighted = plans.into_iter().filter(|plan| plan.weight != 1);
        self.weights = weighted.map(|plan| (plan.id, plan.weight.max(1))).collect();
    }
}
