//! What the ends of attempts prove, alone and together, and what the caller is told. Guards against `not-run`, and
//! against the message that nothing was sent, where an endpoint may have begun the request.

use std::io;

use celerytide_entry::attempts::{
    AttemptEnd, Attempts, MAX_ATTEMPTS, MAX_BROKEN_OFF, Proof, ResponseHead, Stop, combine,
};
use celerytide_entry::response::ErrorResponse;
use celerytide_http::client::{Cause, SendError, Stage};
use celerytide_types::ExecutionStatus;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

const REQUEST: &str = "r-1";
const STOPS: [Stop; 4] = [
    Stop::NoRetryLeft,
    Stop::AttemptsUsed,
    Stop::RunsOnce,
    Stop::CannotResume,
];
const PROOFS: [Proof; 3] = [Proof::DidNotRun, Proof::MayHaveRun, Proof::Ran];

enum End {
    Status(u16),
    Failed(Stage),
    Broken,
    BrokeOff,
    Preempted,
    Unused,
}

struct Case {
    name: &'static str,
    end: End,
    headers: &'static [(&'static str, &'static str)],
    not_run_status: &'static [u16],
    want: Proof,
    /// Whether bytes may have left.
    sent: bool,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            name: "",
            end: End::Unused,
            headers: &[],
            not_run_status: &[],
            want: Proof::MayHaveRun,
            sent: true,
        }
    }
}

const STATEMENT: &[(&str, &str)] = &[("celerytide-word", "not-run"), ("x-request-id", REQUEST)];

fn status(name: &'static str, status: u16, want: Proof) -> Case {
    Case {
        name,
        end: End::Status(status),
        want,
        ..Case::default()
    }
}

fn stated(name: &'static str, code: u16, headers: &'static [(&'static str, &'static str)], want: Proof) -> Case {
    Case {
        headers,
        ..status(name, code, want)
    }
}

fn cases() -> Vec<Case> {
    use Proof::{DidNotRun, MayHaveRun, Ran};
    vec![
        status("answered", 200, Ran),
        status("answered with an error", 500, Ran),
        status("answered that the request is faulty", 400, Ran),
        status("502", 502, MayHaveRun),
        status("503", 503, MayHaveRun),
        status("504", 504, MayHaveRun),
        stated("503 with a statement", 503, STATEMENT, DidNotRun),
        stated("429 with a statement", 429, STATEMENT, DidNotRun),
        stated("503 with a statement but no id", 503, &STATEMENT[..1], MayHaveRun),
        stated(
            "503 with a statement about another request",
            503,
            &[("celerytide-word", "not-run"), ("x-request-id", "r-2")],
            MayHaveRun,
        ),
        stated(
            "503 that states nothing",
            503,
            &[("celerytide-word", "unknown"), ("x-request-id", REQUEST)],
            MayHaveRun,
        ),
        stated("200 with a statement", 200, STATEMENT, Ran),
        Case {
            not_run_status: &[409, 503],
            ..status("503 listed by the manifest", 503, DidNotRun)
        },
        Case {
            not_run_status: &[409],
            ..status("503 where the manifest lists another", 503, MayHaveRun)
        },
        Case {
            name: "not connected",
            end: End::Failed(Stage::Connect),
            want: DidNotRun,
            sent: false,
            ..Case::default()
        },
        Case {
            name: "no head",
            end: End::Failed(Stage::Written),
            ..Case::default()
        },
        Case {
            name: "body cut",
            end: End::Failed(Stage::Body),
            ..Case::default()
        },
        Case {
            name: "broken off before any of the response",
            end: End::BrokeOff,
            ..Case::default()
        },
        Case {
            name: "stream broken",
            end: End::Broken,
            ..Case::default()
        },
        Case {
            name: "preempted",
            end: End::Preempted,
            ..Case::default()
        },
        Case {
            name: "unused",
            end: End::Unused,
            want: DidNotRun,
            sent: false,
            ..Case::default()
        },
    ]
}

