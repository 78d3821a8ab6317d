//! Permits in flight, from the grant to the settlement.

use celerytide_types::{BootTime, CustomerId, PermitId};

use super::Pool;
use crate::class::request_cost;
use crate::endpoint::Endpoint;
use crate::options::DeliberateFault;
use crate::quarantine::Content;
use crate::request::{Ended, PermitRequest};

/// An endpoint is slow if its time per token exceeds the pool's usual time by this factor.
const SLOW_FACTOR: f64 = 3.0;
/// Shortest response from which the time per token is computed, in tokens.
const SPEED_TOKENS_MIN: u32 = 8;

/// A permit in flight.
#[derive(Debug)]
pub(super) struct ActivePermit {
    pub endpoint: usize,
    /// `None` if the class of an adopted permit is unknown here.
    pub class: Option<usize>,
    pub customer: CustomerId,
    pub granted: BootTime,
    prompt_tokens: u32,
    max_tokens: Option<u32>,
    /// Number of cold starts of the endpoint at the grant; the response counts only for the same number.
    epoch: u64,
    /// Cost that its customer was charged.
    pub charged: u64,
    /// Whether it was granted because its class lacked its share.
    pub is_share_grant: bool,
    first_token: Option<BootTime>,
    tokens: u32,
    adopted: bool,
    pub orphaned: Option<Orphaned>,
    /// Whether preemption has requested its cancellation.
    pub preempted: bool,
    pub content: Option<Content>,
}

/// Loss of a permit's connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct Orphaned {
    pub lost_at: BootTime,
    /// Time of the endpoint's latest report at the loss.
    pub observed_unix_ms: Option<u64>,
}

impl ActivePermit {
    pub fn new(now: BootTime, endpoint: usize, req: PermitRequest, epoch: u64) -> ActivePermit {
        ActivePermit {
            endpoint,
            class: None,
            customer: req.customer,
            granted: now,
            prompt_tokens: req.prompt_tokens,
            max_tokens: req.max_tokens,
            epoch,
            charged: 0,
            is_share_grant: false,
            first_token: None,
            tokens: 0,
            adopted: false,
            orphaned: None,
            preempted: false,
            content: req.content,
        }
    }

    fn in_prefill(&self) -> bool {
        self.first_token.is_none() && !self.adopted
    }
}

impl Pool {
    /// Records the total number of response tokens so far. The first call marks the first token; lower totals are
    /// ignored.
    pub fn progress(&mut self, now: BootTime, permit: PermitId, tokens: u32) {
        let Some(active) = self.active_permits.get_mut(&permit) else {
            return;
        };
        let new = tokens.saturating_sub(active.tokens);
        active.tokens = active.tokens.max(tokens);
        let idx = active.endpoint;
        let is_first = active.in_prefill();
        if active.first_token.is_none() {
            active.first_token = Some(now);
        }
        let class = active.class;
        let (prompt_tokens, elapsed, epoch) = (active.prompt_tokens, now.since(active.granted), active.epoch);
        self.token_rate.add(now, new);
        if is_first {
            self.record_first_token_delay(class, elapsed);
        }
        let (jump, floor) = (self.opts.first_token_jump, self.opts.first_token_floor);
        let opts = &self.opts;
        self.table.update(idx, |endpoint| {
            endpoint.record_activity(now, opts);
            endpoint.failures = 0;
            if !is_first {
                return;
            }
            endpoint.prefill = endpoint.prefill.saturating_sub(u64::from(prompt_tokens));
            let jumped = endpoint
                .observations
                .record_first_token(prompt_tokens, elapsed, jump, floor);
            if jumped && epoch == endpoint.ramp.epoch() {
                endpoint.mark_cold(now, opts.cold_min);
            }
        });
    }

