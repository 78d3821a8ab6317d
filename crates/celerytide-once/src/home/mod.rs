//! The home of tickets: the one process that may run their actions. One per entry process, in memory only.
//!
//! A ticket goes through local, irreversible steps: issued, used, finished, forgotten. [`Home::begin`] marks it used
//! before anything is sent, and it never becomes unused again, whatever the final word of the attempt. So an action
//! can't run twice, even if its caller repeats the call.

mod answers;
mod attempt;
mod records;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, ExecutionStatus, RequestOutcome, data};
use snafu::Snafu;

pub use attempt::Attempt;
use records::TicketRecords;

use crate::copies::OutcomeCopy;
use crate::ticket::{HomeId, Ticket};

/// Limits of a home.
#[derive(Debug, Clone)]
pub struct HomeOptions {
    /// Most tickets in any state at once.
    pub max_tickets: usize,
    /// Time after its issue until which a ticket may be used.
    pub unused_for: Duration,
    /// Time for which an outcome is kept after the end of its attempt.
    pub outcome_for: Duration,
    /// Most bytes of all stored answers; beyond it the oldest answers are dropped but their final words are kept.
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
        /// Encoded headers, as they were sent to the caller.
        pub headers: Vec<u8>,
        /// Complete body.
        pub body: Vec<u8>,
    }

    /// Outcome of an attempt.
    pub struct Outcome {
        /// Final word with its cause.
        pub word: RequestOutcome,
        /// Answer of the endpoint; absent if there was none or it was dropped to save space.
        pub answer: Option<StoredAnswer>,
    }
}

/// Result of [`Home::begin`] for a call with a ticket.
#[derive(Debug)]
pub enum BeginResult {
    /// The caller of the method has to run the action; nobody else ever does.
    Run(Attempt),
    /// An earlier call is running the action.
    Running,
    /// The attempt has ended.
    Finished(Outcome),
    /// The ticket was unused for too long or the home is closed: the action did not and will not run.
    Expired,
    /// This incarnation doesn't know the ticket: the action may have run and will not run again.
    Unknown,
    /// Another instance is the ticket's home.
    NotHome(HomeId),
    /// The ticket was used for a request with other content; this call did nothing.
    OtherRequest,
}

/// Result of [`Home::look_up`].
#[derive(Debug, Clone, PartialEq)]
pub enum LookupResult {
    /// Issued and not used yet.
    Unused,
    /// The action is running.
    Running,
    /// The attempt has ended; also `not-run` for an expired ticket and `unknown` for a ticket that is not known here.
    Finished(Outcome),
    /// Another instance is the ticket's home.
    NotHome(HomeId),
}

/// Why no ticket was issued.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IssueError {
    /// The home has reached its limit of tickets.
    #[snafu(display("{held} tickets held"))]
    Full {
        /// Number of tickets.
        held: usize,
    },
    /// The home is stopping.
    #[snafu(display("the home is closed"))]
    Closed,
}

/// Numbers of tickets and bytes of a home, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HomeSizes {
    /// Tickets in any state.
    pub tickets: usize,
    /// Attempts under way.
    pub running: usize,
    /// Bytes of all stored answers.
    pub answer_bytes: usize,
}

/// The home of tickets; clones share one state.
#[derive(Debug, Clone)]
pub struct Home {
    id: Rc<HomeId>,
    records: Rc<RefCell<TicketRecords>>,
}

impl Home {
    /// Creates an empty home for this incarnation of the process.
    pub fn new(id: HomeId, opts: HomeOptions) -> Home {
        Home {
            id: Rc::new(id),
            records: Rc::new(RefCell::new(TicketRecords::new(opts))),
        }
    }

    /// Instance and incarnation of the home.
    pub fn id(&self) -> &HomeId {
        &self.id
    }

