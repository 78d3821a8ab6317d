//! A small fleet of entries, callers that retry, and a plain service that counts runs.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_once::{Attempt, Begin, Copies, Home, HomeId, HomeOptions, Look, Outcome, OutcomeCopy, Ticket};
use celerytide_types::{BootTime, ExecutionStatus};

pub const ENTRIES: usize = 4;
const MAX_TICKETS: usize = 24;
const UNUSED_FOR: Duration = Duration::from_secs(60);
const COPY_BYTES: usize = 1 << 16;
const FINGERPRINT: u64 = 7;

/// A deliberate break of the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// An entry runs the action itself when the home can't be asked or knows nothing.
    RunOnUnknown,
    /// An entry runs a ticket again after `not-run`.
    RunAgainAfterNotRun,
    /// The write is not announced before its first byte.
    WriteUnannounced,
    /// A copy of an unused ticket's outcome is taken as leave to run.
    RunOnCopy,
    /// A question about a ticket whose home is gone gets no answer.
    NoWordWithoutHome,
    /// An entry that holds a ticket's home dispatches without asking it.
    DispatchWithoutBegin,
}

/// What happened, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    Ran {
        ticket: usize,
    },
    Said {
        ticket: usize,
        word: ExecutionStatus,
    },
    Last {
        ticket: usize,
        word: Option<ExecutionStatus>,
    },
}

struct Entry {
    name: String,
    life: u64,
    home: Home,
    copies: Copies,
    up: bool,
    paused: bool,
    jobs: Vec<Job>,
}

struct Job {
    ticket: usize,
    attempt: Option<Attempt>,
    written: bool,
}

#[derive(Clone)]
struct Call {
    to: usize,
    ticket: usize,
}

pub struct World {
    entries: Vec<Entry>,
    tickets: Vec<Ticket>,
    net: Vec<Call>,
    now: BootTime,
    flaw: Option<Flaw>,
    pub history: Vec<Event>,
}

impl Entry {
    fn start(name: String, life: u64) -> Entry {
        let opts = HomeOptions {
            unused_for: UNUSED_FOR,
            ..HomeOptions::default()
        };
        let home = Home::new(
            HomeId {
                instance: name.clone(),
                incarnation: life,
            },
            opts,
        );
        Entry {
            name,
            life,
            home,
            copies: Copies::new(COPY_BYTES),
            up: true,
            paused: false,
            jobs: Vec::new(),
        }
    }

    fn acts(&self) -> bool {
        self.up && !self.paused
    }
}

impl World {
    pub fn new(flaw: Option<Flaw>) -> World {
        let entries: Vec<Entry> = (0..ENTRIES)
            .map(|n| Entry::start(format!("i-{n}"), 1 + n as u64))
            .collect();
        let now = BootTime::from_start(Duration::from_secs(1000));
        World {
            entries,
            tickets: Vec::new(),
            net: Vec::new(),
            now,
            flaw,
            history: Vec::new(),
        }
    }

    /// Draws events until the randomness is used up, then lets everything come to rest.
    pub fn run(mut self, u: &mut Unstructured<'_>) -> Result<Vec<Event>> {
        while !u.is_empty() {
            self.event(u)?;
        }
        self.rest(u)?;
        Ok(self.history)
    }

    fn event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(ENTRIES)?;
        match u.int_in_range(0..=63u8)? {
            0..=3 => self.issue(at),
            4..=19 => self.ask(at, u)?,
            20..=33 => self.deliver(u)?,
            34 | 35 => self.duplicate(u)?,
            36 => self.lose(u)?,
            37..=56 => self.work(at, u)?,
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
        if entry.acts() && self.tickets.len() < MAX_TICKETS {
            self.tickets.extend(entry.home.issue(self.now));
        }
    }

    /// A caller calls, or calls again, with a ticket at some entry.
    fn ask(&mut self, to: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.tickets.is_empty() {
            let ticket = u.choose_index(self.tickets.len())?;
            self.net.push(Call { to, ticket });
        }
        Ok(())
    }

    fn lose(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.take_call(u)?;
        Ok(())
    }

