//! Registry of the tickets that an entry process has issued and whose actions only it may run; in memory only.
//!
//! A ticket goes through local, irreversible states: issued, used, finished, dropped. [`TicketRegistry::begin`] marks
//! it used before anything is sent, and it never becomes unused again, whatever the outcome of the attempt. So an
//! action can't run twice, even if its caller repeats the request.

mod attempt;
mod records;
mod responses;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, ExecutionStatus, RequestOutcome, data};
use snafu::Snafu;

pub use attempt::Attempt;
use records::TicketRecords;

use crate::copies::OutcomeCopy;
use crate::ticket::{IssuerId, Ticket};

/// Limits of a [`TicketRegistry`].
#[derive(Debug, Clone)]
pub struct RegistryOptions {
    /// Most tickets in any state at once.
    pub max_tickets: usize,
    /// Time after its issue until which a ticket may be used.
    pub unused_ttl: Duration,
    /// Time for which an outcome is kept after the end of its attempt.
    pub outcome_ttl: Duration,
    /// Most bytes of all stored responses; beyond it the oldest are dropped, but their execution status is kept.
    pub max_response_bytes: usize,
}

impl Default for RegistryOptions {
    fn default() -> RegistryOptions {
        RegistryOptions {
            max_tickets: 20_000,
            unused_ttl: Duration::from_secs(15 * 60),
            outcome_ttl: Duration::from_secs(6 * 60 * 60),
            max_response_bytes: 8 << 20,
        }
    }
}

data! {
    /// An endpoint's response, stored to be replayed to repeated requests.
    pub struct StoredResponse {
        /// HTTP status.
        pub status: u16,
        /// Encoded headers, as they were sent to the caller.
        pub headers: Vec<u8>,
        /// Complete body.
        pub body: Vec<u8>,
    }

    /// Outcome of an attempt.
    pub struct Outcome {
        /// Execution status and its cause.
        #[serde(rename = "word")]
        pub request: RequestOutcome,
        /// Response of the endpoint; absent if there was none or it was dropped to save space.
        #[serde(rename = "answer")]
        pub response: Option<StoredResponse>,
    }
}

/// Result of [`TicketRegistry::begin`] for a request with a ticket.
#[derive(Debug)]
pub enum BeginResult {
    /// The code that called `begin` has to run the action; no later call gets this result for the ticket.
    Run(Attempt),
    /// An earlier request is running the action.
    Running,
    /// The attempt has ended.
    Finished(Outcome),
    /// The ticket was unused for too long or the registry is closed: the action did not and will not run.
    Expired,
    /// This incarnation doesn't know the ticket: the action may have run and will not run again.
    Unknown,
    /// Another instance issued the ticket.
    NotIssuer(IssuerId),
    /// The ticket was used for a request with other content; this request did nothing.
    OtherRequest,
}

/// Result of [`TicketRegistry::look_up`].
#[derive(Debug, Clone, PartialEq)]
pub enum LookupResult {
    /// Issued and not used yet.
    Unused,
    /// The action is running.
    Running,
    /// The attempt has ended. Also returned as `not-run` for an expired ticket and as `unknown` for a ticket that is
    /// not known here, because no attempt can follow for these either.
    Finished(Outcome),
    /// Another instance issued the ticket.
    NotIssuer(IssuerId),
}

/// Why no ticket was issued.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IssueError {
    /// The registry has reached its limit of tickets.
    #[snafu(display("{held} tickets held"))]
    Full {
        /// Number of tickets.
        held: usize,
    },
    /// The registry is closed, because the process is stopping.
    #[snafu(display("the home is closed"))]
    Closed,
}

/// Numbers of tickets and bytes of a registry, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RegistrySizes {
    /// Tickets in any state.
    pub tickets: usize,
    /// Tickets whose action is running.
    pub running: usize,
    /// Bytes of all stored responses.
    pub response_bytes: usize,
}

/// The tickets of one incarnation of an entry process; clones share one state.
#[derive(Debug, Clone)]
pub struct TicketRegistry {
    id: Rc<IssuerId>,
    records: Rc<RefCell<TicketRecords>>,
}

