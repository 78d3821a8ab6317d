//! Applying a new plan. Queued requests and permits in flight survive it.

use celerytide_types::BootTime;

use super::Pool;
use crate::class::Class;
use crate::endpoint::Endpoint;
use crate::plan::{ClassPlan, CustomerPlan, EndpointPlan, PoolPlan, effective_share};

impl Pool {
    /// Applies a new plan. Endpoints that it no longer names keep their counts until their permits are settled.
    pub fn apply(&mut self, now: BootTime, plan: PoolPlan) {
        self.update_lags(now);
        self.apply_endpoints(now, plan.endpoints);
        self.is_planned = true;
        self.apply_classes(plan.classes);
        self.apply_customers(plan.customers);
        self.reservation = None;
    }

    fn apply_endpoints(&mut self, now: BootTime, plans: Vec<EndpointPlan>) {
        for idx in self.table.indices() {
            self.table.update(idx, |endpoint| endpoint.is_removed = true);
        }
        for plan in plans {
            match self.table.find(&plan.id) {
                Some(idx) => {
                    self.table.update(idx, |endpoint| endpoint.update_plan(plan));
                }
                None => self.insert_new(now, plan),
            }
        }
    }

    /// An endpoint that is added later has probably just started. Endpoints of the first plan may have run for a long
    /// time, which only their reports can tell.
    fn insert_new(&mut self, now: BootTime, plan: EndpointPlan) {
        let mut endpoint = Endpoint::new(now, plan, &self.opts);
        if self.is_planned {
            endpoint.cold_until = now.after(self.opts.cold_min);
        }
        self.table.insert(endpoint);
    }

    fn apply_classes(&mut self, plans: Vec<ClassPlan>) {
        for class in &mut self.classes {
            class.is_planned = false;
        }
        for plan in plans {
            match self.class_indices.get(&plan.name) {
                Some(&idx) => {
                    self.classes[idx].is_planned = true;
                    self.classes[idx].plan = plan;
                }
                None => {
                    self.class_indices.insert(plan.name.clone(), self.classes.len());
                    self.classes.push(Class::new(plan));
                }
            }
        }
        self.share_out();
    }

    fn share_out(&mut self) {
        let planned = self.classes.iter().filter(|class| class.is_planned);
        let sum: f64 = planned
            .map(|class| effective_share(class.plan.guaranteed_share, 1.0))
            .sum();
        for class in &mut self.classes {
            let share = if class.is_planned {
                class.plan.guaranteed_share
            } else {
                0.0
            };
            class.share = effective_share(share, sum);
        }
        self.classes_by_rank = (0..self.classes.len()).collect();
        self.classes_by_rank.sort_by_key(|&idx| self.classes[idx].rank());
    }

    fn apply_customers(&mut self, plans: Vec<CustomerPlan>) {
        let weighted = plans.into_iter().filter(|plan| plan.weight != 1);
        self.weights = weighted.map(|plan| (plan.id, plan.weight.max(1))).collect();
    }
}
