//! Cold starts, slow and failing endpoints, load reports, and trust in the owner's view. An endpoint that gets its full
//! load while it is cold falls over.

mod common;

use celerytide_policy::{Ended, EndpointState, LoadReport, Options, Pool, PoolPlan, Trust};
use common::{
    WHOLE, at_ms, class, endpoint, enqueue, fill, grant_all, load_report, permits, pool, request, warm_pool, warm_up,
};

struct ColdCase {
    name: &'static str,
    apply: fn(&mut Pool),
    want: EndpointState,
}

#[test]
fn evidence_of_a_cold_start_marks_an_endpoint_cold() {
    let cases = [
        ColdCase {
            name: "no event",
            apply: |_| {},
            want: EndpointState::Warm,
        },
        ColdCase {
            name: "same start time",
            apply: |pool| {
                pool.report(at_ms(100), "e", load_report(0, 1, 10));
                pool.report(at_ms(200), "e", load_report(0, 1, 20));
            },
            want: EndpointState::Warm,
        },
        ColdCase {
            name: "changed start time",
            apply: |pool| {
                pool.report(at_ms(100), "e", load_report(0, 1, 10));
                pool.report(at_ms(200), "e", load_report(0, 2, 20));
            },
            want: EndpointState::Cold,
        },
        ColdCase {
            name: "older report with another start time",
            apply: |pool| {
                pool.report(at_ms(100), "e", load_report(0, 2, 20));
                pool.report(at_ms(200), "e", load_report(0, 1, 10));
            },
            want: EndpointState::Warm,
        },
        ColdCase {
            name: "report of being cold",
            apply: |pool| {
                let cold = Some(true);
                pool.report(
                    at_ms(100),
                    "e",
                    LoadReport {
                        cold,
                        ..load_report(0, 1, 10)
                    },
                );
            },
            want: EndpointState::Cold,
        },
        ColdCase {
            name: "reset connection",
            apply: |pool| {
                let running = fill(pool, 100, "low");
                pool.settle(at_ms(110), running[0], Ended::Failed);
            },
            want: EndpointState::Cold,
        },
        ColdCase {
            name: "refused connection",
            apply: |pool| {
                let running = fill(pool, 100, "low");
                pool.settle(at_ms(110), running[0], Ended::NotStarted);
            },
            want: EndpointState::Cold,
        },
        ColdCase {
            name: "caller's cancellation",
            apply: |pool| {
                let running = fill(pool, 100, "low");
                pool.settle(at_ms(110), running[0], Ended::Cancelled);
            },
            want: EndpointState::Warm,
        },
        ColdCase {
            name: "slow response",
            apply: |pool| {
                let running = fill(pool, 100, "low");
                pool.settle(at_ms(110), running[0], Ended::Slow);
            },
            want: EndpointState::Suspect,
        },
        ColdCase {
            name: "long silence",
            apply: |pool| {
                pool.expire(at_ms(70_000));
            },
            want: EndpointState::Cold,
        },
        ColdCase {
            name: "jump in time to first token",
            apply: |pool| {
                let running = fill(pool, 100, "low");
                pool.progress(at_ms(2_000), running[0], 1);
            },
            want: EndpointState::Cold,
        },
        ColdCase {
            name: "first token within the floor",
            apply: |pool| {
                let running = fill(pool, 100, "low");
                pool.progress(at_ms(600), running[0], 1);
            },
            want: EndpointState::Warm,
        },
    ];
    for case in cases {
        let mut pool = warm_pool(Options::default());
        (case.apply)(&mut pool);
        assert_eq!(pool.status().endpoints[0].state, case.want, "{}", case.name);
    }
}

