//! The states of a home's tickets.

use std::collections::HashMap;

use celerytide_types::BootTime;

use super::answers::Answers;
use super::{HomeOptions, IssueError, Look, Outcome, Sizes};
use crate::copies::OutcomeCopy;
use crate::ticket::{HomeId, Ticket};

/// What `begin` found.
pub(super) enum Step {
    Run,
    Running,
    Finished(Outcome),
    Expired,
    Unknown,
    OtherRequest,
}

#[derive(Debug)]
enum State {
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

/// Every ticket of this life of the process that is not forgotten.
#[derive(Debug)]
pub(super) struct Records {
    opts: HomeOptions,
    tickets: HashMap<u128, State>,
    answers: Answers,
    latest: BootTime,
    closed: bool,
}

impl Records {
    pub(super) fn new(opts: HomeOptions) -> Records {
        let tickets = HashMap::new();
        Records {
            opts,
            tickets,
            answers: Answers::default(),
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
        self.tickets.insert(nonce, State::Unused { until });
        Ok(())
    }

    pub(super) fn begin(&mut self, nonce: u128, now: BootTime, fingerprint: u64) -> Step {
        self.advance(now);
        let (closed, latest) = (self.closed, self.latest);
        let Some(state) = self.tickets.get_mut(&nonce) else {
            return Step::Unknown;
        };
        match state {
            State::Unused { until } if closed || latest > *until => Step::Expired,
            State::Unused { .. } => {
                *state = State::Running { fingerprint };
                Step::Run
            }
            State::Running { fingerprint: used } if *used != fingerprint => Step::OtherRequest,
            State::Running { .. } => Step::Running,
            State::Finished { fingerprint: used, .. } if *used != fingerprint => Step::OtherRequest,
            State::Finished { outcome, .. } => Step::Finished(with_answer(outcome, nonce, &self.answers)),
        }
    }

    pub(super) fn finish(&mut self, now: BootTime, nonce: u128, mut outcome: Outcome) {
        self.advance(now);
        let Some(state) = self.tickets.get_mut(&nonce) else {
            return;
        };
        let State::Running { fingerprint } = *state else { return };
        if let Some(answer) = outcome.answer.take() {
            self.answers.put(nonce, answer, self.opts.max_answer_bytes);
        }
        let until = self.latest.after(self.opts.outcome_for);
        *state = State::Finished {
            fingerprint,
            outcome,
            until,
        };
    }

    pub(super) fn finish_dropped(&mut self, nonce: u128, outcome: Outcome) {
        self.finish(self.latest, nonce, outcome);
    }

    pub(super) fn look(&mut self, nonce: u128, now: BootTime) -> Look {
        self.advance(now);
        match self.tickets.get(&nonce) {
            None => Look::Finished(Outcome::unknown("ticket-not-held")),
            Some(State::Unused { .. }) if self.closed => Look::Finished(Outcome::not_run("home-closed")),
            Some(State::Unused { until }) if self.latest > *until => Look::Finished(Outcome::not_run("ticket-expired")),
            Some(State::Unused { .. }) => Look::Unused,
            Some(State::Running { .. }) => Look::Running,
            Some(State::Finished { outcome, .. }) => Look::Finished(with_answer(outcome, nonce, &self.answers)),
        }
    }

    pub(super) fn export(&mut self, now: BootTime, home: &HomeId) -> Vec<OutcomeCopy> {
        self.closed = true;
        self.advance(now);
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

    /// Forgets unused tickets two terms after their issue and outcomes past their time.
    pub(super) fn sweep(&mut self, now: BootTime) {
        self.advance(now);
        let grace = self.opts.unused_for;
        let answers = &mut self.answers;
        self.tickets.retain(|nonce, state| {
            let keep = match state {
                State::Unused { until } => now <= until.after(grace),
                State::Running { .. } => true,
                State::Finished { until, .. } => now <= *until,
            };
            if !keep {
                answers.remove(*nonce);
            }
            keep
        });
    }

    pub(super) fn sizes(&self) -> Sizes {
        let running = |s: &&State| matches!(s, State::Running { .. });
        let running = self.tickets.values().filter(running).count();
        Sizes {
            tickets: self.tickets.len(),
            running,
            answer_bytes: self.answers.bytes(),
        }
    }

    fn advance(&mut self, now: BootTime) {
        self.latest = self.latest.max(now);
    }

    fn fingerprint(&self, nonce: u128) -> Option<u64> {
        match self.tickets.get(&nonce) {
            Some(State::Running { fingerprint } | State::Finished { fingerprint, .. }) => Some(*fingerprint),
            Some(State::Unused { .. }) | None => None,
        }
    }

    fn outcome_at_close(&self, nonce: u128) -> Outcome {
        match self.tickets.get(&nonce) {
            Some(State::Finished { outcome, .. }) => with_answer(outcome, nonce, &self.answers),
            Some(State::Unused { .. }) => Outcome::not_run("home-closed"),
            Some(State::Running { .. }) | None => Outcome::unknown("home-closed"),
        }
    }
}

fn with_answer(outcome: &Outcome, nonce: u128, answers: &Answers) -> Outcome {
    Outcome {
        word: outcome.word.clone(),
        answer: answers.get(nonce),
    }
}
