//! Single steps of one home.

use std::time::Duration;

use celerytide_once::{
    BeginResult, Home, HomeId, HomeOptions, IssueError, LookupResult, Outcome, OutcomeCopies, StoredAnswer, Ticket,
    copy_holders,
};
use celerytide_types::{BootTime, ExecutionStatus};

const CONTENT: u64 = 1;
const OTHER_CONTENT: u64 = 2;

fn at(seconds: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(seconds))
}

fn home(opts: HomeOptions) -> Home {
    Home::new(
        HomeId {
            instance: "i-1".into(),
            incarnation: 5,
        },
        opts,
    )
}

fn options() -> HomeOptions {
    HomeOptions {
        max_tickets: 3,
        unused_for: Duration::from_secs(60),
        outcome_for: Duration::from_secs(600),
        max_answer_bytes: 10,
    }
}

fn answer(body: &str) -> Option<StoredAnswer> {
    Some(StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.into(),
    })
}

fn name(begin: &BeginResult) -> &'static str {
    match begin {
        BeginResult::Run(_) => "run",
        BeginResult::Running => "running",
        BeginResult::Finished(outcome) => outcome.word.status.as_str(),
        BeginResult::Expired => "expired",
        BeginResult::Unknown => "unknown-ticket",
        BeginResult::NotHome(_) => "not-home",
        BeginResult::OtherRequest => "other-request",
    }
}

#[test]
fn begin_runs_only_an_unused_ticket_of_this_home() {
    struct Case {
        name: &'static str,
        prepare: fn(&Home, &Ticket),
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
    let other_home = |t: Ticket| Ticket {
        home: HomeId {
            instance: "i-2".into(),
            ..t.home
        },
        ..t
    };
    let other_incarnation = |t: Ticket| Ticket {
        home: HomeId {
            incarnation: 4,
            ..t.home
        },
        ..t
    };
    let other_nonce = |t: Ticket| Ticket { nonce: !t.nonce, ..t };
    let no_preparation = |_: &Home, _: &Ticket| {};
    let run = |h: &Home, t: &Ticket| std::mem::forget(h.begin(t, at(1), CONTENT));
    let not_run = |h: &Home, t: &Ticket| drop(h.begin(t, at(1), CONTENT));
    let closed = |h: &Home, _: &Ticket| drop(h.export(at(1)));
    let status_after_expiry = |h: &Home, t: &Ticket| drop(h.look_up(t, at(61)));
    let cases = [
        case("unused ticket", no_preparation, same, at(60), CONTENT, "run"),
        case("second call", run, same, at(2), CONTENT, "running"),
        case(
            "second call with other content",
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
        case("closed home", closed, same, at(2), CONTENT, "expired"),
        case("other home", no_preparation, other_home, at(1), CONTENT, "not-home"),
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
        let home = home(options());
        let ticket = home.issue(at(0)).expect("an empty home issues");
        (case.prepare)(&home, &ticket);
        let got = home.begin(&(case.ticket)(ticket), case.at, case.content);
        assert_eq!(name(&got), case.want, "{}", case.name);
    }
}

#[test]
fn the_final_word_never_claims_more_than_the_attempt_knows() {
    struct Case {
        name: &'static str,
        may_have_sent: bool,
        endpoint_refused: bool,
        word: Option<ExecutionStatus>,
        want: ExecutionStatus,
    }
    let case = |name, may_have_sent, endpoint_refused, word, want| Case {
        name,
        may_have_sent,
        endpoint_refused,
        word,
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
            "refused by the endpoint's contract",
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
        let home = home(options());
        let ticket = home.issue(at(0)).expect("an empty home issues");
        let BeginResult::Run(mut attempt) = home.begin(&ticket, at(1), CONTENT) else {
            panic!("{}", case.name)
        };
        if case.may_have_sent {
            attempt.mark_sending();
        }
        if case.endpoint_refused {
            attempt.mark_endpoint_refused();
        }
        match case.word {
            Some(word) => drop(home.finish(at(2), attempt, Outcome::without_answer(word, "test").word, None)),
            None => drop(attempt),
        }
        let LookupResult::Finished(outcome) = home.look_up(&ticket, at(3)) else {
            panic!("{}: no outcome", case.name)
        };
        assert_eq!(outcome.word.status, case.want, "{}", case.name);
    }
}

#[test]
fn a_full_home_issues_again_after_expired_tickets_are_dropped() {
    let home = home(options());
    for _ in 0..3 {
        home.issue(at(0)).expect("below the bound");
    }
    assert_eq!(home.issue(at(60)), Err(IssueError::Full { held: 3 }));
    assert_eq!(
        home.issue(at(120)),
        Err(IssueError::Full { held: 3 }),
        "expired tickets are still known"
    );
    assert!(home.issue(at(121)).is_ok());
    assert_eq!(home.sizes().tickets, 1);
    home.export(at(122));
    assert_eq!(home.issue(at(122)), Err(IssueError::Closed));
}

#[test]
fn outcomes_are_kept_longer_than_answers_and_dropped_in_the_end() {
    let home = home(options());
    let tickets: Vec<Ticket> = (0..2).map(|_| home.issue(at(0)).expect("below the bound")).collect();
    for ticket in &tickets {
        let BeginResult::Run(attempt) = home.begin(ticket, at(1), CONTENT) else {
            panic!("an unused ticket runs")
        };
        home.finish(
            at(2),
            attempt,
            Outcome::without_answer(ExecutionStatus::Done, "ok").word,
            answer("sixsix"),
        );
    }
    let bodies: Vec<bool> = tickets
        .iter()
        .map(|t| matches!(home.look_up(t, at(3)), LookupResult::Finished(o) if o.answer.is_some()))
        .collect();
    assert_eq!(bodies, [false, true], "the oldest answer is dropped");
    assert_eq!(home.sizes().answer_bytes, 6);
    home.sweep(at(602));
    assert_eq!(home.sizes().tickets, 2);
    home.sweep(at(603));
    assert_eq!(home.sizes(), Default::default());
    assert_eq!(
        home.look_up(&tickets[1], at(603)),
        LookupResult::Finished(Outcome::unknown("ticket-not-held"))
    );
}

#[test]
fn copies_return_outcomes_and_never_permit_a_run() {
    let home = home(options());
    let [done, unused, running] = [0; 3].map(|_| home.issue(at(0)).expect("below the bound"));
    let BeginResult::Run(attempt) = home.begin(&done, at(1), CONTENT) else {
        panic!("an unused ticket runs")
    };
    home.finish(
        at(1),
        attempt,
        Outcome::without_answer(ExecutionStatus::Done, "ok").word,
        answer("body"),
    );
    let BeginResult::Run(_attempt) = home.begin(&running, at(1), CONTENT) else {
        panic!("an unused ticket runs")
    };
    let exported = home.export(at(2));
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
    assert!(matches!(copies.look_up(&done), Some(LookupResult::Finished(o)) if o.answer.is_some()));
    assert!(copies.begin(&Ticket { nonce: 1, ..done }, CONTENT).is_none());
}

#[test]
fn copies_stay_within_their_size_limit() {
    let home = home(HomeOptions {
        max_tickets: 100,
        ..options()
    });
    for _ in 0..100 {
        home.issue(at(0)).expect("below the bound");
    }
    let copies = OutcomeCopies::new(1024);
    copies.import(home.export(at(1)));
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
    assert!(shared >= 1, "lists that differ by one entry share a holder");
}