#[test]
fn cold_start_lasts_its_minimum_time() {
    let classes = vec![class("low", 3, 0.0)];
    let mut pool = pool(Options::default(), vec![endpoint("e", 4, 1)], classes.clone());
    let endpoints = vec![endpoint("e", 4, 1), endpoint("f", 4, 1)];
    let customers = Vec::new();
    pool.apply(
        at_ms(0),
        PoolPlan {
            endpoints,
            classes,
            customers,
        },
    );
    for round in 0..20 {
        let now = at_ms(round * 10);
        enqueue(&mut pool, now, request("low", "c", 1_000_000));
        enqueue(&mut pool, now, request("low", "c", 1_000_000));
        for permit in permits(&grant_all(&mut pool, now)) {
            pool.settle(now, permit, WHOLE);
        }
    }
    let states = |pool: &Pool| pool.status().endpoints.iter().map(|row| row.state).collect::<Vec<_>>();
    assert_eq!(
        states(&pool),
        [EndpointState::Warm, EndpointState::Cold],
        "the second endpoint was added later"
    );
    for step in 0..12 {
        let now = at_ms(10_000 + 10 * step);
        enqueue(&mut pool, now, request("low", "c", 1_000_000));
        for permit in permits(&grant_all(&mut pool, now)) {
            pool.settle(now, permit, WHOLE);
        }
    }
    assert_eq!(states(&pool), [EndpointState::Warm, EndpointState::Warm]);
}

#[test]
fn recently_started_endpoint_of_the_first_plan_stays_cold() {
    let mut pool = pool(
        Options::default(),
        vec![endpoint("e", 4, 1)],
        vec![class("low", 3, 0.0)],
    );
    pool.report(at_ms(0), "e", load_report(0, 50_000, 52_000));
    warm_up(&mut pool, 0);
    assert_eq!(
        pool.status().endpoints[0].state,
        EndpointState::Cold,
        "its process started two seconds ago"
    );
    warm_up(&mut pool, 8_000);
    assert_eq!(pool.status().endpoints[0].state, EndpointState::Warm);
}

#[test]
fn endpoint_slower_than_the_others_gets_less_work_and_recovers() {
    let endpoints = (0..4).map(|at| endpoint(&format!("e{at}"), 4, 1)).collect();
    let mut pool = pool(Options::default(), endpoints, vec![class("low", 3, 0.0)]);
    let mut run = |from_ms: u64, slow_ms: u64| {
        for round in 0..60 {
            let begun = from_ms + round * 500;
            for _ in 0..8 {
                enqueue(&mut pool, at_ms(begun), request("low", "c", 10_000_000));
            }
            let running = grant_all(&mut pool, at_ms(begun));
            for grant in &running {
                pool.progress(at_ms(begun + 10), grant.permit, 1);
            }
            for grant in running {
                let took = if grant.endpoint == "e0" { slow_ms } else { 40 };
                pool.settle(at_ms(begun + 10 + took), grant.permit, WHOLE);
            }
        }
        pool.status().endpoints[0].clone()
    };
    assert_eq!(run(0, 40).state, EndpointState::Warm);
    let slow = run(30_000, 400);
    assert_eq!(slow.state, EndpointState::Suspect);
    assert!(slow.limit <= 2, "{}", slow.limit);
    let back = run(60_000, 40);
    assert_eq!((back.state, back.limit), (EndpointState::Warm, 4));
}

#[test]
fn endpoint_that_refuses_connections_is_probed_with_growing_backoff() {
    let endpoints = vec![endpoint("e", 4, 2), endpoint("f", 1, 1)];
    let mut pool = pool(Options::default(), endpoints, vec![class("low", 3, 0.0)]);
    for _ in 0..10 {
        enqueue(&mut pool, at_ms(0), request("low", "c", 1_000_000));
    }
    let mut probes = Vec::new();
    for now_ms in (0..4000).step_by(10) {
        pool.expire(at_ms(now_ms));
        for grant in grant_all(&mut pool, at_ms(now_ms)) {
            if grant.endpoint == "e" {
                probes.push(now_ms);
                pool.settle(at_ms(now_ms), grant.permit, Ended::NotStarted);
            }
        }
    }
    assert_eq!(
        probes,
        [0, 0, 250, 750, 1750, 3750],
        "two grants are made at once before the first connection is refused"
    );
    let probe = pool.next_expiry().expect("a further probe is scheduled");
    assert_eq!(probe, at_ms(3750 + 4000));
    let permit = grant_all(&mut pool, probe)[0].permit;
    assert!(grant_all(&mut pool, probe).is_empty(), "one probe at a time");
    pool.progress(probe, permit, 1);
    assert_eq!(grant_all(&mut pool, probe).len(), 1, "a response ends the probing");
}

