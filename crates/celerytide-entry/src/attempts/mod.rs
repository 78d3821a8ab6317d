//! What the attempts of a request prove about whether it ran, and what its caller is told for that reason.
//!
//! Callers send a protected action again after `not-run`, so `not-run` needs a proof for each attempt: no byte was sent,
//! or the endpoint states that the request did not run. [`Proof::of`] is the only judgement of a single attempt and
//! [`combine`] the only one of several. [`Attempts`] counts an attempt as one that may have run from the grant of its
//! permit until its end is recorded, so a path that records no end can't cause a false `not-run`.

use std::time::Duration;

use celerytide_http::client::SendError;
use celerytide_types::{ExecutionStatus, RequestOutcome};
use http::header::HeaderMap;
use http::{HeaderName, StatusCode};

use crate::response::{ErrorResponse, OUTCOME_HEADER, REQUEST_ID_HEADER, done_outcome};

/// Most endpoints on which one request may fail.
pub const MAX_ATTEMPTS: usize = 4;
/// Most endpoints that one request may break off before any of the response: each of them may have crashed under it.
pub const MAX_BROKEN_OFF: usize = 2;
/// Retry time told to the caller after the endpoints failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What an attempt proves; of several attempts the greatest one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Proof {
    /// The endpoint certainly did not run the request and won't.
    #[default]
    DidNotRun,
    /// The endpoint may or may not have run the request.
    MayHaveRun,
    /// The endpoint ran the request.
    Ran,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub enum AttemptEnd<'a> {
    /// A whole response arrived.
    Response(ResponseHead<'a>),
    /// The call failed.
    Failed(&'a SendError),
    /// The endpoint broke the connection off before any of the response reached the caller.
    BrokeOff,
    /// The response broke off or was invalid behind its head.
    Broken,
    /// The pool's owner took the endpoint back after the call had begun.
    Preempted,
    /// The permit was given back before anything was sent.
    Unused,
}

/// The part of a response that tells whether the request ran.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'a> {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the endpoint.
    pub headers: &'a HeaderMap,
    /// Id of the request.
    pub request: &'a str,
    /// Statuses that mean, by the manifest, that the request did not run.
    pub not_run_status: &'a [u16],
}

/// Why no other attempt follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// The retry budget of this entry is used up.
    NoRetryLeft,
    /// The request failed on [`MAX_ATTEMPTS`] endpoints, or [`MAX_BROKEN_OFF`] broke it off.
    AttemptsUsed,
    /// The request may run once only.
    RunsOnce,
    /// The endpoint of the next permit can't resume the stream.
    CannotResume,
}

/// The attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Combined proof of the attempts that have ended.
    proof: Proof,
    /// The end that is described to the caller.
    finding: Option<Finding>,
    is_under_way: bool,
    failed: usize,
    broken_off: usize,
}

/// End of an attempt as it is described to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    Unreachable,
    Refused,
    Status(StatusCode),
    Broken,
    Preempted,
}

impl Proof {
    /// What the end of an attempt proves.
    pub fn of(end: &AttemptEnd<'_>) -> Proof {
        match end {
            AttemptEnd::Unused => Proof::DidNotRun,
            AttemptEnd::Failed(error) if !error.may_have_run() => Proof::DidNotRun,
            AttemptEnd::Failed(_) | AttemptEnd::Broken | AttemptEnd::BrokeOff | AttemptEnd::Preempted => {
                Proof::MayHaveRun
            }
            AttemptEnd::Response(head) if head.states_not_run() => Proof::DidNotRun,
            AttemptEnd::Response(head) if is_gateway_status(head.status) => Proof::MayHaveRun,
            AttemptEnd::Response(_) => Proof::Ran,
        }
    }
}

impl<'a> AttemptEnd<'a> {
    /// The end of a call that failed after `tokens` tokens of the response.
    pub fn of_error(error: &'a SendError, tokens: u32) -> AttemptEnd<'a> {
        match tokens == 0 && error.is_broken_off() {
            true => AttemptEnd::BrokeOff,
            false => AttemptEnd::Failed(error),
        }
    }
}

/// What several attempts prove together.
pub fn combine(proofs: impl IntoIterator<Item = Proof>) -> Proof {
    proofs.into_iter().max().unwrap_or_default()
}

/// Whether a gateway in front of an endpoint answers with this status without knowing whether the request ran. Another
/// endpoint may succeed.
pub fn is_gateway_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

impl ResponseHead<'_> {
    /// Whether the endpoint states that the request did not run: by a status that the manifest lists, or by the word of
    /// this interface beside the request's own id. Without the id the response may belong to an earlier request.
    fn states_not_run(&self) -> bool {
        let has =
            |name: &HeaderName, value: &str| self.headers.get(name).is_some_and(|v| v.as_bytes() == value.as_bytes());
        let is_error = self.status.is_client_error() || self.status.is_server_error();
        let is_stated = has(&OUTCOME_HEADER, ExecutionStatus::NotRun.as_str()) && has(&REQUEST_ID_HEADER, self.request);
        self.not_run_status.contains(&self.status.as_u16()) || (is_error && is_stated)
    }
}

impl Attempts {
    /// Records that a permit was granted: from now on a byte may be sent.
    pub fn begin(&mut self) {
        self.is_under_way = true;
    }