/// Calls `f` with the end that a case describes.
fn with_end<T>(case: &Case, f: impl FnOnce(&AttemptEnd<'_>) -> T) -> T {
    let mut headers = HeaderMap::new();
    for (name, value) in case.headers {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    match case.end {
        End::Broken => f(&AttemptEnd::Broken),
        End::BrokeOff => f(&AttemptEnd::BrokeOff),
        End::Preempted => f(&AttemptEnd::Preempted),
        End::Unused => f(&AttemptEnd::Unused),
        End::Failed(stage) => f(&AttemptEnd::Failed(&SendError {
            stage,
            source: Cause::Closed,
        })),
        End::Status(status) => f(&AttemptEnd::Response(ResponseHead {
            status: StatusCode::from_u16(status).expect("status"),
            headers: &headers,
            request: REQUEST,
            not_run_status: case.not_run_status,
        })),
    }
}

/// The attempts that ended as `cases` describe, in order.
fn attempts(cases: &[&Case]) -> Attempts {
    let mut attempts = Attempts::default();
    for case in cases {
        attempts.begin();
        with_end(case, |end| attempts.end(end));
    }
    attempts
}

fn refusal() -> ErrorResponse {
    ErrorResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue-full", "the request was refused")
}

/// Every way in which the request can end after `attempts`.
fn responses(attempts: &Attempts) -> Vec<ErrorResponse> {
    let mut responses: Vec<ErrorResponse> = STOPS.map(|stop| attempts.stopped(stop)).into();
    responses.push(attempts.refused(refusal()));
    responses.push(attempts.caller_left());
    responses
}

#[test]
fn the_end_of_an_attempt_has_its_proof() {
    for case in cases() {
        assert_eq!(with_end(&case, Proof::of), case.want, "{}", case.name);
    }
}

#[test]
fn together_attempts_did_not_run_only_if_none_may_have() {
    assert_eq!(combine([]), Proof::DidNotRun);
    for (a, b) in PROOFS.iter().flat_map(|a| PROOFS.map(|b| (*a, b))) {
        let together = combine([a, b]);
        assert_eq!(
            together == Proof::DidNotRun,
            a == Proof::DidNotRun && b == Proof::DidNotRun
        );
        assert_eq!(together == Proof::Ran, a == Proof::Ran || b == Proof::Ran);
        assert_eq!(together, combine([b, a]));
    }
}

#[test]
fn after_two_attempts_the_word_is_that_of_the_stronger_proof() {
    let cases = cases();
    for (first, second) in cases
        .iter()
        .flat_map(|first| cases.iter().map(move |second| (first, second)))
    {
        let attempts = attempts(&[first, second]);
        let did_not_run = first.want == Proof::DidNotRun && second.want == Proof::DidNotRun;
        for err in responses(&attempts) {
            let context = format!("{}, then {}: {err:?}", first.name, second.name);
            assert_eq!(err.outcome.status == ExecutionStatus::NotRun, did_not_run, "{context}");
            assert_ne!(err.outcome.status, ExecutionStatus::Done, "{context}");
            let says_unsent = err.message.contains("nothing was sent");
            assert!(!says_unsent || !(first.sent || second.sent), "{context}");
        }
    }
}

#[test]
fn a_response_that_is_passed_on_has_the_word_of_all_attempts() {
    let cases = cases();
    for (first, last) in cases
        .iter()
        .flat_map(|first| cases.iter().map(move |last| (first, last)))
    {
        let outcome = attempts(&[first, last]).response_outcome(last.want);
        let want = match (first.want, last.want) {
            (_, Proof::Ran) => ExecutionStatus::Done,
            (Proof::DidNotRun, Proof::DidNotRun) => ExecutionStatus::NotRun,
            _ => ExecutionStatus::Unknown,
        };
        assert_eq!(outcome.status, want, "{}, then {}", first.name, last.name);
    }
}

/// A path that forgets to record the end of its attempt must not cause a false `not-run`.
#[test]
fn an_attempt_without_an_end_may_have_run() {
    for earlier in cases() {
        let mut attempts = attempts(&[&earlier]);
        attempts.begin();
        for err in responses(&attempts) {
            assert_eq!(
                err.outcome.status,
                ExecutionStatus::Unknown,
                "{}: {err:?}",
                earlier.name
            );
            assert!(!err.message.contains("nothing was sent"), "{}: {err:?}", earlier.name);
        }
    }
}

#[test]
fn without_an_attempt_the_refusal_is_passed_on() {
    let attempts = Attempts::default();
    let err = attempts.refused(refusal());
    assert_eq!(err.outcome.cause, "queue-full");
    assert_eq!(err.outcome.status, ExecutionStatus::NotRun);
}

struct MessageCase {
    first: End,
    want: &'static str,
}

#[test]
fn a_refused_permit_is_told_with_the_attempt_before_it() {
    let cases = [
        MessageCase {
            first: End::Status(504),
            want: "an endpoint answered 504, so the request may have run; a permit for another attempt was refused: queue-full",
        },
        MessageCase {
            first: End::Preempted,
            want: "the request was preempted at an endpoint, so the request may have run; a permit for another attempt was refused: queue-full",
        },
        MessageCase {
            first: End::Failed(Stage::Written),
            want: "an endpoint's answer did not arrive whole, so the request may have run; a permit for another attempt was refused: queue-full",
        },
        MessageCase {
            first: End::Failed(Stage::Connect),
            want: "the request was refused",
        },
    ];
    for MessageCase { first, want } in cases {
        let case = Case {
            end: first,
            ..Case::default()
        };
        assert_eq!(attempts(&[&case]).refused(refusal()).message, want);
    }
}

/// A preempted request has not failed, so it keeps its attempts; an unused permit costs none either.
#[test]
fn only_failed_attempts_are_counted() {
    for case in cases() {
        let counts = !matches!(case.end, End::Preempted | End::Unused);
        let attempts = attempts(&[&case; MAX_ATTEMPTS]);
        assert_eq!(attempts.are_used_up(), counts, "{}", case.name);
    }
}

/// An endpoint that crashes under a request ends its connection, and the next one may crash as well.
#[test]
fn a_request_that_two_endpoints_broke_off_is_not_tried_at_a_third() {
    struct BreakCase {
        name: &'static str,
        stage: Stage,
        source: Cause,
        tokens: u32,
        max_attempts: usize,
    }
    let reset = || io::Error::from(io::ErrorKind::ConnectionReset);
    let case = |name, stage, source, tokens, max_attempts| BreakCase {
        name,
        stage,
        source,
        tokens,
        max_attempts,
    };
    let cases = [
        case("closed, no head", Stage::Written, Cause::Closed, 0, MAX_BROKEN_OFF),
        case("closed, no token", Stage::Body, Cause::Closed, 0, MAX_BROKEN_OFF),
        case(
            "reset",
            Stage::Written,
            Cause::Read { source: reset() },
            0,
            MAX_BROKEN_OFF,
        ),
        case(
            "write failed",
            Stage::Written,
            Cause::Write { source: reset() },
            0,
            MAX_BROKEN_OFF,
        ),
        case("behind a token", Stage::Body, Cause::Closed, 1, MAX_ATTEMPTS),
        case("silent", Stage::Written, Cause::FirstByteTimeout, 0, MAX_ATTEMPTS),
        case(
            "refused",
            Stage::Connect,
            Cause::Connect { source: reset() },
            0,
            MAX_ATTEMPTS,
        ),
    ];
    for BreakCase {
        name,
        stage,
        source,
        tokens,
        max_attempts,
    } in cases
    {
        let error = SendError { stage, source };
        let mut attempts = Attempts::default();
        let mut count = 0;
        while !attempts.are_used_up() {
            attempts.begin();
            attempts.end(&AttemptEnd::of_error(&error, tokens));
            count += 1;
        }
        assert_eq!(count, max_attempts, "{name}");
    }
}
