//! Runners that are brittle: whom they let wait, what they refuse, and when they fall over.

use std::thread::{scope, sleep};
use std::time::Duration;

use celerytide_standin::platform::caller::{Response, get, headers};
use celerytide_standin::platform::{Brittle, NOTICE_TIME, Runner, RunnerMode};

const BRITTLE: Brittle = Brittle {
    rejections_per_s: 3,
    slots: 2,
    waiting: 1,
};

/// Requests that come at once, and what becomes of them.
struct Case {
    name: &'static str,
    has_been_told: bool,
    requests: usize,
    served: usize,
    refused: usize,
    falls: usize,
}

const CASES: [Case; 4] = [
    case("all may wait at first", false, 9, (9, 0), 0),
    case("one may wait later", true, 3, (3, 0), 0),
    case("as many are refused as it bears", true, 6, (3, 3), 0),
    case("one more and it falls over", true, 7, (0, 3), 1),
];

const fn case(
    name: &'static str,
    has_been_told: bool,
    requests: usize,
    (served, refused): (usize, usize),
    falls: usize,
) -> Case {
    Case {
        name,
        has_been_told,
        requests,
        served,
        refused,
        falls,
    }
}

fn send_at_once(runner: &Runner, requests: usize) -> Vec<Response> {
    let send = |n: usize| get(runner.address, "/once/a", &headers(&format!("q{n}"), "4000")).unwrap_or_default();
    scope(|s| {
        let sent: Vec<_> = (0..requests).map(|n| s.spawn(move || send(n))).collect();
        sent.into_iter().map(|sent| sent.join().expect("request")).collect()
    })
}

#[test]
fn a_brittle_runner_says_so_refuses_and_falls_over() {
    for case in &CASES {
        let runner = Runner::start("a", RunnerMode::Late(300)).expect("runner");
        runner.set_brittle(Some(BRITTLE));
        if case.has_been_told {
            sleep(NOTICE_TIME);
        }
        let responses = send_at_once(&runner, case.requests);
        let count = |status| responses.iter().filter(|response| response.status == status).count();
        let told = responses.iter().filter(|response| response.status != 0);
        assert!(told.clone().all(|r| r.header("server-brittle") == "3"), "{}", case.name);
        assert_eq!((count(200), count(503)), (case.served, case.refused), "{}", case.name);
        assert_eq!(runner.falls().len(), case.falls, "{}", case.name);
        assert_eq!(runner.crashes().len(), case.falls, "{}", case.name);
        let named: usize = runner.falls().iter().map(|fall| fall.rejected.len()).sum();
        assert_eq!(named, case.falls * (BRITTLE.rejections_per_s + 1), "{}", case.name);
    }
}

/// The second life of a runner has all its slots.
#[test]
fn a_runner_that_fell_over_serves_again() {
    let runner = Runner::start("a", RunnerMode::Late(300)).expect("runner");
    runner.set_brittle(Some(BRITTLE));
    sleep(NOTICE_TIME);
    send_at_once(&runner, 7);
    sleep(Duration::from_secs(4));
    let responses = send_at_once(&runner, 3);
    assert!(responses.iter().all(|response| response.status == 200), "{responses:?}");
}
