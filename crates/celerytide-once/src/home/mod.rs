//! The home of tickets: one per entry process, in memory only.
//!
//! Every step is local and one way: issued, used, finished, forgotten. A ticket is used by [`Home::begin`] before
//! anything is dispatched, and it is never unused again, whatever word the attempt ends with.

mod answers;
mod attempt;
mod record;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, ExecutionStatus, RequestOutcome, data};
use snafu::Snafu;

pub use attempt::Attempt;
use record::Records;

use crate::copies::OutcomeCopy;
use crate::ticket::{HomeId, Ticket};

/// Bounds of a home.
#[derive(Debug, Clone)]
pub struct HomeOptions {
    /// Tickets held at once, in any state.
    pub max_tickets: usize,
    /// How long an unused ticket may be used.
    pub unused_for: Duration,
    /// How long an outcome can be asked for after the end of its attempt.
    pub outcome_for: Duration,
    /// Bytes of all stored answers; beyond it the oldest are dropped, their words stay.
    pub max_answer_bytes: usize,
}

impl Default for HomeOptions {
    fn default() -> HomeOptions {
        HomeOptions {
            max_tickets: 20_000,
            unused_for: Duration::from_secs(15 * 60),
            outcome_for: Duration::from_secs(6 * 60 * 60),
            max_answer_bytes: 8 << 20,
        }
    }
}

data! {
    /// An endpoint's answer, kept for repeated calls.
    pub struct StoredAnswer {
        /// HTTP status.
        pub status: u16,
        /// Header lines as they were sent to the caller.
        pub headers: Vec<u8>,
        /// Body.
        pub body: Vec<u8>,
    }

    /// How an attempt ended.
    pub struct Outcome {
        /// The final word.
        pub word: RequestOutcome,
        /// The answer; absent where there was none or it was dropped for space.
        pub answer: Option<StoredAnswer>,
    }
}

/// Answer to a call that bears a ticket.
#[derive(Debug)]
pub enum Begin {
    /// The caller of this method runs the action, and nobody else ever does.
    Run(Attempt),
    /// An earlier call is running it.
    Running,
    /// It ended.
    Finished(Outcome),
    /// Unused for too long, or the home is closed: it did not run and will not run.
    Expired,
    /// This life of the process knows nothing of it: it may have run, and will not run again.
    Unknown,
    /// Another instance is its home.
    NotHome(HomeId),
    /// The ticket was used for a request with other content; nothing was done.
    OtherRequest,
}

/// Answer to a question about a ticket.
#[derive(Debug, Clone, PartialEq)]
pub enum Look {
    /// Issued and not used yet.
    Unused,
    /// Running now.
    Running,
    /// Ended; also `not-run` for an expired ticket, and `unknown` for one that this life of the process can't know.
    Finished(Outcome),
    /// Another instance is its home.
    NotHome(HomeId),
}

/// Why no ticket was issued.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IssueError {
    /// As many tickets as the home may hold.
    #[snafu(display("{held} tickets held"))]
    Full {
        /// Tickets held.
        held: usize,
    },
    /// The home is stopping.
    #[snafu(display("the home is closed"))]
    Closed,
}

/// What a home holds; for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sizes {
    /// Tickets in any state.
    pub tickets: usize,
    /// Attempts that run.
    pub running: usize,
    /// Bytes of stored answers.
    pub answer_bytes: usize,
}

/// The home of tickets; clones share one state.
#[derive(Debug, Clone)]
pub struct Home {
    id: Rc<HomeId>,
    records: Rc<RefCell<Records>>,
}

impl Home {
    /// An empty home for this life of the process.
    pub fn new(id: HomeId, opts: HomeOptions) -> Home {
        Home {
            id: Rc::new(id),
            records: Rc::new(RefCell::new(Records::new(opts))),
        }
    }

    /// Which home it is.
    pub fn id(&self) -> &HomeId {
        &self.id
    }

    /// Issues a ticket.
    ///
    /// # Errors
    /// [`IssueError`] if the home is full or closed.
    pub fn issue(&self, now: BootTime) -> Result<Ticket, IssueError> {
        let ticket = Ticket::draw(&self.id, &mut rand::rng());
        self.records.borrow_mut().issue(now, ticket.nonce)?;
        Ok(ticket)
    }

    /// Marks the ticket used, if it may be used; `fingerprint` stands for the customer and the request's content.
    ///
    /// Call it in the same step as the decision to dispatch, before anything leaves the process.
    pub fn begin(&self, ticket: &Ticket, now: BootTime, fingerprint: u64) -> Begin {
        if ticket.home.instance != self.id.instance {
            return Begin::NotHome(ticket.home.clone());
        }
        if ticket.home.incarnation != self.id.incarnation {
            return Begin::Unknown;
        }
        match self.records.borrow_mut().begin(ticket.nonce, now, fingerprint) {
            record::Step::Run => Begin::Run(Attempt::new(ticket.nonce, &self.records)),
            record::Step::Running => Begin::Running,
            record::Step::Finished(outcome) => Begin::Finished(outcome),
            record::Step::Expired => Begin::Expired,
            record::Step::Unknown => Begin::Unknown,
            record::Step::OtherRequest => Begin::OtherRequest,
        }
    }

    /// Records how an attempt ended and returns the word to tell the caller.
    ///
    /// A `not-run` after a byte may have left is turned into `unknown`, unless the attempt holds the endpoint's own
    /// word for it (see [`Attempt::endpoint_refused`]).
    pub fn finish(
        &self,
        now: BootTime,
        attempt: Attempt,
        word: RequestOutcome,
        answer: Option<StoredAnswer>,
    ) -> RequestOutcome {
        let word = attempt.checked(word);
        let outcome = Outcome {
            word: word.clone(),
            answer,
        };
        let nonce = attempt.close();
        self.records.borrow_mut().finish(now, nonce, outcome);
        word
    }

    /// What is known of the ticket; never changes anything a caller could see.
    pub fn look(&self, ticket: &Ticket, now: BootTime) -> Look {
        if ticket.home.instance != self.id.instance {
            return Look::NotHome(ticket.home.clone());
        }
        if ticket.home.incarnation != self.id.incarnation {
            return Look::Finished(Outcome::unknown("home-restarted"));
        }
        self.records.borrow_mut().look(ticket.nonce, now)
    }

    /// Closes the home for good and gives every ticket's outcome as a copy; what still runs is copied as `unknown`.
    pub fn export(&self, now: BootTime) -> Vec<OutcomeCopy> {
        self.records.borrow_mut().export(now, &self.id)
    }

    /// Drops what is past its time; call it now and then.
    pub fn sweep(&self, now: BootTime) {
        self.records.borrow_mut().sweep(now);
    }

    /// What it holds.
    pub fn sizes(&self) -> Sizes {
        self.records.borrow().sizes()
    }
}

impl Outcome {
    /// An outcome of that word and cause, without an answer.
    pub fn bare(word: ExecutionStatus, cause: &str) -> Outcome {
        let word = RequestOutcome {
            word,
            cause: cause.to_owned(),
            retry_after_ms: None,
        };
        Outcome { word, answer: None }
    }

    /// An `unknown` of that cause.
    pub fn unknown(cause: &str) -> Outcome {
        Outcome::bare(ExecutionStatus::Unknown, cause)
    }

    /// A `not-run` of that cause.
    pub fn not_run(cause: &str) -> Outcome {
        Outcome::bare(ExecutionStatus::NotRun, cause)
    }
}

impl StoredAnswer {
    /// Bytes it takes.
    pub fn bytes(&self) -> usize {
        self.headers.len() + self.body.len()
    }
}
