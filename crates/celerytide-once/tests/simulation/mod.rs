//! Simulation of a small fleet of entries, callers that retry, and a plain service that counts runs.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_once::{
    Attempt, BeginResult, IssuerId, LookupResult, Outcome, OutcomeCopies, OutcomeCopy, RegistryOptions, Ticket,
    TicketRegistry,
};
use celerytide_types::{BootTime, ExecutionStatus};

pub const ENTRIES: usize = 4;
const MAX_TICKETS: usize = 24;
const UNUSED_TTL: Duration = Duration::from_secs(60);
const COPY_BYTES: usize = 1 << 16;
const FINGERPRINT: u64 = 7;

/// A rule that is deliberately broken, to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// An entry runs the action itself if the ticket's issuing entry can't be reached or doesn't know the ticket.
    RunsUnknownTicket,
    /// An entry runs a ticket again after `not-run`.
    RunsAgainAfterNotRun,
    /// An attempt isn't marked before its first byte is sent.
    SendsUnmarked,
    /// A copy of an unused ticket's outcome is treated as permission to run.
    RunsFromCopy,
    /// A lookup of a ticket whose issuing entry is gone returns no status.
    NoStatusWithoutIssuer,
    /// A ticket's issuing entry dispatches without calling [`TicketRegistry::begin`].
    DispatchesWithoutBegin,
}

/// One event of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    Ran {
        ticket: usize,
    },
    Responded {
        ticket: usize,
        status: ExecutionStatus,
    },
    FinalStatus {
        ticket: usize,
        status: Option<ExecutionStatus>,
    },
}

struct Entry {
    name: String,
    incarnation: u64,
    registry: TicketRegistry,
    copies: OutcomeCopies,
    up: bool,
    paused: bool,
    jobs: Vec<Job>,
}

struct Job {
    ticket: usize,
    attempt: Option<Attempt>,
    was_sent: bool,
}

#[derive(Clone)]
struct Call {
    to: usize,
    ticket: usize,
}

pub struct Simulation {
    entries: Vec<Entry>,
    tickets: Vec<Ticket>,
    in_transit: Vec<Call>,
    now: BootTime,
    flaw: Option<Flaw>,
    pub history: Vec<Event>,
}

impl Entry {
    fn start(name: String, incarnation: u64) -> Entry {
        let opts = RegistryOptions {
            unused_ttl: UNUSED_TTL,
            ..RegistryOptions::default()
        };
        let registry = TicketRegistry::new(
            IssuerId {
                instance: name.clone(),
                incarnation,
            },
            opts,
        );
        Entry {
            name,
            incarnation,
            registry,
            copies: OutcomeCopies::new(COPY_BYTES),
            up: true,
            paused: false,
            jobs: Vec::new(),
        }
    }

    fn is_active(&self) -> bool {
        self.up && !self.paused
    }
}

impl Simulation {
    pub fn new(flaw: Option<Flaw>) -> Simulation {
        let entries: Vec<Entry> = (0..ENTRIES)
            .map(|n| Entry::start(format!("i-{n}"), 1 + n as u64))
            .collect();
        let now = BootTime::from_start(Duration::from_secs(1000));
        Simulation {
            entries,
            tickets: Vec::new(),
            in_transit: Vec::new(),
            now,
            flaw,
            history: Vec::new(),
        }
    }

    /// Draws events until the randomness is used up, then finishes all calls and jobs.
    pub fn run(mut self, u: &mut Unstructured<'_>) -> Result<Vec<Event>> {
        while !u.is_empty() {
            self.random_event(u)?;
        }
        self.settle(u)?;
        Ok(self.history)
    }