    /// Ends a permit and frees its slot. Unknown permits are ignored.
    pub fn settle(&mut self, now: BootTime, permit: PermitId, ended: Ended) {
        self.update_lags(now);
        let Some(active) = self.remove_permit(permit) else {
            return;
        };
        self.charge_for_share(now, &active);
        self.totals.settled += 1;
        let hold = now.since(active.granted);
        if !matches!(ended, Ended::NotStarted) && !active.adopted {
            self.drain.record_end(now, hold);
        }
        match ended {
            Ended::Whole { tokens } => {
                self.record_answered(&active);
                self.record_response(now, &active, tokens);
            }
            Ended::Failed | Ended::NotStarted => self.record_failure(now, active.endpoint),
            Ended::BrokeOff => {
                self.record_failure(now, active.endpoint);
                self.record_crash(now, &active);
            }
            Ended::Slow => {
                self.table.update(active.endpoint, Endpoint::record_slow);
            }
            Ended::Cancelled => {}
        }
        if !matches!(ended, Ended::Whole { .. }) {
            self.correct_charge(&active, request_cost(active.prompt_tokens, u64::from(active.tokens)));
        }
    }

    /// Records that the connection of the permit's holder was lost. The permit stays counted until a report shows that
    /// its work has ended, the endpoint restarts, or the permit reaches its greatest age.
    pub fn orphan(&mut self, now: BootTime, permit: PermitId) {
        let Some(active) = self.active_permits.get_mut(&permit) else {
            return;
        };
        if active.orphaned.is_some() {
            return;
        }
        let idx = active.endpoint;
        let observed_unix_ms = self
            .table
            .get(idx)
            .and_then(|endpoint| endpoint.observations.observed_unix_ms());
        active.orphaned = Some(Orphaned {
            lost_at: now,
            observed_unix_ms,
        });
        let expiry = active.granted.after(self.opts.orphan_max_age).max(now);
        let class = active.class;
        self.orphans.insert((expiry, permit));
        self.update_lags(now);
        self.uncount_held(class);
        self.unmark_resumable(permit);
        self.table.update(idx, |endpoint| endpoint.orphans += 1);
    }

    /// Counts work in flight that a previous owner granted, and returns its permit in this pool.
    pub fn adopt(&mut self, now: BootTime, endpoint: &str, class: &str, customer: &str) -> PermitId {
        let permit = self.next_permit;
        self.next_permit += 1;
        self.totals.adopted += 1;
        let idx = self
            .table
            .find(endpoint)
            .unwrap_or_else(|| self.insert_unplanned(now, endpoint));
        self.mark_cold_if_silent(now, idx);
        let lag = self.opts.report_lag;
        let epoch = self.table.update(idx, |row| {
            row.in_flight += 1;
            row.observations.record_in_flight(now, row.in_flight, lag);
            row.ramp.epoch()
        });
        let req = PermitRequest {
            request: String::new(),
            class: class.to_owned(),
            customer: customer.to_owned(),
            deadline: now,
            arrived: now,
            prompt_tokens: 0,
            max_tokens: None,
            prefix: Vec::new(),
            avoid: Vec::new(),
            content: None,
        };
        let mut active = ActivePermit::new(now, idx, req, epoch.unwrap_or(0));
        active.class = self.class_indices.get(class).copied();
        active.adopted = true;
        self.update_lags(now);
        self.activate(permit, active, false);
        permit
    }

    /// Removes a permit from all counts.
    pub(super) fn remove_permit(&mut self, permit: PermitId) -> Option<ActivePermit> {
        if self.opts.fault == Some(DeliberateFault::LeakInFlight) {
            self.totals.settled += u64::from(self.active_permits.contains_key(&permit));
            return None;
        }
        self.unmark_resumable(permit);
        let active = self.active_permits.remove(&permit)?;
        if let Some(class) = active.class {
            self.classes[class].in_flight -= 1;
        }
        if active.orphaned.is_none() {
            self.uncount_held(active.class);
        }
        self.preemptions_under_way -= usize::from(active.preempted);
        let prompt_tokens = if active.in_prefill() { active.prompt_tokens } else { 0 };
        let is_orphan = active.orphaned.is_some();
        if is_orphan {
            let expiry = active
                .orphaned
                .map(|orphan| active.granted.after(self.opts.orphan_max_age).max(orphan.lost_at));
            expiry.map(|expiry| self.orphans.remove(&(expiry, permit)));
        }
        self.table.update(active.endpoint, |endpoint| {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            endpoint.prefill = endpoint.prefill.saturating_sub(u64::from(prompt_tokens));
            endpoint.orphans -= u32::from(is_orphan);
        });
        Some(active)
    }

