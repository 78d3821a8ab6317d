//! Cold starts, slow and failing endpoints, reports, and trust in the owner's view.

mod common;

use celerytide_policy::{Ended, EndpointState, LoadReport, Options, Pool, PoolPlan, Trust};
use common::{WHOLE, at_ms, class, endpoint, fill, grants, load, permits, pool, queue, request, warm, warm_up};

struct Chill {
    name: &'static str,
    act: fn(&mut Pool),
    want: EndpointState,
}

#[test]
fn signs_of_a_cold_start_make_an_endpoint_cold() {
    let cases = [
        Chill {
            name: "nothing",
            act: |_| {},
            want: EndpointState::Warm,
        },
        Chill {
            name: "same start time",
            act: |pool| {
                pool.report(at_ms(100), "e", load(0, 1, 10));
                pool.report(at_ms(200), "e", load(0, 1, 20));
            },
            want: EndpointState::Warm,
        },
        Chill {
            name: "changed start time",
            act: |pool| {
                pool.report(at_ms(100), "e", load(0, 1, 10));
                pool.report(at_ms(200), "e", load(0, 2, 20));
            },
            want: EndpointState::Cold,
        },
        Chill {
            name: "older report with another start time",
            act: |pool| {
                pool.report(at_ms(100), "e", load(0, 2, 20));
                pool.report(at_ms(200), "e", load(0, 1, 10));
            },
            want: EndpointState::Warm,
        },
        Chill {
            name: "its own word",
            act: |pool| {
                let cold = Some(true);
                pool.report(at_ms(100), "e", LoadReport { cold, ..load(0, 1, 10) });
            },
            want: EndpointState::Cold,
        },
        Chill {
            name: "reset connection",
            act: |pool| {
                let running = fill(pool, 100, "low");
                pool.settle(at_ms(110), running[0], Ended::Failed);
            },
            want: EndpointState::Cold,
        },
        Chill {
            name: "refused connection",
            act: |pool| {
                let running = fill(pool, 100, "low");
                pool.settle(at_ms(110), running[0], Ended::NotStarted);
            },
            want: EndpointState::Cold,
        },
        Chill {
            name: "caller's cancellation",
            act: |pool| {
                let running = fill(pool, 100, "low");
                pool.settle(at_ms(110), running[0], Ended::Cancelled);
            },
            want: EndpointState::Warm,
        },
        Chill {
            name: "slowness",
            act: |pool| {
                let running = fill(pool, 100, "low");
                pool.settle(at_ms(110), running[0], Ended::Slow);
            },
            want: EndpointState::Suspect,
        },
        Chill {
            name: "long silence",
            act: |pool| {
                pool.expire(at_ms(70_000));
            },
            want: EndpointState::Cold,
        },
        Chill {
            name: "jump in time to first token",
            act: |pool| {
                let running = fill(pool, 100, "low");
                pool.progress(at_ms(2_000), running[0], 1);
            },
            want: EndpointState::Cold,
        },
        Chill {
            name: "first token within the floor",
            act: |pool| {
                let running = fill(pool, 100, "low");
                pool.progress(at_ms(600), running[0], 1);
            },
            want: EndpointState::Warm,
        },
    ];
    for case in cases {
        let mut pool = warm(Options::default());
        (case.act)(&mut pool);
        assert_eq!(pool.status().endpoints[0].state, case.want, "{}", case.name);
    }
}

#[test]
fn cold_start_lasts_its_least_time() {
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
        queue(&mut pool, now, request("low", "c", 1_000_000));
        queue(&mut pool, now, request("low", "c", 1_000_000));
        for permit in permits(&grants(&mut pool, now)) {
            pool.settle(now, permit, WHOLE);
        }
    }
    let states = |pool: &Pool| pool.status().endpoints.iter().map(|row| row.state).collect::<Vec<_>>();
    assert_eq!(
        states(&pool),
        [EndpointState::Warm, EndpointState::Cold],
        "the second one appeared later"
    );
    for step in 0..12 {
        let now = at_ms(10_000 + 10 * step);
        queue(&mut pool, now, request("low", "c", 1_000_000));
        for permit in permits(&grants(&mut pool, now)) {
            pool.settle(now, permit, WHOLE);
        }
    }
    assert_eq!(states(&pool), [EndpointState::Warm, EndpointState::Warm]);
}

#[test]
fn young_endpoint_of_the_first_plan_stays_cold() {
    let mut pool = pool(
        Options::default(),
        vec![endpoint("e", 4, 1)],
        vec![class("low", 3, 0.0)],
    );
    pool.report(at_ms(0), "e", load(0, 50_000, 52_000));
    warm_up(&mut pool, 0);
    assert_eq!(
        pool.status().endpoints[0].state,
        EndpointState::Cold,
        "it started two seconds ago"
    );
    warm_up(&mut pool, 8_000);
    assert_eq!(pool.status().endpoints[0].state, EndpointState::Warm);
}

