//! Rules of the pool that need a course of events: preemption, orphans, reports, cold starts, prefill, placement.

mod common;

use std::time::Duration;

use celerytide_policy::{Ask, Ended, EndpointState, LoadReport, Offer, Options, Pool, PoolPlan, Refusal, Trust};
use common::{ask, at_ms, class, endpoint, grants, permits, pool, queue};

const WHOLE: Ended = Ended::Whole { tokens: 20 };

fn load(running: u32, started: u64, observed: u64) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: 8,
        started_unix_ms: started,
        observed_unix_ms: observed,
        cold: None,
    }
}

/// One endpoint of four slots that has been warmed up.
fn warm(opts: Options) -> Pool {
    let mut pool = pool(
        opts,
        vec![endpoint("e", 4, 1)],
        vec![class("high", 1, 0.0), class("low", 3, 0.0)],
    );
    warm_up(&mut pool, 0);
    pool
}

fn warm_up(pool: &mut Pool, from_ms: u64) {
    for round in 0..8 {
        let now = at_ms(from_ms + round * 10);
        queue(pool, now, ask("low", "c", 1_000_000));
        for permit in permits(&grants(pool, now)) {
            pool.progress(at_ms(from_ms + round * 10 + 1), permit, 1);
            pool.settle(at_ms(from_ms + round * 10 + 5), permit, WHOLE);
        }
    }
}

fn fill(pool: &mut Pool, now_ms: u64, class: &str) -> Vec<u64> {
    for _ in 0..4 {
        queue(pool, at_ms(now_ms), ask(class, "c", 1_000_000));
    }
    permits(&grants(pool, at_ms(now_ms)))
}

#[test]
fn urgent_higher_tier_preempts_the_latest_lower_work() {
    let mut pool = warm(Options::default());
    let running = fill(&mut pool, 100, "low");
    assert_eq!(running.len(), 4);
    let urgent = queue(&mut pool, at_ms(200), ask("high", "c", 900));
    assert_eq!(pool.preempt(at_ms(300)), None, "it isn't urgent yet");
    let victim = pool.preempt(at_ms(700)).expect("it is urgent now");
    assert_eq!(victim, running[3]);
    assert_eq!(pool.preempt(at_ms(700)), None, "one slot is enough for one ask");
    pool.settle(at_ms(710), victim, Ended::Cancelled);
    assert_eq!(grants(&mut pool, at_ms(710))[0].ask, urgent);
    queue(&mut pool, at_ms(720), ask("high", "c", 900));
    assert_eq!(
        pool.preempt(at_ms(720)),
        Some(running[2]),
        "the next urgent ask takes the next one"
    );
}

#[test]
fn preemption_never_takes_its_own_tier_or_unresumable_work() {
    let mut pool = warm(Options::default());
    fill(&mut pool, 100, "high");
    queue(&mut pool, at_ms(200), ask("high", "c", 300));
    assert_eq!(pool.preempt(at_ms(250)), None);

    let mut only = endpoint("e", 1, 1);
    only.resumes = false;
    let classes = vec![class("high", 1, 0.0), class("low", 3, 0.0)];
    let mut pool = common::pool(Options::default(), vec![only], classes);
    queue(&mut pool, at_ms(0), ask("low", "c", 1000));
    assert_eq!(grants(&mut pool, at_ms(0)).len(), 1);
    queue(&mut pool, at_ms(0), ask("high", "c", 300));
    assert_eq!(pool.preempt(at_ms(250)), None);
}

#[test]
fn orphan_stays_counted_until_a_late_enough_report() {
    let mut pool = warm(Options::default());
    pool.report(at_ms(90), "e", load(0, 1, 5_000));
    let running = fill(&mut pool, 100, "low");
    pool.orphan(at_ms(200), running[0]);
    pool.report(at_ms(300), "e", load(3, 1, 5_200));
    assert_eq!(pool.status().in_flight, 4, "the report may be older than the loss");
    pool.report(at_ms(11_000), "e", load(4, 1, 16_000));
    assert_eq!(pool.status().in_flight, 4, "the report still shows it");
    pool.report(at_ms(12_000), "e", load(3, 1, 17_000));
    let status = pool.status();
    assert_eq!((status.in_flight, status.released), (3, 1));
    pool.settle(at_ms(12_100), running[0], WHOLE);
    assert_eq!(pool.status().in_flight, 3, "a late settlement counts no second time");
}

