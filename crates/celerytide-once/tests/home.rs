//! Single steps of one ticket registry, and copies of its outcomes.

use std::time::Duration;

use celerytide_once::{
    BeginResult, IssueError, IssuerId, LookupResult, Outcome, OutcomeCopies, RegistryOptions, StoredResponse, Ticket,
    TicketRegistry, copy_holders,
};
use celerytide_types::{BootTime, ExecutionStatus};

const CONTENT: u64 = 1;
const OTHER_CONTENT: u64 = 2;

fn at(seconds: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(seconds))
}

fn registry(opts: RegistryOptions) -> TicketRegistry {
    TicketRegistry::new(
        IssuerId {
            instance: "i-1".into(),
            incarnation: 5,
        },
        opts,
    )
}

fn options() -> RegistryOptions {
    RegistryOptions {
        max_tickets: 3,
        unused_ttl: Duration::from_secs(60),
        outcome_ttl: Duration::from_secs(600),
        max_response_bytes: 10,
    }
}

fn response(body: &str) -> Option<StoredResponse> {
    Some(StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: body.into(),
    })
}

fn name(begin: &BeginResult) -> &'static str {
    match begin {
        BeginResult::Run(_) => "run",
        BeginResult::Running => "running",
        BeginResult::Finished(outcome) => outcome.request.status.as_str(),
        BeginResult::Expired => "expired",
        BeginResult::Unknown => "unknown-ticket",
        BeginResult::NotIssuer(_) => "not-issuer",
        BeginResult::OtherRequest => "other-request",
    }
}

#[test]
fn begin_runs_only_an_unused_ticket_of_this_process() {
    struct Case {
        name: &'static str,
        prepare: fn(&TicketRegistry, &Ticket),
        ticket: fn(Ticket) -> Ticket,
        at: BootTime,
        content: u64,
        want: &'static str,
    }
    let case = |name, prepare, ticket, at, content, want| Case {
        name,
        prepare,
        ticket,
        at,
        content,
        want,
    };
    let same = |t: Ticket| t;
    let other_issuer = |t: Ticket| Ticket {
        issuer: IssuerId {
            instance: "i-2".into(),
            ..t.issuer
        },
        ..t
    };
    let other_incarnation = |t: Ticket| Ticket {
        issuer: IssuerId {
            incarnation: 4,
            ..t.issuer
        },
        ..t
    };
    let other_nonce = |t: Ticket| Ticket { nonce: !t.nonce, ..t };
    let no_preparation = |_: &TicketRegistry, _: &Ticket| {};
    let run = |h: &TicketRegistry, t: &Ticket| std::mem::forget(h.begin(t, at(1), CONTENT));
    let not_run = |h: &TicketRegistry, t: &Ticket| drop(h.begin(t, at(1), CONTENT));
    let closed = |h: &TicketRegistry, _: &Ticket| drop(h.close_and_export(at(1)));
    let status_after_expiry = |h: &TicketRegistry, t: &Ticket| drop(h.look_up(t, at(61)));
    let cases = [
        case("unused ticket", no_preparation, same, at(60), CONTENT, "run"),
        case("second request", run, same, at(2), CONTENT, "running"),
        case(
            "second request with other content",
            run,
            same,
            at(2),
            OTHER_CONTENT,
            "other-request",
        ),
        case("after not-run", not_run, same, at(2), CONTENT, "not-run"),
        case("unused for too long", no_preparation, same, at(61), CONTENT, "expired"),
        case(
            "status already reported as expired",
            status_after_expiry,
            same,
            at(59),
            CONTENT,
            "expired",
        ),
        case("closed registry", closed, same, at(2), CONTENT, "expired"),
        case(
            "other issuer",
            no_preparation,
            other_issuer,
            at(1),
            CONTENT,
            "not-issuer",
        ),
        case(
            "other incarnation",
            no_preparation,
            other_incarnation,
            at(1),
            CONTENT,
            "unknown-ticket",
        ),
        case(
            "never issued",
            no_preparation,
            other_nonce,
            at(1),
            CONTENT,
            "unknown-ticket",
        ),
    ];
    for case in cases {
        let registry = registry(options());
        let ticket = registry.issue(at(0)).expect("an empty registry issues");
        (case.prepare)(&registry, &ticket);
        let got = registry.begin(&(case.ticket)(ticket), case.at, case.content);
        assert_eq!(name(&got), case.want, "{}", case.name);
    }
}

#[test]
fn the_status_never_claims_more_than_the_attempt_knows() {
    struct Case {
        name: &'static str,
        may_have_sent: bool,
        endpoint_refused: bool,
        status: Option<ExecutionStatus>,
        want: ExecutionStatus,
    }
    let case = |name, may_have_sent, endpoint_refused, status, want| Case {
        name,
        may_have_sent,
        endpoint_refused,
        status,
        want,
    };
    let cases = [
        case(
            "nothing sent",
            false,
            false,
            Some(ExecutionStatus::NotRun),
            ExecutionStatus::NotRun,
        ),
        case(
            "a byte may have been sent",
            true,
            false,
            Some(ExecutionStatus::NotRun),
            ExecutionStatus::Unknown,
        ),
        case(
            "refused by the endpoint",
            true,
            true,
            Some(ExecutionStatus::NotRun),
            ExecutionStatus::NotRun,
        ),
        case("done", true, false, Some(ExecutionStatus::Done), ExecutionStatus::Done),
        case(
            "unknown",
            true,
            false,
            Some(ExecutionStatus::Unknown),
            ExecutionStatus::Unknown,
        ),
        case("dropped before sending", false, false, None, ExecutionStatus::NotRun),
        case("dropped after sending", true, false, None, ExecutionStatus::Unknown),
    ];
    for case in cases {
        let registry = registry(options());
        let ticket = registry.issue(at(0)).expect("an empty registry issues");
        let BeginResult::Run(mut attempt) = registry.begin(&ticket, at(1), CONTENT) else {
            panic!("{}", case.name)
        };
        if case.may_have_sent {
            attempt.mark_sending();
        }
        if case.endpoint_refused {
            attempt.mark_endpoint_refused();
        }
        match case.status {
            Some(status) => {
                drop(registry.finish(at(2), attempt, Outcome::without_response(status, "test").request, None))
            }
            None => drop(attempt),
        }
        let LookupResult::Finished(outcome) = registry.look_up(&ticket, at(3)) else {
            panic!("{}: no outcome", case.name)
        };
        assert_eq!(outcome.request.status, case.want, "{}", case.name);
    }
}