    fn take_call(&mut self, u: &mut Unstructured<'_>) -> Result<Option<Call>> {
        if self.net.is_empty() {
            return Ok(None);
        }
        let at = u.choose_index(self.net.len())?;
        Ok(Some(self.net.swap_remove(at)))
    }

    fn duplicate(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(call) = self.take_call(u)? {
            self.net.extend([call.clone(), call]);
        }
        Ok(())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(call) = self.take_call(u)? else { return Ok(()) };
        match &self.entries[call.to] {
            entry if entry.acts() => self.call(call.to, call.ticket),
            entry if entry.up => self.net.push(call),
            _ => {}
        }
        Ok(())
    }

    fn call(&mut self, at: usize, ticket: usize) {
        let is_home = self.entries[at].home.id() == &self.tickets[ticket].home;
        if is_home && self.flaw == Some(Flaw::DispatchWithoutBegin) {
            return self.dispatch(at, ticket, None);
        }
        let begun = self.entries[at]
            .home
            .begin(&self.tickets[ticket], self.now, FINGERPRINT);
        match begun {
            Begin::Run(attempt) => self.dispatch(at, ticket, Some(attempt)),
            Begin::NotHome(home) => self.relay(at, ticket, &home),
            Begin::Unknown => self.without_home(at, ticket),
            other => self.tell(at, ticket, other),
        }
    }

    fn tell(&mut self, at: usize, ticket: usize, begun: Begin) {
        match begun {
            Begin::Finished(outcome)
                if outcome.word.word == ExecutionStatus::NotRun && self.flaw == Some(Flaw::RunAgainAfterNotRun) =>
            {
                self.dispatch(at, ticket, None);
            }
            Begin::Finished(outcome) => self.say(ticket, outcome.word.word),
            Begin::Expired if self.flaw == Some(Flaw::RunOnCopy) => self.dispatch(at, ticket, None),
            Begin::Expired => self.say(ticket, ExecutionStatus::NotRun),
            Begin::Unknown => self.say(ticket, ExecutionStatus::Unknown),
            Begin::Running | Begin::OtherRequest | Begin::Run(_) | Begin::NotHome(_) => {}
        }
    }

    fn relay(&mut self, at: usize, ticket: usize, home: &HomeId) {
        let known = self.entries[at].copies.begin(&self.tickets[ticket], FINGERPRINT);
        if let Some(known) = known {
            return self.tell(at, ticket, known);
        }
        match self.entries.iter().position(|e| e.up && e.name == home.instance) {
            Some(to) => self.net.push(Call { to, ticket }),
            None => self.without_home(at, ticket),
        }
    }

    fn without_home(&mut self, at: usize, ticket: usize) {
        let known = self.entries[at].copies.begin(&self.tickets[ticket], FINGERPRINT);
        match known {
            Some(known) => self.tell(at, ticket, known),
            None if self.flaw == Some(Flaw::RunOnUnknown) => self.dispatch(at, ticket, None),
            None => self.say(ticket, ExecutionStatus::Unknown),
        }
    }

    fn dispatch(&mut self, at: usize, ticket: usize, attempt: Option<Attempt>) {
        self.entries[at].jobs.push(Job {
            ticket,
            attempt,
            written: false,
        });
    }

    /// One step of one job: connect, write, or read the answer; each may fail, and the task may be dropped.
    fn work(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.entries[at].acts() || self.entries[at].jobs.is_empty() {
            return Ok(());
        }
        let job = u.choose_index(self.entries[at].jobs.len())?;
        let job = self.entries[at].jobs.swap_remove(job);
        let luck = u.int_in_range(0..=9u8)?;
        match (job.written, luck) {
            (_, 0) => drop(job),
            (false, 1 | 2) => self.end(at, job, ExecutionStatus::NotRun),
            (false, _) => self.write(at, job, luck),
            (true, 1 | 2) => self.end(at, job, ExecutionStatus::NotRun),
            (true, _) => self.end(at, job, ExecutionStatus::Done),
        }
        Ok(())
    }