    /// Issues a ticket.
    ///
    /// # Errors
    /// [`IssueError`] if the home is full or closed.
    pub fn issue(&self, now: BootTime) -> Result<Ticket, IssueError> {
        let ticket = Ticket::generate(&self.id, &mut rand::rng());
        self.records.borrow_mut().issue(now, ticket.nonce)?;
        Ok(ticket)
    }

    /// Marks the ticket used, if allowed; `fingerprint` identifies the customer and the content of the request.
    ///
    /// Call it in the same step as the decision to dispatch, before anything is sent.
    pub fn begin(&self, ticket: &Ticket, now: BootTime, fingerprint: u64) -> BeginResult {
        if ticket.home.instance != self.id.instance {
            return BeginResult::NotHome(ticket.home.clone());
        }
        if ticket.home.incarnation != self.id.incarnation {
            return BeginResult::Unknown;
        }
        match self.records.borrow_mut().begin(ticket.nonce, now, fingerprint) {
            records::BeginStep::Run => BeginResult::Run(Attempt::new(ticket.nonce, &self.records)),
            records::BeginStep::Running => BeginResult::Running,
            records::BeginStep::Finished(outcome) => BeginResult::Finished(outcome),
            records::BeginStep::Expired => BeginResult::Expired,
            records::BeginStep::Unknown => BeginResult::Unknown,
            records::BeginStep::OtherRequest => BeginResult::OtherRequest,
        }
    }

    /// Records the outcome of an attempt and returns the final word for the caller.
    ///
    /// `not-run` becomes `unknown` if a byte may have been sent and the endpoint didn't refuse the request (see
    /// [`Attempt::mark_endpoint_refused`]).
    pub fn finish(
        &self,
        now: BootTime,
        attempt: Attempt,
        word: RequestOutcome,
        answer: Option<StoredAnswer>,
    ) -> RequestOutcome {
        let word = attempt.check_word(word);
        let outcome = Outcome {
            word: word.clone(),
            answer,
        };
        let nonce = attempt.close();
        self.records.borrow_mut().finish(now, nonce, outcome);
        word
    }

    /// Looks up the status of a ticket; changes nothing that a caller could observe.
    pub fn look_up(&self, ticket: &Ticket, now: BootTime) -> LookupResult {
        if ticket.home.instance != self.id.instance {
            return LookupResult::NotHome(ticket.home.clone());
        }
        if ticket.home.incarnation != self.id.incarnation {
            return LookupResult::Finished(Outcome::unknown("home-restarted"));
        }
        self.records.borrow_mut().look(ticket.nonce, now)
    }

    /// Closes the home permanently and returns copies of all outcomes; running attempts are copied as `unknown`.
    pub fn export(&self, now: BootTime) -> Vec<OutcomeCopy> {
        self.records.borrow_mut().export(now, &self.id)
    }

    /// Drops expired tickets and outcomes; call it periodically.
    pub fn sweep(&self, now: BootTime) {
        self.records.borrow_mut().sweep(now);
    }

    /// Current numbers of tickets and bytes.
    pub fn sizes(&self) -> HomeSizes {
        self.records.borrow().sizes()
    }
}

impl Outcome {
    /// Creates an outcome with this word and cause and no answer.
    pub fn without_answer(word: ExecutionStatus, cause: &str) -> Outcome {
        let word = RequestOutcome {
            status: word,
            cause: cause.to_owned(),
            retry_after_ms: None,
        };
        Outcome { word, answer: None }
    }

    /// Creates an `unknown` outcome with this cause.
    pub fn unknown(cause: &str) -> Outcome {
        Outcome::without_answer(ExecutionStatus::Unknown, cause)
    }

    /// Creates a `not-run` outcome with this cause.
    pub fn not_run(cause: &str) -> Outcome {
        Outcome::without_answer(ExecutionStatus::NotRun, cause)
    }
}

impl StoredAnswer {
    /// Size of headers and body in bytes.
    pub fn bytes(&self) -> usize {
        self.headers.len() + self.body.len()
    }
}