impl TicketRegistry {
    /// Creates an empty registry for the incarnation `id` of the process.
    pub fn new(id: IssuerId, opts: RegistryOptions) -> TicketRegistry {
        TicketRegistry {
            id: Rc::new(id),
            records: Rc::new(RefCell::new(TicketRecords::new(opts))),
        }
    }

    /// Instance and incarnation of this process.
    pub fn id(&self) -> &IssuerId {
        &self.id
    }

    /// Issues a ticket.
    ///
    /// # Errors
    /// [`IssueError`] if the registry is full or closed.
    pub fn issue(&self, now: BootTime) -> Result<Ticket, IssueError> {
        let ticket = Ticket::generate(&self.id, &mut rand::rng());
        self.records.borrow_mut().issue(now, ticket.nonce)?;
        Ok(ticket)
    }

    /// Marks the ticket used, if allowed; `fingerprint` identifies the customer and the content of the request.
    ///
    /// Call it without an await after the decision to dispatch, before anything is sent.
    pub fn begin(&self, ticket: &Ticket, now: BootTime, fingerprint: u64) -> BeginResult {
        if ticket.issuer.instance != self.id.instance {
            return BeginResult::NotIssuer(ticket.issuer.clone());
        }
        if ticket.issuer.incarnation != self.id.incarnation {
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

    /// Records the outcome of an attempt and returns the one to report to the HTTP caller.
    ///
    /// `not-run` becomes `unknown` if a byte may have been sent and the endpoint didn't refuse the request (see
    /// [`Attempt::mark_endpoint_refused`]).
    pub fn finish(
        &self,
        now: BootTime,
        attempt: Attempt,
        outcome: RequestOutcome,
        response: Option<StoredResponse>,
    ) -> RequestOutcome {
        let request = attempt.correct_outcome(outcome);
        let outcome = Outcome {
            request: request.clone(),
            response,
        };
        let nonce = attempt.close();
        self.records.borrow_mut().finish(now, nonce, outcome);
        request
    }

    /// Looks up the state of a ticket.
    ///
    /// It advances the registry's clock to `now`: a ticket reported as expired can't be used afterwards, even if `begin`
    /// is called with an earlier time.
    pub fn look_up(&self, ticket: &Ticket, now: BootTime) -> LookupResult {
        if ticket.issuer.instance != self.id.instance {
            return LookupResult::NotIssuer(ticket.issuer.clone());
        }
        if ticket.issuer.incarnation != self.id.incarnation {
            return LookupResult::Finished(Outcome::unknown("home-restarted"));
        }
        self.records.borrow_mut().look_up(ticket.nonce, now)
    }

    /// Closes the registry permanently and returns copies of all outcomes; running attempts are copied as `unknown`.
    pub fn close_and_export(&self, now: BootTime) -> Vec<OutcomeCopy> {
        self.records.borrow_mut().close_and_export(now, &self.id)
    }

    /// Drops expired tickets and outcomes; call it periodically.
    pub fn sweep(&self, now: BootTime) {
        self.records.borrow_mut().sweep(now);
    }

    /// Current numbers of tickets and bytes.
    pub fn sizes(&self) -> RegistrySizes {
        self.records.borrow().sizes()
    }
}

impl Outcome {
    /// Creates an outcome with this status and cause and no response.
    pub fn without_response(status: ExecutionStatus, cause: &str) -> Outcome {
        let request = RequestOutcome {
            status,
            cause: cause.to_owned(),
            retry_after_ms: None,
        };
        Outcome {
            request,
            response: None,
        }
    }

    /// Creates an `unknown` outcome with this cause.
    pub fn unknown(cause: &str) -> Outcome {
        Outcome::without_response(ExecutionStatus::Unknown, cause)
    }

    /// Creates a `not-run` outcome with this cause.
    pub fn not_run(cause: &str) -> Outcome {
        Outcome::without_response(ExecutionStatus::NotRun, cause)
    }
}

impl StoredResponse {
    /// Size of headers and body in bytes.
    pub fn bytes(&self) -> usize {
        self.headers.len() + self.body.len()
    }
}