#[test]
fn a_full_registry_issues_again_after_expired_tickets_are_dropped() {
    let registry = registry(options());
    for _ in 0..3 {
        registry.issue(at(0)).expect("below the limit");
    }
    assert_eq!(registry.issue(at(60)), Err(IssueError::Full { held: 3 }));
    assert_eq!(
        registry.issue(at(120)),
        Err(IssueError::Full { held: 3 }),
        "expired tickets are still known"
    );
    assert!(registry.issue(at(121)).is_ok());
    assert_eq!(registry.sizes().tickets, 1);
    registry.close_and_export(at(122));
    assert_eq!(registry.issue(at(122)), Err(IssueError::Closed));
}

#[test]
fn outcomes_are_kept_longer_than_responses_and_dropped_in_the_end() {
    let registry = registry(options());
    let tickets: Vec<Ticket> = (0..2)
        .map(|_| registry.issue(at(0)).expect("below the limit"))
        .collect();
    for ticket in &tickets {
        let BeginResult::Run(attempt) = registry.begin(ticket, at(1), CONTENT) else {
            panic!("an unused ticket runs")
        };
        registry.finish(
            at(2),
            attempt,
            Outcome::without_response(ExecutionStatus::Done, "ok").request,
            response("sixsix"),
        );
    }
    let bodies: Vec<bool> = tickets
        .iter()
        .map(|t| matches!(registry.look_up(t, at(3)), LookupResult::Finished(o) if o.response.is_some()))
        .collect();
    assert_eq!(bodies, [false, true], "the oldest response is dropped");
    assert_eq!(registry.sizes().response_bytes, 6);
    registry.sweep(at(602));
    assert_eq!(registry.sizes().tickets, 2);
    registry.sweep(at(603));
    assert_eq!(registry.sizes(), Default::default());
    assert_eq!(
        registry.look_up(&tickets[1], at(603)),
        LookupResult::Finished(Outcome::unknown("ticket-not-held"))
    );
}

#[test]
fn copies_return_outcomes_and_never_permit_a_run() {
    let registry = registry(options());
    let [done, unused, running] = [0; 3].map(|_| registry.issue(at(0)).expect("below the limit"));
    let BeginResult::Run(attempt) = registry.begin(&done, at(1), CONTENT) else {
        panic!("an unused ticket runs")
    };
    registry.finish(
        at(1),
        attempt,
        Outcome::without_response(ExecutionStatus::Done, "ok").request,
        response("body"),
    );
    let BeginResult::Run(_attempt) = registry.begin(&running, at(1), CONTENT) else {
        panic!("an unused ticket runs")
    };
    let exported = registry.close_and_export(at(2));
    let copies = OutcomeCopies::new(4096);
    copies.import(exported.clone());
    copies.import(exported);
    assert_eq!(copies.len(), 3);
    struct Case<'a> {
        ticket: &'a Ticket,
        content: u64,
        want: &'static str,
    }
    let case = |ticket, content, want| Case { ticket, content, want };
    let cases = [
        case(&done, CONTENT, "done"),
        case(&done, OTHER_CONTENT, "other-request"),
        case(&unused, CONTENT, "expired"),
        case(&running, CONTENT, "unknown"),
    ];
    for case in cases {
        let got = copies.begin(case.ticket, case.content).expect("a copy is stored");
        assert_eq!(name(&got), case.want);
    }
    assert!(matches!(copies.look_up(&done), Some(LookupResult::Finished(o)) if o.response.is_some()));
    assert!(copies.begin(&Ticket { nonce: 1, ..done }, CONTENT).is_none());
}

#[test]
fn copies_stay_within_their_size_limit() {
    let registry = registry(RegistryOptions {
        max_tickets: 100,
        ..options()
    });
    for _ in 0..100 {
        registry.issue(at(0)).expect("below the limit");
    }
    let copies = OutcomeCopies::new(1024);
    copies.import(registry.close_and_export(at(1)));
    assert_eq!(copies.len(), 4);
}

#[test]
fn sender_and_reader_select_a_common_holder() {
    let ids: Vec<String> = (0..9).map(|n| format!("i-{n}")).collect();
    let without_one: Vec<String> = ids.iter().filter(|id| *id != "i-8").cloned().collect();
    let at_sender = copy_holders("i-3", &ids, 2);
    assert_eq!(at_sender.len(), 2);
    assert!(!at_sender.iter().any(|id| *id == "i-3"));
    let shared = copy_holders("i-3", &without_one, 2)
        .into_iter()
        .filter(|id| at_sender.contains(id))
        .count();
    assert!(shared >= 1, "lists that differ by one instance share a holder");
}