#[test]
fn orphan_is_released_by_age_or_restart() {
    let opts = Options::default();
    let age_ms = opts.orphan_max_age.as_millis() as u64;
    let mut pool = warm(opts.clone());
    let running = fill(&mut pool, 100, "low");
    pool.orphan(at_ms(200), running[0]);
    pool.expire(at_ms(99 + age_ms));
    assert_eq!(pool.status().in_flight, 4);
    pool.expire(at_ms(100 + age_ms));
    assert_eq!(pool.status().in_flight, 3);

    let mut pool = warm(opts);
    pool.report(at_ms(90), "e", load(0, 1, 5_000));
    let running = fill(&mut pool, 100, "low");
    pool.orphan(at_ms(200), running[0]);
    pool.report(at_ms(300), "e", load(0, 2, 5_100));
    let status = pool.status();
    assert_eq!((status.in_flight, status.endpoints[0].state), (3, EndpointState::Cold));
}

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
        queue(&mut pool, now, ask("low", "c", 1_000_000));
        queue(&mut pool, now, ask("low", "c", 1_000_000));
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
        queue(&mut pool, now, ask("low", "c", 1_000_000));
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
                queue(&mut pool, at_ms(begun), ask("low", "c", 10_000_000));
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
        queue(&mut pool, at_ms(0), ask("low", "c", 1_000_000));
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
        pool.trust(at_ms(90), case.trust);
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

fn prompt(tokens: u32, class: &str) -> Ask {
    Ask {
        prompt_tokens: tokens,
        ..ask(class, "c", 1_000_000)
    }
}

#[test]
fn prefill_bound_holds_and_long_prompts_dont_starve() {
    let mut bounded = endpoint("e", 4, 4);
    bounded.prefill_tokens = 1000;
    let classes = vec![class("high", 1, 0.0), class("low", 3, 0.2)];
    let mut pool = pool(Options::default(), vec![bounded], classes);
    for _ in 0..40 {
        queue(&mut pool, at_ms(0), prompt(400, "high"));
    }
    let long = queue(&mut pool, at_ms(0), prompt(5000, "low"));
    let mut running = Vec::new();
    let mut granted_after = None;
    for step in 0..40 {
        let now = at_ms(10 * step);
        for grant in grants(&mut pool, now) {
            if grant.ask == long {
                granted_after = Some(step);
            }
            running.push(grant.permit);
        }
        let prefill = pool.status().endpoints[0].prefill_tokens;
        assert!(prefill <= 1000 || prefill == 5000, "{prefill}");
        if running.len() > 1 {
            let permit = running.remove(0);
            pool.progress(now, permit, 1);
            pool.settle(now, permit, WHOLE);
        } else if let Some(permit) = running.pop() {
            pool.settle(now, permit, WHOLE);
        }
    }
    let after = granted_after.expect("the long prompt was granted");
    assert!(after <= 10, "after {after} steps");
}

#[test]
fn retry_avoids_the_endpoint_that_failed_while_another_is_open() {
    let classes = vec![class("a", 1, 0.0)];
    let avoiding = || Ask {
        avoid: vec!["e".to_owned()],
        ..ask("a", "c", 10_000)
    };
    let both = vec![endpoint("e", 2, 2), endpoint("f", 1, 1)];
    let mut pool = pool(Options::default(), both, classes.clone());
    queue(&mut pool, at_ms(0), avoiding());
    queue(&mut pool, at_ms(0), avoiding());
    let granted = grants(&mut pool, at_ms(0));
    assert_eq!(granted.len(), 1, "it waits for the other endpoint");
    assert_eq!(granted[0].endpoint, "f");
    let mut closed = endpoint("f", 1, 1);
    closed.open = false;
    let endpoints = vec![endpoint("e", 2, 2), closed];
    pool.apply(
        at_ms(1),
        PoolPlan {
            endpoints,
            classes,
            customers: Vec::new(),
        },
    );
    assert_eq!(grants(&mut pool, at_ms(1))[0].endpoint, "e", "no other is open");
}

#[test]
fn prompts_return_to_the_endpoint_that_holds_their_prefix() {
    let endpoints = (0..8).map(|at| endpoint(&format!("e{at}"), 8, 8)).collect();
    let mut pool = pool(Options::default(), endpoints, vec![class("a", 1, 0.0)]);
    let shared = |last: u64| Ask {
        prefix: vec![1, 2, 3, last],
        prompt_tokens: 100,
        ..ask("a", "c", 10_000)
    };
    queue(&mut pool, at_ms(0), shared(10));
    let home = grants(&mut pool, at_ms(0))[0].endpoint.clone();
    let mut at_home = 0;
    for last in 11..31 {
        queue(&mut pool, at_ms(1), shared(last));
        let granted = grants(&mut pool, at_ms(1));
        at_home += u32::from(granted[0].endpoint == home);
    }
    assert!(
        (4..=7).contains(&at_home),
        "close to home, but not past its load: {at_home}"
    );
}