    /// Records the end of the attempt and returns what it proves.
    pub fn end(&mut self, end: &AttemptEnd<'_>) -> Proof {
        let proof = Proof::of(end);
        if let Some(finding) = Finding::of(end, proof)
            && self.replaces_description(finding, proof)
        {
            self.finding = Some(finding);
        }
        self.is_under_way = false;
        self.failed += usize::from(!matches!(end, AttemptEnd::Preempted | AttemptEnd::Unused));
        self.broken_off += usize::from(matches!(end, AttemptEnd::BrokeOff));
        self.proof = combine([self.proof, proof]);
        proof
    }

    /// What all attempts prove together.
    pub fn proof(&self) -> Proof {
        match self.is_under_way {
            true => combine([self.proof, Proof::MayHaveRun]),
            false => self.proof,
        }
    }

    /// Whether the request failed on as many endpoints as it may.
    pub fn are_used_up(&self) -> bool {
        self.failed >= MAX_ATTEMPTS || self.broken_off >= MAX_BROKEN_OFF
    }

    /// Outcome of a response that is passed on, whose attempt proves `proof`.
    pub fn response_outcome(&self, proof: Proof) -> RequestOutcome {
        let of = |status, cause: &str| RequestOutcome {
            status,
            cause: cause.to_owned(),
            retry_after_ms: None,
        };
        match (proof, self.proof()) {
            (Proof::Ran, _) => done_outcome("answered"),
            (_, Proof::DidNotRun) => of(ExecutionStatus::NotRun, "endpoint-refused"),
            _ => of(ExecutionStatus::Unknown, "endpoint-status"),
        }
    }

    /// The response after a permit was refused: `refusal` itself only if no earlier attempt may have run.
    pub fn refused(&self, refusal: ErrorResponse) -> ErrorResponse {
        if self.proof() == Proof::DidNotRun {
            return refusal;
        }
        let then = format!("a permit for another attempt was refused: {}", refusal.outcome.cause);
        let mut err = self.unknown(&then);
        err.outcome.retry_after_ms = refusal.outcome.retry_after_ms;
        err
    }

    /// The response if no other attempt follows.
    pub fn stopped(&self, stop: Stop) -> ErrorResponse {
        if self.proof() == Proof::DidNotRun {
            return self.not_run();
        }
        match stop {
            Stop::NoRetryLeft => self.unknown("no retry is allowed now").retry_after(RETRY_AFTER),
            Stop::AttemptsUsed => self.unknown("no further attempt is made").retry_after(RETRY_AFTER),
            Stop::CannotResume => self.unknown("no endpoint could resume it").retry_after(RETRY_AFTER),
            Stop::RunsOnce => self.unknown("it is not sent again"),
        }
    }

    /// The response to a caller that left while it waited for a permit.
    pub fn caller_left(&self) -> ErrorResponse {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        if self.proof() == Proof::DidNotRun {
            return ErrorResponse::not_run(status, "caller-left", "the caller left before the request ran");
        }
        ErrorResponse::unknown(status, "caller-left", &self.describe("the caller left"))
    }

    /// Whether this end replaces the one described so far: unless it proves less, or proves the same and reached no
    /// endpoint while the earlier one did.
    fn replaces_description(&self, finding: Finding, proof: Proof) -> bool {
        let weight = |finding: Finding, proof: Proof| (proof, finding != Finding::Unreachable);
        let current = self.finding.map(|current| weight(current, self.proof));
        current.is_none_or(|current| weight(finding, proof) >= current)
    }

    fn not_run(&self) -> ErrorResponse {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let err = match self.finding {
            Some(Finding::Unreachable) | None => {
                let message = "no endpoint could be reached; nothing was sent";
                ErrorResponse::not_run(status, "endpoint-unreachable", message)
            }
            Some(_) => {
                let message = "the endpoint refused the request before it ran, and no other took it";
                ErrorResponse::not_run(status, "endpoint-refused", message)
            }
        };
        err.retry_after(RETRY_AFTER)
    }

    fn unknown(&self, then: &str) -> ErrorResponse {
        ErrorResponse::unknown(StatusCode::BAD_GATEWAY, "answer-lost", &self.describe(then))
    }

    fn describe(&self, then: &str) -> String {
        let what = match self.finding {
            Some(Finding::Status(status)) => format!("an endpoint answered {}", status.as_u16()),
            Some(Finding::Broken) => String::from("an endpoint's answer did not arrive whole"),
            Some(Finding::Preempted) => String::from("the request was preempted at an endpoint"),
            Some(Finding::Unreachable | Finding::Refused) | None => String::from("an attempt has no known end"),
        };
        format!("{what}, so the request may have run; {then}")
    }
}

impl Finding {
    fn of(end: &AttemptEnd<'_>, proof: Proof) -> Option<Finding> {
        match end {
            AttemptEnd::Unused => None,
            AttemptEnd::Preempted => Some(Finding::Preempted),
            AttemptEnd::Broken | AttemptEnd::BrokeOff => Some(Finding::Broken),
            AttemptEnd::Failed(_) if proof == Proof::DidNotRun => Some(Finding::Unreachable),
            AttemptEnd::Failed(_) => Some(Finding::Broken),
            AttemptEnd::Response(_) if proof == Proof::DidNotRun => Some(Finding::Refused),
            AttemptEnd::Response(head) => Some(Finding::Status(head.status)),
        }
    }
}