    fn write(&mut self, at: usize, mut job: Job, luck: u8) {
        if let Some(attempt) = job
            .attempt
            .as_mut()
            .filter(|_| self.flaw != Some(Flaw::WriteUnannounced))
        {
            attempt.leaving();
        }
        match luck {
            3 => self.end(at, job, ExecutionStatus::NotRun),
            4 => {
                job.attempt.iter_mut().for_each(Attempt::endpoint_refused);
                self.end(at, job, ExecutionStatus::NotRun);
            }
            _ => {
                self.history.push(Event::Ran { ticket: job.ticket });
                job.written = true;
                self.entries[at].jobs.push(job);
            }
        }
    }

    fn end(&mut self, at: usize, job: Job, word: ExecutionStatus) {
        let outcome = Outcome::bare(word, "test");
        let said = match job.attempt {
            Some(attempt) => self.entries[at].home.finish(self.now, attempt, outcome.word, None).word,
            None if job.written && word == ExecutionStatus::NotRun => ExecutionStatus::Unknown,
            None => word,
        };
        self.say(job.ticket, said);
    }

    fn say(&mut self, ticket: usize, word: ExecutionStatus) {
        self.history.push(Event::Said { ticket, word });
    }

    fn crash(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        let empty = Entry::start(entry.name.clone(), entry.life);
        entry.home = empty.home;
        entry.copies = empty.copies;
        entry.jobs.clear();
        entry.up = false;
        entry.paused = false;
    }

    fn restart(&mut self, at: usize) {
        if !self.entries[at].up {
            let life = self.entries[at].life + ENTRIES as u64;
            self.entries[at] = Entry::start(self.entries[at].name.clone(), life);
        }
    }

    /// A graceful stop whose bound may cut what runs; copies go to some of the others, some twice.
    fn stop(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.entries[at].acts() {
            return Ok(());
        }
        let copies: Vec<OutcomeCopy> = self.entries[at].home.export(self.now);
        for other in (0..ENTRIES).filter(|n| *n != at) {
            for _ in 0..u.int_in_range(0..=2u8)? {
                self.entries[other].copies.import(copies.clone());
            }
        }
        let lingers = u.ratio(1, 3)?;
        if !lingers {
            self.crash(at);
        }
        Ok(())
    }

    fn rest(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for at in 0..ENTRIES {
            self.entries[at].paused = false;
        }
        while !self.net.is_empty() || self.entries.iter().any(|e| !e.jobs.is_empty()) {
            self.deliver(u)?;
            for at in 0..ENTRIES {
                if let Some(job) = self.entries[at].jobs.pop() {
                    let word = if job.written {
                        ExecutionStatus::Done
                    } else {
                        ExecutionStatus::NotRun
                    };
                    self.end(at, job, word);
                }
            }
        }
        self.restart(0);
        self.now = self.now.after(UNUSED_FOR + Duration::from_secs(1));
        for ticket in 0..self.tickets.len() {
            let word = self.last_word(0, ticket);
            self.history.push(Event::Last { ticket, word });
        }
        Ok(())
    }

    fn last_word(&self, at: usize, ticket: usize) -> Option<ExecutionStatus> {
        let ticket = &self.tickets[ticket];
        let look = match self.entries[at].home.look(ticket, self.now) {
            Look::NotHome(home) => self.look_elsewhere(at, ticket, &home)?,
            look => look,
        };
        match look {
            Look::Finished(outcome) => Some(outcome.word.word),
            Look::Unused | Look::Running | Look::NotHome(_) => None,
        }
    }

    fn look_elsewhere(&self, at: usize, ticket: &Ticket, home: &HomeId) -> Option<Look> {
        if let Some(look) = self.entries[at].copies.look(ticket) {
            return Some(look);
        }
        let home = self.entries.iter().find(|e| e.up && e.name == home.instance);
        match home {
            Some(entry) => Some(entry.home.look(ticket, self.now)),
            None if self.flaw == Some(Flaw::NoWordWithoutHome) => None,
            None => Some(Look::Finished(Outcome::unknown("home-gone"))),
        }
    }
}