#[test]
fn endpoint_slower_than_its_kin_is_used_less_and_comes_back() {
    let endpoints = (0..4).map(|at| endpoint(&format!("e{at}"), 4, 1)).collect();
    let mut pool = pool(Options::default(), endpoints, vec![class("low", 3, 0.0)]);
    let mut run = |from_ms: u64, slow_ms: u64| {
        for round in 0..60 {
            let begun = from_ms + round * 500;
            for _ in 0..8 {
                queue(&mut pool, at_ms(begun), request("low", "c", 10_000_000));
            }
            let running = grants(&mut pool, at_ms(begun));
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
fn endpoint_that_refuses_is_probed_with_growing_pauses() {
    let endpoints = vec![endpoint("e", 4, 2), endpoint("f", 1, 1)];
    let mut pool = pool(Options::default(), endpoints, vec![class("low", 3, 0.0)]);
    for _ in 0..10 {
        queue(&mut pool, at_ms(0), request("low", "c", 1_000_000));
    }
    let mut probes = Vec::new();
    for now_ms in (0..4000).step_by(10) {
        pool.expire(at_ms(now_ms));
        for grant in grants(&mut pool, at_ms(now_ms)) {
            if grant.endpoint == "e" {
                probes.push(now_ms);
                pool.settle(at_ms(now_ms), grant.permit, Ended::NotStarted);
            }
        }
    }
    assert_eq!(
        probes,
        [0, 0, 250, 750, 1750, 3750],
        "two go out at once before the first is refused"
    );
    let probe = pool.next_expiry().expect("the next probe is due some time");
    assert_eq!(probe, at_ms(3750 + 4000));
    let permit = grants(&mut pool, probe)[0].permit;
    assert!(grants(&mut pool, probe).is_empty(), "one probe at a time");
    pool.progress(probe, permit, 1);
    assert_eq!(grants(&mut pool, probe).len(), 1, "it answers again");
}

#[test]
fn planned_change_of_owners_keeps_warm_endpoints_warm() {
    let mut former = warm(Options::default());
    former.report(at_ms(90), "e", load(0, 7, 20_000));
    let warm_limits = former.warm_limits();
    assert_eq!((warm_limits[0].limit, warm_limits[0].started_unix_ms), (4, Some(7)));
    let classes = || vec![class("high", 1, 0.0), class("low", 3, 0.0)];
    let successor = || pool(Options::default(), vec![endpoint("e", 4, 1)], classes());

    let mut warm = successor();
    assert_eq!(warm.restore_warm_limits(&warm_limits), ["e"]);
    assert_eq!(fill(&mut warm, 100, "low").len(), 4);

    let mut restarted = successor();
    restarted.report(at_ms(95), "e", load(0, 8, 20_000));
    assert!(restarted.restore_warm_limits(&warm_limits).is_empty());
    assert_eq!(fill(&mut restarted, 100, "low").len(), 1);

    let mut later = successor();
    later.restore_warm_limits(&warm_limits);
    later.report(at_ms(95), "e", load(0, 8, 20_000));
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
fn reported_foreign_work_takes_from_the_limit() {
    let mut pool = warm(Options::default());
    pool.report(at_ms(90), "e", load(3, 1, 10));
    assert_eq!(pool.status().endpoints[0].limit, 2, "one of the three may be its own");
    pool.report(at_ms(95), "e", load(9, 1, 20));
    assert_eq!(pool.status().endpoints[0].limit, 0);
    pool.expire(at_ms(11_000));
    assert_eq!(pool.status().endpoints[0].limit, 4, "no report came since");
}

struct Trusted {
    name: &'static str,
    trust: Trust,
    reported: Option<u32>,
    warm: bool,
    want: u32,
}

#[test]
fn trust_bounds_what_is_used() {
    let half = Trust::Taking { share: 0.5 };
    let case = |name, trust, reported, warm, want| Trusted {
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
        case("taking, cold, foreign work", half, Some(1), false, 0),
        case("taking, cold, witness", half, Some(0), false, 1),
    ];
    for case in cases {
        let classes = vec![class("high", 1, 0.0), class("low", 3, 0.0)];
        let mut pool = pool(Options::default(), vec![endpoint("e", 4, 2)], classes);
        if case.warm {
            warm_up(&mut pool, 0);
        }
        pool.set_trust(at_ms(90), case.trust);
        if let Some(reported) = case.reported {
            pool.report(at_ms(95), "e", load(reported, 1, 20_000));
            assert_eq!(
                pool.status().endpoints[0].limit,
                0,
                "{}: it may be older than the change",
                case.name
            );
            pool.report(at_ms(10_100), "e", load(reported, 1, 30_000));
        }
        assert_eq!(pool.status().endpoints[0].limit, case.want, "{}", case.name);
        let granted = fill(&mut pool, 10_200, "low").len();
        assert_eq!(granted, case.want as usize, "{}", case.name);
    }
}
