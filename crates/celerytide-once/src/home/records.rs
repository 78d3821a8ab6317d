//! The state of each ticket of a home.

use std::collections::HashMap;

use celerytide_types::BootTime;

use super::answers::AnswerStore;
use super::{HomeOptions, HomeSizes, IssueError, LookupResult, Outcome};
use crate::copies::OutcomeCopy;
use crate::ticket::{HomeId, Ticket};

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
    opts: HomeOptions,
    tickets: HashMap<u128, TicketState>,
    answers: AnswerStore,
    latest: BootTime,
    closed: bool,
}

impl TicketRecords {
    pub(super) fn new(opts: HomeOptions) -> TicketRecords {
        let tickets = HashMap::new();
        TicketRecords {
            opts,
            tickets,
            answers: AnswerStore::default(),
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
        let until = now.after(self.opts.unused_for);
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
            TicketState::Finished { outcome, .. } => BeginStep::Finished(with_answer(outcome, nonce, &self.answers)),
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
        if let Some(answer) = outcome.answer.take() {
            self.answers.put(nonce, answer, self.opts.max_answer_bytes);
        }
        let until = self.latest.after(self.opts.outcome_for);
        *state = TicketState::Finished {
            fingerprint,
            outcome,
            until,
        };
    }

    pub(super) fn finish_dropped(&mut self, nonce: u128, outcome: Outcome) {
        self.finish(self.latest, nonce, outcome);
    }

    pub(super) fn look(&mut self, nonce: u128, now: BootTime) -> LookupResult {
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
                LookupResult::Finished(with_answer(outcome, nonce, &self.answers))
            }
        }
    }

    pub(super) fn export(&mut self, now: BootTime, home: &HomeId) -> Vec<OutcomeCopy> {
        self.closed = true;
        self.advance_clock(now);
        let nonces: Vec<u128> = self.tickets.keys().copied().collect();
        let copy = |nonce: u128| {
            let ticket = Ticket {
                home: home.clone(),
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

    /// Drops unused tickets after twice their lifetime, so that expired ones still get an answer, and expired outcomes.
    pub(super) fn sweep(&mut self, now: BootTime) {
        self.advance_clock(now);
        let grace = self.opts.unused_for;
        let answers = &mut self.answers;
        self.tickets.retain(|nonce, state| {
            let keep = match state {
                TicketState::Unused { until } => now <= until.after(grace),
                TicketState::Running { .. } => true,
                TicketState::Finished { until, .. } => now <= *until,
            };
            if !keep {
                answers.remove(*nonce);
            }
            keep
        });
    }

    pub(super) fn sizes(&self) -> HomeSizes {
        let running = |s: &&TicketState| matches!(s, TicketState::Running { .. });
        let running = self.tickets.values().filter(running).count();
        HomeSizes {
            tickets: self.tickets.len(),
            running,
            answer_bytes: self.answers.bytes(),
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
            Some(TicketState::Finished { outcome, .. }) => with_answer(outcome, nonce, &self.answers),
            Some(TicketState::Unused { .. }) => Outcome::not_run("home-closed"),
            Some(TicketState::Running { .. }) | None => Outcome::unknown("home-closed"),
        }
    }
}

fn with_answer(outcome: &Outcome, nonce: u128, answers: &AnswerStore) -> Outcome {
    Outcome {
        word: outcome.word.clone(),
        answer: answers.get(nonce),
    }
}