#[test]
fn planned_change_of_owners_keeps_endpoints_warm() {
    let mut previous = warm_pool(Options::default());
    previous.report(at_ms(90), "e", load_report(0, 7, 20_000));
    let warm_limits = previous.warm_limits();
    assert_eq!((warm_limits[0].limit, warm_limits[0].started_unix_ms), (4, Some(7)));
    let classes = || vec![class("high", 1, 0.0), class("low", 3, 0.0)];
    let successor = || pool(Options::default(), vec![endpoint("e", 4, 1)], classes());

    let mut warm = successor();
    assert_eq!(warm.restore_warm_limits(&warm_limits), ["e"]);
    assert_eq!(fill(&mut warm, 100, "low").len(), 4);

    let mut restarted = successor();
    restarted.report(at_ms(95), "e", load_report(0, 8, 20_000));
    assert!(restarted.restore_warm_limits(&warm_limits).is_empty());
    assert_eq!(fill(&mut restarted, 100, "low").len(), 1);

    let mut later = successor();
    later.restore_warm_limits(&warm_limits);
    later.report(at_ms(95), "e", load_report(0, 8, 20_000));
    assert_eq!(
        fill(&mut later, 100, "low").len(),
        1,
        "the next report shows the restart"
    );

    let mut failed = successor();
    let running = fill(&mut failed, 50, "low");
    failed.settle(at_ms(60), running[0], Ended::Failed);
    assert!(failed.restore_warm_limits(&warm_limits).is_empty());
}

#[test]
fn reported_work_of_other_senders_lowers_the_limit() {
    let mut pool = warm_pool(Options::default());
    pool.report(at_ms(90), "e", load_report(3, 1, 10));
    assert_eq!(
        pool.status().endpoints[0].limit,
        2,
        "one of the three requests may be the pool's own"
    );
    pool.report(at_ms(95), "e", load_report(9, 1, 20));
    assert_eq!(pool.status().endpoints[0].limit, 0);
    pool.expire(at_ms(11_000));
    assert_eq!(pool.status().endpoints[0].limit, 4, "the latest report is outdated");
}

struct TrustCase {
    name: &'static str,
    trust: Trust,
    reported: Option<u32>,
    warm: bool,
    want: u32,
}

#[test]
fn trust_bounds_what_is_used() {
    let half = Trust::Taking { share: 0.5 };
    let case = |name, trust, reported, warm, want| TrustCase {
        name,
        trust,
        reported,
        warm,
        want,
    };
    let cases = [
        case("settled, warm", Trust::Settled, None, true, 4),
        case("settled, cold", Trust::Settled, None, false, 2),
        case("stale, warm", Trust::Stale, None, true, 4),
        case("stale, cold", Trust::Stale, None, false, 0),
        case("taking, warm", half, None, true, 2),
        case("taking, cold, no report", half, None, false, 0),
        case("taking, cold, work of other senders", half, Some(1), false, 0),
        case("taking, cold, no work of other senders", half, Some(0), false, 1),
    ];
    for case in cases {
        let classes = vec![class("high", 1, 0.0), class("low", 3, 0.0)];
        let mut pool = pool(Options::default(), vec![endpoint("e", 4, 2)], classes);
        if case.warm {
            warm_up(&mut pool, 0);
        }
        pool.set_trust(at_ms(90), case.trust);
        if let Some(reported) = case.reported {
            pool.report(at_ms(95), "e", load_report(reported, 1, 20_000));
            assert_eq!(
                pool.status().endpoints[0].limit,
                0,
                "{}: the report may be older than the change of trust",
                case.name
            );
            pool.report(at_ms(10_100), "e", load_report(reported, 1, 30_000));
        }
        assert_eq!(pool.status().endpoints[0].limit, case.want, "{}", case.name);
        let granted = fill(&mut pool, 10_200, "low").len();
        assert_eq!(granted, case.want as usize, "{}", case.name);
    }
}
