//! The word that a caller is told when an attempt has ended and the request can't go on, on real processes.
//!
//! Callers send a protected action again after `not-run`, so it must never be said of a request that an endpoint began.
//! A cell is a way in which the attempt ends, a reason why no other attempt follows, and a kind of request.

mod told;

use std::time::Duration;

use celerytide_faults::{Harness, wait_until};
use celerytide_load::caller::CallerRequest;
use told::{ENDINGS, Ending, Kind, MAX_ATTEMPTS, MAX_BROKEN_OFF, RETRY_DRAIN_REQUESTS, differences, start};

/// First-token target under which a request waits 1.6 s for a permit.
const FIRST_TOKEN: Duration = Duration::from_millis(400);
/// First-token target under which a request waits 240 ms for a permit, less than the first backoff of an endpoint.
const SHORT_FIRST_TOKEN: Duration = Duration::from_millis(60);
/// Time for a cancelled request to release its permit.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests with a full set of retries that the retry budget of a new entry allows.
const FULL_RETRY_REQUESTS: usize = 3;
/// Trials of a cell that needs a permit within a short deadline.
const TRIALS: usize = 20;
const REPEATABLE: [Kind; 3] = [Kind::Buffered, Kind::Stream, Kind::Get];

/// A response of a plain service is passed on, whatever its status; only one that breaks is followed by another attempt.
fn is_repeated(kind: Kind, ending: &Ending) -> bool {
    kind != Kind::Get || !ending.name.starts_with('5')
}

fn cell_name(kind: Kind, ending: &Ending, then: &str) -> String {
    format!("{kind:?} x {} x {then}", ending.name)
}

fn check(differences: &[String]) {
    assert!(
        differences.is_empty(),
        "{} differences:\n{}",
        differences.len(),
        differences.join("\n")
    );
}

#[test]
fn a_permit_for_another_attempt_is_refused() {
    let mut found = Vec::new();
    for kind in REPEATABLE {
        let harness = start(2, FIRST_TOKEN, |_| {});
        Harness::block_on(async {
            kind.warm_up(&harness, "first").await;
            for (i, ending) in ENDINGS.iter().enumerate() {
                let held = kind.hold(&harness, &format!("hold-{i}")).await;
                let told = kind.call(&harness, &format!("r-{i}"), ending.fault).await;
                let cell = cell_name(kind, ending, "permit refused");
                found.extend(differences(&cell, ending, &told, 1));
                kind.warm_up(&harness, &format!("{i}")).await;
                drop(held);
                let is_released = || harness.entry_status(0)["requests"]["permits_held"] == 0;
                assert!(wait_until(RELEASE_TIMEOUT, is_released).await, "a permit is held");
            }
        });
    }
    check(&found);
}

#[test]
fn the_retry_budget_is_used_up() {
    let mut found = Vec::new();
    for kind in REPEATABLE {
        // Each endpoint fails once, so that none is in a long backoff.
        let harness = start(
            RETRY_DRAIN_REQUESTS * MAX_BROKEN_OFF + ENDINGS.len(),
            FIRST_TOKEN,
            |_| {},
        );
        Harness::block_on(async {
            kind.warm_up(&harness, "first").await;
            kind.use_up_retries(&harness).await;
            for (i, ending) in ENDINGS.iter().enumerate() {
                let told = kind.call(&harness, &format!("r-{i}"), ending.fault).await;
                let cell = cell_name(kind, ending, "no retry left");
                found.extend(differences(&cell, ending, &told, 1));
            }
        });
    }
    check(&found);
}

#[test]
fn no_other_endpoint_takes_the_request() {
    let mut found = Vec::new();
    for kind in REPEATABLE {
        let harness = start(1, SHORT_FIRST_TOKEN, |_| {});
        Harness::block_on(async {
            for (i, ending) in ENDINGS.iter().enumerate() {
                kind.warm_up(&harness, &format!("{i}")).await;
                let mut told = kind.call(&harness, &format!("r-{i}"), ending.fault).await;
                for trial in 0..TRIALS {
                    if told.permits > 0 {
                        break;
                    }
                    told = kind.call(&harness, &format!("r-{i}-{trial}"), ending.fault).await;
                }
                let cell = cell_name(kind, ending, "no other endpoint");
                found.extend(differences(&cell, ending, &told, 1));
            }
        });
    }
    check(&found);
}

#[test]
fn the_last_attempt_ends() {
    let mut found = Vec::new();
    for kind in REPEATABLE {
        for endings in ENDINGS.chunks(FULL_RETRY_REQUESTS) {
            let harness = start(FULL_RETRY_REQUESTS * MAX_ATTEMPTS, FIRST_TOKEN, |_| {});
            Harness::block_on(async {
                kind.warm_up(&harness, "first").await;
                for (i, ending) in endings.iter().enumerate() {
                    let told = kind.call(&harness, &format!("r-{i}"), ending.fault).await;
                    let cell = cell_name(kind, ending, "last attempt");
                    let permits = if is_repeated(kind, ending) {
                        ending.max_attempts
                    } else {
                        1
                    };
                    found.extend(differences(&cell, ending, &told, permits));
                }
            });
        }
    }
    check(&found);
}

#[test]
fn a_request_that_may_run_once_only_is_not_repeated() {
    let mut found = Vec::new();
    for kind in [Kind::Post, Kind::Ticket] {
        let harness = start(ENDINGS.len(), FIRST_TOKEN, |_| {});
        Harness::block_on(async {
            Kind::Get.warm_up(&harness, "first").await;
            for (i, ending) in ENDINGS.iter().enumerate() {
                let told = kind.call(&harness, &format!("r-{i}"), ending.fault).await;
                let cell = cell_name(kind, ending, "not repeated");
                found.extend(differences(&cell, ending, &told, 1));
            }
        });
    }
    check(&found);
}

/// A caller may take a new ticket after `not-run`, so a repeated call must not get that word from a check that comes
/// before the ticket is looked at: the action has run under an earlier call.
#[test]
fn a_repeated_call_that_is_turned_away_does_not_deny_the_run_of_its_ticket() {
    struct Case {
        name: &'static str,
        change: fn(&mut CallerRequest),
        cause: &'static str,
    }
    let cases = [
        Case {
            name: "unknown key",
            change: |req| req.key = String::from("nobody"),
            cause: "unknown-key",
        },
        Case {
            name: "unknown class",
            change: |req| req.class = Some(String::from("nothing")),
            cause: "unknown-class",
        },
        Case {
            name: "request rate used up",
            change: |_| {},
            cause: "customer-limit",
        },
    ];
    // The customer may send two requests: for the ticket, and with it.
    let harness = start(1, FIRST_TOKEN, |deployment| {
        for customer in &mut deployment.customers {
            (customer.requests_per_second, customer.burst) = (0.001, 2);
        }
    });
    Harness::block_on(async {
        let mut req = Kind::Ticket.request(&harness, "r");
        req.ticket = harness.take_ticket(0).await;
        assert!(harness.send(&req).await.is_done(), "the action runs");
        for case in cases {
            let mut repeated = req.clone();
            (case.change)(&mut repeated);
            let outcome = harness.send(&repeated).await;
            assert_eq!(
                (outcome.word.as_str(), outcome.cause.as_str()),
                ("unknown", case.cause),
                "{}",
                case.name
            );
            let ticket = req.ticket.clone().unwrap_or_default();
            let state = harness.ticket_status(0, &ticket).await.expect("ticket");
            assert_eq!(state["word"], "done", "{}", case.name);
        }
    });
}