    /// Removes a permit from those that preemption may take.
    pub(super) fn unmark_resumable(&mut self, permit: PermitId) {
        let Some(active) = self.active_permits.get(&permit) else {
            return;
        };
        let (class, granted) = (active.class, active.granted);
        if let Some(class) = class {
            self.classes[class].resumable.remove(&(granted, permit));
        }
    }

    /// Releases orphaned permits past their greatest age.
    pub(super) fn release_orphans(&mut self, now: BootTime) {
        while let Some(&(expiry, permit)) = self.orphans.first() {
            if expiry > now {
                return;
            }
            self.orphans.pop_first();
            self.release(permit);
        }
    }

    pub(super) fn release(&mut self, permit: PermitId) {
        if self.remove_permit(permit).is_some() {
            self.totals.released += 1;
        }
    }

    fn record_response(&mut self, now: BootTime, active: &ActivePermit, tokens: u32) {
        if let Some(class) = active.class {
            self.classes[class].lengths.record(tokens);
        }
        self.token_rate.add(now, tokens.saturating_sub(active.tokens));
        self.correct_charge(active, request_cost(active.prompt_tokens, u64::from(tokens)));
        let seconds = self.seconds_per_token(now, active, tokens);
        let usual = self.seconds_per_token.value();
        let (epoch, opts) = (active.epoch, &self.opts);
        self.table.update(active.endpoint, |endpoint| {
            endpoint.record_activity(now, opts);
            endpoint.failures = 0;
            if let Some(seconds) = seconds {
                endpoint.observations.seconds_per_token.add(seconds);
            }
            let own = endpoint.observations.seconds_per_token.value();
            let is_slow = own.zip(usual).is_some_and(|(own, usual)| own > usual * SLOW_FACTOR);
            match is_slow {
                true => endpoint.record_slow(),
                false if now < endpoint.cold_until => {}
                false => endpoint.ramp.record_success(epoch),
            }
        });
        if let Some(seconds) = seconds {
            self.seconds_per_token.add(seconds);
        }
    }

    /// Time per token after the first one, or `None` if the response was too short.
    fn seconds_per_token(&self, now: BootTime, active: &ActivePermit, tokens: u32) -> Option<f64> {
        let first = active
            .first_token
            .filter(|_| !active.adopted && tokens >= SPEED_TOKENS_MIN)?;
        Some(now.since(first).as_secs_f64() / f64::from(tokens))
    }

    /// Records a failure of an endpoint: it turns cold and gets nothing until its backoff ends.
    fn record_failure(&mut self, now: BootTime, idx: usize) {
        let opts = &self.opts;
        let backoff = self.table.update(idx, |endpoint| endpoint.record_failure(now, opts));
        if let Some(backoff) = backoff.flatten() {
            self.backoffs.insert((now.after(backoff), idx));
        }
    }

    /// Ends the backoffs that are over.
    pub(super) fn end_backoffs(&mut self, now: BootTime) {
        while let Some(&(end, idx)) = self.backoffs.first() {
            if end > now {
                return;
            }
            self.backoffs.pop_first();
            self.table.update(idx, |endpoint| endpoint.in_backoff = false);
        }
    }

    /// Replaces the expected cost that a customer was charged by the actual cost.
    fn correct_charge(&mut self, active: &ActivePermit, cost: u64) {
        let Some(class) = active.class.filter(|_| active.charged > 0) else {
            return;
        };
        let weight = self.weight(&active.customer);
        let bound = active
            .max_tokens
            .map_or(cost, |max| cost.min(request_cost(active.prompt_tokens, u64::from(max))));
        self.classes[class]
            .queue
            .correct(&active.customer, weight, active.charged, bound.max(1));
    }
}
