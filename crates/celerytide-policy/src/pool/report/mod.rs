//! Load reports, and signs that are found by looking from time to time.

use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, PermitId};

use super::Pool;
use crate::ask::{LoadReport, Warmth};
use crate::endpoint::Endpoint;
use crate::endpoint::sign::Shown;
use crate::options::Options;
use crate::plan::EndpointPlan;
use crate::status::EndpointState;

impl Pool {
    /// Takes a load report in. Reports lag, so they only lower trust: a changed start time or a cold endpoint's own
    /// word makes it cold, work that this pool didn't send takes from its limit, and orphans that it no longer shows
    /// are released. Reports older than one already seen are ignored.
    pub fn report(&mut self, now: BootTime, endpoint: &str, load: LoadReport) {
        let Some(at) = self.table.find(endpoint) else { return };
        let opts = &self.opts;
        let shown = self.table.update(at, |row| {
            let shown = row.signs.report(now, &load);
            row.heed(now, opts, shown);
            row.heed_age(now, opts, &load);
            shown
        });
        match shown {
            Some(Shown::Restarted) => self.release_all_orphans(at),
            Some(Shown::Usual | Shown::Cold) => self.release_shown(at, &load),
            _ => {}
        }
    }

    /// What warm endpoints bear, for the next owner of the pool.
    pub fn warmth(&self) -> Vec<Warmth> {
        let warm = self.table.iter().filter(|row| row.state() == EndpointState::Warm);
        let warmth = warm.map(|row| Warmth {
            endpoint: row.plan.id.clone(),
            limit: row.ramp.limit(),
            started_unix_ms: row.signs.started_unix_ms(),
        });
        warmth.collect()
    }

    /// Takes over what the former owner knew at a planned change of owners. It counts only for endpoints of which
    /// nothing else was seen here: a failure, a cold start, or another start time goes before it. Returns the
    /// endpoints for which it counts.
    pub fn take_over(&mut self, warmth: &[Warmth]) -> Vec<EndpointId> {
        let mut taken = Vec::new();
        for known in warmth {
            let Some(at) = self.table.find(&known.endpoint) else {
                continue;
            };
            if self.table.update(at, |row| row.take_over(known)) == Some(true) {
                taken.push(known.endpoint.clone());
            }
        }
        taken
    }

    /// Marks endpoints cold that were silent too long, and forgets those that are gone.
    pub(super) fn sweep(&mut self, now: BootTime) {
        let lag = self.opts.report_lag;
        for at in self.table.indices() {
            self.chill_if_silent(now, at);
            self.table.update(at, |row| row.signs.forget_report(now, lag));
            let silence = self.opts.silence;
            let row = self.table.get(at);
            if row.is_some_and(|row| row.gone && row.in_flight == 0 && now.since(row.last_sign) > silence) {
                self.table.remove(at);
                self.pauses.retain(|&(_, paused)| paused != at);
            }
        }
    }

    /// Marks an endpoint cold that was silent too long, also one that was cold before: what it showed until then no
    /// longer counts. Says whether it did.
    pub(super) fn chill_if_silent(&mut self, now: BootTime, at: usize) -> bool {
        let silence = self.opts.silence;
        let silent = |row: &Endpoint| now.since(row.last_sign) > silence;
        let least = self.opts.cold_min;
        let is_silent = self.table.get(at).is_some_and(silent);
        if is_silent {
            self.table.update(at, |row| {
                row.chill(now, least);
                row.last_sign = now;
            });
        }
        is_silent
    }

    /// A row for an endpoint that no plan names, so that its work can be counted.
    pub(super) fn insert_gone(&mut self, now: BootTime, id: &str) -> usize {
        let plan = EndpointPlan {
            id: id.to_owned(),
            zone: String::new(),
            slots: 1,
            cold_slots: 1,
            prefill_tokens: 0,
            resumes: false,
            open: false,
        };
        let mut endpoint = Endpoint::new(now, plan, &self.opts);
        endpoint.gone = true;
        self.table.insert(endpoint)
    }

    fn release_all_orphans(&mut self, at: usize) {
        for permit in self.orphans_of(at) {
            self.release(permit);
        }
    }

    /// Releases orphans that a report made long enough after their loss no longer shows.
    fn release_shown(&mut self, at: usize, load: &LoadReport) {
        let shown = load.running.saturating_add(load.waiting);
        let counted = self.table.get(at).map_or(0, |row| row.in_flight);
        let missing = counted.saturating_sub(shown) as usize;
        let lag_ms = self.opts.report_lag_ms();
        let proven = |permit: &PermitId| {
            let orphaned = self.flights.get(permit).and_then(|flight| flight.orphaned);
            let before = orphaned.and_then(|orphan| orphan.observed_unix_ms);
            before.is_some_and(|before| load.observed_unix_ms >= before.saturating_add(lag_ms))
        };
        let gone: Vec<PermitId> = self.orphans_of(at).into_iter().filter(proven).take(missing).collect();
        for permit in gone {
            self.release(permit);
        }
    }

    fn orphans_of(&self, at: usize) -> Vec<PermitId> {
        if self.table.get(at).is_none_or(|row| row.orphans == 0) {
            return Vec::new();
        }
        let orphans = self.orphans.iter().map(|&(_, permit)| permit);
        let here = |permit: &PermitId| self.flights.get(permit).is_some_and(|flight| flight.endpoint == at);
        orphans.filter(here).collect()
    }
}

impl Endpoint {
    fn heed(&mut self, now: BootTime, opts: &Options, shown: Shown) {
        if shown == Shown::Stale {
            return;
        }
        self.sign(now, opts);
        if shown != Shown::Usual {
            // Also if it is cold already: what it bore before it said so tells nothing about now.
            self.chill(now, opts.cold_min);
        }
        if let Some(observed_unix_ms) = self.signs.observed_unix_ms() {
            self.witness(observed_unix_ms, opts.report_lag_ms());
        }
    }

    /// A cold start lasts its least time from the endpoint's own start, as far as its clock tells.
    fn heed_age(&mut self, now: BootTime, opts: &Options, load: &LoadReport) {
        let age = Duration::from_millis(load.observed_unix_ms.saturating_sub(load.started_unix_ms));
        let left = opts.cold_min.saturating_sub(age);
        if self.ramp.is_cold() {
            self.cold_until = self.cold_until.max(now.after(left));
        }
    }
}