#[test]
fn full_queue_sheds_the_largest_customers_last_ask_first() {
    let opts = Options {
        max_queued: 4,
        ..Options::default()
    };
    let mut pool = pool(opts, vec![endpoint("e", 1, 1)], vec![class("a", 1, 0.0)]);
    for _ in 0..3 {
        queue(&mut pool, at_ms(0), ask("a", "large", 1000));
    }
    let last = queue(&mut pool, at_ms(0), ask("a", "large", 2000));
    match pool.offer(at_ms(0), ask("a", "large", 1500)) {
        Offer::Refused(refused) => assert_eq!(refused.why, Refusal::QueueFull),
        Offer::Queued(_) => panic!("the largest customer has no further seat"),
    }
    queue(&mut pool, at_ms(0), ask("a", "small", 2000));
    let shed = pool.expire(at_ms(0));
    assert_eq!(shed.len(), 1);
    assert_eq!((shed[0].ask, shed[0].why), (last, Refusal::QueueFull));
}

#[test]
fn full_queue_sheds_the_lowest_excess_and_no_share() {
    let opts = Options {
        max_queued: 10,
        ..Options::default()
    };
    let classes = vec![class("high", 1, 0.0), class("mid", 2, 0.0), class("low", 3, 0.2)];
    let mut pool = pool(opts, vec![endpoint("e", 1, 1)], classes);
    let mut low = Vec::new();
    for step in 0..4 {
        low.push(queue(&mut pool, at_ms(0), ask("low", "c", 1000 + step)));
    }
    let mid: Vec<u64> = (0..6)
        .map(|step| queue(&mut pool, at_ms(0), ask("mid", "c", 1000 + step)))
        .collect();
    let mut shed = Vec::new();
    for _ in 0..3 {
        queue(&mut pool, at_ms(0), ask("high", "c", 1000));
        shed.extend(
            pool.expire(at_ms(0))
                .into_iter()
                .map(|refused| (refused.ask, refused.why)),
        );
    }
    let why = Refusal::ShedForHigherTier;
    assert_eq!(shed, [(low[3], why), (low[2], why), (mid[5], why)]);
}

#[test]
fn wait_beyond_the_deadline_is_refused_at_once() {
    let mut pool = warm(Options::default());
    for _ in 0..40 {
        queue(&mut pool, at_ms(100), ask("high", "c", 1_000_000));
    }
    let mut running = permits(&grants(&mut pool, at_ms(100)));
    for step in 0..20 {
        let now = at_ms(200 + 100 * step);
        pool.settle(now, running.remove(0), WHOLE);
        running.extend(permits(&grants(&mut pool, now)));
    }
    let now = at_ms(2_200);
    let soon = ask("low", "c", 2_400);
    match pool.offer(now, soon) {
        Offer::Refused(refused) => {
            assert_eq!(refused.why, Refusal::DeadlineUnreachable);
            assert!(
                refused.retry_after > Duration::from_millis(700),
                "{:?}",
                refused.retry_after
            );
        }
        Offer::Queued(_) => panic!("16 asks at ten a second are ahead"),
    }
    queue(&mut pool, now, ask("low", "c", 60_000));
}

#[test]
fn adopted_work_is_counted_and_settled() {
    let mut pool = pool(Options::default(), vec![endpoint("e", 4, 2)], vec![class("a", 1, 0.0)]);
    let first = pool.adopt(at_ms(0), "e", "a", "c");
    pool.adopt(at_ms(0), "unknown", "none", "c");
    assert_eq!(pool.status().in_flight, 2);
    for _ in 0..4 {
        queue(&mut pool, at_ms(0), ask("a", "c", 10_000));
    }
    assert_eq!(
        grants(&mut pool, at_ms(0)).len(),
        1,
        "the adopted permit holds a cold slot"
    );
    pool.settle(at_ms(1), first, WHOLE);
    assert_eq!(grants(&mut pool, at_ms(1)).len(), 1);
    assert_eq!(pool.status().in_flight, 3);
}

#[test]
fn queued_work_survives_a_new_plan() {
    let mut pool = pool(Options::default(), vec![endpoint("e", 1, 1)], vec![class("a", 1, 0.0)]);
    let kept = queue(&mut pool, at_ms(0), ask("a", "c", 10_000));
    let endpoints = vec![endpoint("f", 1, 1)];
    let classes = vec![class("b", 1, 0.0)];
    pool.apply(
        at_ms(1),
        PoolPlan {
            endpoints,
            classes,
            customers: Vec::new(),
        },
    );
    let granted = grants(&mut pool, at_ms(1));
    assert_eq!((granted[0].ask, granted[0].endpoint.as_str()), (kept, "f"));
    assert!(matches!(pool.offer(at_ms(2), ask("a", "c", 10_000)), Offer::Refused(_)));
}