    fn random_event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(ENTRIES)?;
        match u.int_in_range(0..=63u8)? {
            0..=3 => self.issue(at),
            4..=19 => self.send_call(at, u)?,
            20..=33 => self.deliver_call(u)?,
            34 | 35 => self.duplicate_call(u)?,
            36 => self.lose_call(u)?,
            37..=56 => self.advance_job(at, u)?,
            57 => self.crash(at),
            58 | 59 => self.restart(at),
            60 | 61 => self.entries[at].paused = !self.entries[at].paused,
            62 => self.stop(at, u)?,
            _ => self.now = self.now.after(Duration::from_secs(u.int_in_range(0..=20u64)?)),
        }
        Ok(())
    }

    fn issue(&mut self, at: usize) {
        let entry = &self.entries[at];
        if entry.is_active() && self.tickets.len() < MAX_TICKETS {
            self.tickets.extend(entry.registry.issue(self.now));
        }
    }

    /// A caller sends a request with a ticket to an entry, for the first time or again.
    fn send_call(&mut self, to: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.tickets.is_empty() {
            let ticket = u.choose_index(self.tickets.len())?;
            self.in_transit.push(Call { to, ticket });
        }
        Ok(())
    }

    fn lose_call(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.remove_call(u)?;
        Ok(())
    }

    fn remove_call(&mut self, u: &mut Unstructured<'_>) -> Result<Option<Call>> {
        if self.in_transit.is_empty() {
            return Ok(None);
        }
        let at = u.choose_index(self.in_transit.len())?;
        Ok(Some(self.in_transit.swap_remove(at)))
    }

    fn duplicate_call(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(call) = self.remove_call(u)? {
            self.in_transit.extend([call.clone(), call]);
        }
        Ok(())
    }

    fn deliver_call(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(call) = self.remove_call(u)? else {
            return Ok(());
        };
        match &self.entries[call.to] {
            entry if entry.is_active() => self.handle_call(call.to, call.ticket),
            entry if entry.up => self.in_transit.push(call),
            _ => {}
        }
        Ok(())
    }

    fn handle_call(&mut self, at: usize, ticket: usize) {
        let is_issuer = self.entries[at].registry.id() == &self.tickets[ticket].issuer;
        if is_issuer && self.flaw == Some(Flaw::DispatchesWithoutBegin) {
            return self.dispatch(at, ticket, None);
        }
        let result = self.entries[at]
            .registry
            .begin(&self.tickets[ticket], self.now, FINGERPRINT);
        match result {
            BeginResult::Run(attempt) => self.dispatch(at, ticket, Some(attempt)),
            BeginResult::NotIssuer(issuer) => self.relay(at, ticket, &issuer),
            BeginResult::Unknown => self.without_issuer(at, ticket),
            other => self.respond(at, ticket, other),
        }
    }

    fn respond(&mut self, at: usize, ticket: usize, result: BeginResult) {
        match result {
            BeginResult::Finished(outcome)
                if outcome.request.status == ExecutionStatus::NotRun
                    && self.flaw == Some(Flaw::RunsAgainAfterNotRun) =>
            {
                self.dispatch(at, ticket, None);
            }
            BeginResult::Finished(outcome) => self.record_response(ticket, outcome.request.status),
            BeginResult::Expired if self.flaw == Some(Flaw::RunsFromCopy) => self.dispatch(at, ticket, None),
            BeginResult::Expired => self.record_response(ticket, ExecutionStatus::NotRun),
            BeginResult::Unknown => self.record_response(ticket, ExecutionStatus::Unknown),
            BeginResult::Running | BeginResult::OtherRequest | BeginResult::Run(_) | BeginResult::NotIssuer(_) => {}
        }
    }

    fn relay(&mut self, at: usize, ticket: usize, issuer: &IssuerId) {
        let copied = self.entries[at].copies.begin(&self.tickets[ticket], FINGERPRINT);
        if let Some(copied) = copied {
            return self.respond(at, ticket, copied);
        }
        match self.entries.iter().position(|e| e.up && e.name == issuer.instance) {
            Some(to) => self.in_transit.push(Call { to, ticket }),
            None => self.without_issuer(at, ticket),
        }
    }

    fn without_issuer(&mut self, at: usize, ticket: usize) {
        let copied = self.entries[at].copies.begin(&self.tickets[ticket], FINGERPRINT);
        match copied {
            Some(copied) => self.respond(at, ticket, copied),
            None if self.flaw == Some(Flaw::RunsUnknownTicket) => self.dispatch(at, ticket, None),
            None => self.record_response(ticket, ExecutionStatus::Unknown),
        }
    }

    fn dispatch(&mut self, at: usize, ticket: usize, attempt: Option<Attempt>) {
        self.entries[at].jobs.push(Job {
            ticket,
            attempt,
            was_sent: false,
        });
    }

    /// Performs one step of one job: connect, send, or read the response. Each may fail, and the task may be dropped.
    fn advance_job(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.entries[at].is_active() || self.entries[at].jobs.is_empty() {
            return Ok(());
        }
        let job = u.choose_index(self.entries[at].jobs.len())?;
        let job = self.entries[at].jobs.swap_remove(job);
        let choice = u.int_in_range(0..=9u8)?;
        match (job.was_sent, choice) {
            (_, 0) => drop(job),
            (false, 1 | 2) => self.finish_job(at, job, ExecutionStatus::NotRun),
            (false, _) => self.send_request(at, job, choice),
            (true, 1 | 2) => self.finish_job(at, job, ExecutionStatus::NotRun),
            (true, _) => self.finish_job(at, job, ExecutionStatus::Done),
        }
        Ok(())
    }

    fn send_request(&mut self, at: usize, mut job: Job, choice: u8) {
        if let Some(attempt) = job.attempt.as_mut().filter(|_| self.flaw != Some(Flaw::SendsUnmarked)) {
            attempt.mark_sending();
        }
        match choice {
            3 => self.finish_job(at, job, ExecutionStatus::NotRun),
            4 => {
                job.attempt.iter_mut().for_each(Attempt::mark_endpoint_refused);
                self.finish_job(at, job, ExecutionStatus::NotRun);
            }
            _ => {
                self.history.push(Event::Ran { ticket: job.ticket });
                job.was_sent = true;
                self.entries[at].jobs.push(job);
            }
        }
    }

    fn finish_job(&mut self, at: usize, job: Job, status: ExecutionStatus) {
        let outcome = Outcome::without_response(status, "test");
        let final_status = match job.attempt {
            Some(attempt) => {
                self.entries[at]
                    .registry
                    .finish(self.now, attempt, outcome.request, None)
                    .status
            }
            None if job.was_sent && status == ExecutionStatus::NotRun => ExecutionStatus::Unknown,
            None => status,
        };
        self.record_response(job.ticket, final_status);
    }

    fn record_response(&mut self, ticket: usize, status: ExecutionStatus) {
        self.history.push(Event::Responded { ticket, status });
    }

    fn crash(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        let empty = Entry::start(entry.name.clone(), entry.incarnation);
        entry.registry = empty.registry;
        entry.copies = empty.copies;
        entry.jobs.clear();
        entry.up = false;
        entry.paused = false;
    }

    fn restart(&mut self, at: usize) {
        if !self.entries[at].up {
            let incarnation = self.entries[at].incarnation + ENTRIES as u64;
            self.entries[at] = Entry::start(self.entries[at].name.clone(), incarnation);
        }
    }

    /// Stops an entry gracefully; the stop may end running jobs, and copies go to some of the others, some twice.
    fn stop(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.entries[at].is_active() {
            return Ok(());
        }
        let copies: Vec<OutcomeCopy> = self.entries[at].registry.close_and_export(self.now);
        for other in (0..ENTRIES).filter(|n| *n != at) {
            for _ in 0..u.int_in_range(0..=2u8)? {
                self.entries[other].copies.import(copies.clone());
            }
        }
        let keeps_running = u.ratio(1, 3)?;
        if !keeps_running {
            self.crash(at);
        }
        Ok(())
    }

    fn settle(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for at in 0..ENTRIES {
            self.entries[at].paused = false;
        }
        while !self.in_transit.is_empty() || self.entries.iter().any(|e| !e.jobs.is_empty()) {
            self.deliver_call(u)?;
            for at in 0..ENTRIES {
                if let Some(job) = self.entries[at].jobs.pop() {
                    let status = if job.was_sent {
                        ExecutionStatus::Done
                    } else {
                        ExecutionStatus::NotRun
                    };
                    self.finish_job(at, job, status);
                }
            }
        }
        self.restart(0);
        self.now = self.now.after(UNUSED_TTL + Duration::from_secs(1));
        for ticket in 0..self.tickets.len() {
            let status = self.final_status(0, ticket);
            self.history.push(Event::FinalStatus { ticket, status });
        }
        Ok(())
    }

    fn final_status(&self, at: usize, ticket: usize) -> Option<ExecutionStatus> {
        let ticket = &self.tickets[ticket];
        let status = match self.entries[at].registry.look_up(ticket, self.now) {
            LookupResult::NotIssuer(issuer) => self.status_elsewhere(at, ticket, &issuer)?,
            status => status,
        };
        match status {
            LookupResult::Finished(outcome) => Some(outcome.request.status),
            LookupResult::Unused | LookupResult::Running | LookupResult::NotIssuer(_) => None,
        }
    }

    fn status_elsewhere(&self, at: usize, ticket: &Ticket, issuer: &IssuerId) -> Option<LookupResult> {
        if let Some(status) = self.entries[at].copies.look_up(ticket) {
            return Some(status);
        }
        let issuer = self.entries.iter().find(|e| e.up && e.name == issuer.instance);
        match issuer {
            Some(entry) => Some(entry.registry.look_up(ticket, self.now)),
            None if self.flaw == Some(Flaw::NoStatusWithoutIssuer) => None,
            None => Some(LookupResult::Finished(Outcome::unknown("home-gone"))),
        }
    }
}
