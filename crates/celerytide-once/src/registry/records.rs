//! The state of each ticket of a registry.

use std::collections::HashMap;

use celerytide_types::BootTime;

use super::responses::ResponseStore;
use super::{IssueError, LookupResult, Outcome, RegistryOptions, RegistrySizes};
use crate::copies::OutcomeCopy;
use crate::ticket::{IssuerId, Ticket};

/// Result of [`TicketRecords::begin`].
pub(super) enum BeginStep {
    Run,
    Running,
    Finished(Outcome),
    Expired,
    Unknown,
    OtherRequest,
}

#[derive(Debug)]
enum TicketState {
    Unused {
        until: BootTime,
    },
    Running {
        fingerprint: u64,
    },
    Finished {
        fingerprint: u64,
        outcome: Outcome,
        until: BootTime,
    },
}

/// All tickets that this incarnation has issued and not yet dropped.
#[derive(Debug)]
pub(super) struct TicketRecords {
    opts: RegistryOptions,
    tickets: HashMap<u128, TicketState>,
    responses: ResponseStore,
    latest: BootTime,
    closed: bool,
}

impl TicketRecords {
    pub(super) fn new(opts: RegistryOptions) -> TicketRecords {
        let tickets = HashMap::new();
        TicketRecords {
            opts,
            tickets,
            responses: ResponseStore::default(),
            latest: BootTime::default(),
            closed: false,
        }
    }

    pub(super) fn issue(&mut self, now: BootTime, nonce: u128) -> Result<(), IssueError> {
        if self.closed {
            return Err(IssueError::Closed);
        }
        if self.tickets.len() >= self.opts.max_tickets {
            self.sweep(now);
        }
        let held = self.tickets.len();
        if held >= self.opts.max_tickets {
            return Err(IssueError::Full { held });
        }
        let until = now.after(self.opts.unused_ttl);
        self.tickets.insert(nonce, TicketState::Unused { until });
        Ok(())
    }

    pub(super) fn begin(&mut self, nonce: u128, now: BootTime, fingerprint: u64) -> BeginStep {
        self.advance_clock(now);
        let (closed, latest) = (self.closed, self.latest);
        let Some(state) = self.tickets.get_mut(&nonce) else {
            return BeginStep::Unknown;
        };
        match state {
            TicketState::Unused { until } if closed || latest > *until => BeginStep::Expired,
            TicketState::Unused { .. } => {
                *state = TicketState::Running { fingerprint };
                BeginStep::Run
            }
            TicketState::Running { fingerprint: used } if *used != fingerprint => BeginStep::OtherRequest,
            TicketState::Running { .. } => BeginStep::Running,
            TicketState::Finished { fingerprint: used, .. } if *used != fingerprint => BeginStep::OtherRequest,
            TicketState::Finished { outcome, .. } => {
                BeginStep::Finished(with_response(outcome, nonce, &self.responses))
            }
        }
    }

    pub(super) fn finish(&mut self, now: BootTime, nonce: u128, mut outcome: Outcome) {
        self.advance_clock(now);
        let Some(state) = self.tickets.get_mut(&nonce) else {
            return;
        };
        let TicketState::Running { fingerprint } = *state else {
            return;
        };
        if let Some(response) = outcome.response.take() {
            self.responses.put(nonce, response, self.opts.max_response_bytes);
        }
        let until = self.latest.after(self.opts.outcome_ttl);
        *state = TicketState::Finished {
            fingerprint,
            outcome,
            until,
        };
    }

    pub(super) fn finish_dropped(&mut self, nonce: u128, outcome: Outcome) {
        self.finish(self.latest, nonce, outcome);
    }

    pub(super) fn look_up(&mut self, nonce: u128, now: BootTime) -> LookupResult {
        self.advance_clock(now);
        match self.tickets.get(&nonce) {
            None => LookupResult::Finished(Outcome::unknown("ticket-not-held")),
            Some(TicketState::Unused { .. }) if self.closed => LookupResult::Finished(Outcome::not_run("home-closed")),
            Some(TicketState::Unused { until }) if self.latest > *until => {
                LookupResult::Finished(Outcome::not_run("ticket-expired"))
            }
            Some(TicketState::Unused { .. }) => LookupResult::Unused,
            Some(TicketState::Running { .. }) => LookupResult::Running,
            Some(TicketState::Finished { outcome, .. }) => {
                LookupResult::Finished(with_response(outcome, nonce, &self.responses))
            }
        }
    }

    pub(super) fn close_and_export(&mut self, now: BootTime, issuer: &IssuerId) -> Vec<OutcomeCopy> {
        self.closed = true;
        self.advance_clock(now);
        let nonces: Vec<u128> = self.tickets.keys().copied().collect();
        let copy = |nonce: u128| {
            let ticket = Ticket {
                issuer: issuer.clone(),
                nonce,
            }
            .id();
            let fingerprint = self.fingerprint(nonce);
            let outcome = self.outcome_at_close(nonce);
            OutcomeCopy {
                ticket,
                fingerprint,
                outcome,
            }
        };
        nonces.into_iter().map(copy).collect()
    }

    /// Drops expired outcomes, and unused tickets after twice their lifetime, so that a request with an expired ticket
    /// is still told so.
    pub(super) fn sweep(&mut self, now: BootTime) {
        self.advance_clock(now);
        let grace = self.opts.unused_ttl;
        let responses = &mut self.responses;
        self.tickets.retain(|nonce, state| {
            let keep = match state {
                TicketState::Unused { until } => now <= until.after(grace),
                TicketState::Running { .. } => true,
                TicketState::Finished { until, .. } => now <= *until,
            };
            if !keep {
                responses.remove(*nonce);
            }
            keep
        });
    }

    pub(super) fn sizes(&self) -> RegistrySizes {
        let running = |s: &&TicketState| matches!(s, TicketState::Running { .. });
        let running = self.tickets.values().filter(running).count();
        RegistrySizes {
            tickets: self.tickets.len(),
            running,
            response_bytes: self.responses.bytes(),
        }
    }

    fn advance_clock(&mut self, now: BootTime) {
        self.latest = self.latest.max(now);
    }

    fn fingerprint(&self, nonce: u128) -> Option<u64> {
        match self.tickets.get(&nonce) {
            Some(TicketState::Running { fingerprint } | TicketState::Finished { fingerprint, .. }) => {
                Some(*fingerprint)
            }
            Some(TicketState::Unused { .. }) | None => None,
        }
    }

    fn outcome_at_close(&self, nonce: u128) -> Outcome {
        match self.tickets.get(&nonce) {
            Some(TicketState::Finished { outcome, .. }) => with_response(outcome, nonce, &self.responses),
            Some(TicketState::Unused { .. }) => Outcome::not_run("home-closed"),
            Some(TicketState::Running { .. }) | None => Outcome::unknown("home-closed"),
        }
    }
}

fn with_response(outcome: &Outcome, nonce: u128, responses: &ResponseStore) -> Outcome {
    Outcome {
        request: outcome.request.clone(),
        response: responses.get(nonce),
    }
}
