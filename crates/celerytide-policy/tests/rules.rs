//! Rules of the pool that need several events: preemption, orphaned permits, prefill, placement, shedding.

mod common;

use std::time::Duration;

use celerytide_policy::{Ended, EndpointState, Offer, Options, PermitRequest, PoolPlan, Refusal};
use common::{WHOLE, at_ms, class, endpoint, enqueue, fill, grant_all, load_report, permits, pool, request, warm_pool};

#[test]
fn urgent_higher_tier_preempts_the_latest_lower_work() {
    let mut pool = warm_pool(Options::default());
    let running = fill(&mut pool, 100, "low");
    assert_eq!(running.len(), 4);
    let urgent = enqueue(&mut pool, at_ms(200), request("high", "c", 900));
    assert_eq!(pool.preempt(at_ms(300)), None, "the request isn't urgent yet");
    let victim = pool.preempt(at_ms(700)).expect("the request is urgent now");
    assert_eq!(victim, running[3]);
    assert_eq!(pool.preempt(at_ms(700)), None, "one slot is enough for one request");
    pool.settle(at_ms(710), victim, Ended::Cancelled);
    assert_eq!(grant_all(&mut pool, at_ms(710))[0].req, urgent);
    enqueue(&mut pool, at_ms(720), request("high", "c", 900));
    assert_eq!(
        pool.preempt(at_ms(720)),
        Some(running[2]),
        "the next urgent request preempts the next permit"
    );
}

#[test]
fn preemption_waits_until_the_urgent_prompt_fits() {
    let mut bounded = endpoint("e", 2, 2);
    bounded.prefill_tokens = 1000;
    let classes = vec![class("high", 1, 0.0), class("low", 3, 0.0)];
    let mut pool = pool(Options::default(), vec![bounded], classes);
    enqueue(&mut pool, at_ms(0), prompt(800, "low"));
    enqueue(&mut pool, at_ms(0), prompt(100, "low"));
    let running = permits(&grant_all(&mut pool, at_ms(0)));
    assert_eq!(running.len(), 2);
    let urgent = PermitRequest {
        deadline: at_ms(200),
        ..prompt(900, "high")
    };
    enqueue(&mut pool, at_ms(10), urgent);
    assert_eq!(pool.preempt(at_ms(20)), None, "the slot would go to other work");
    pool.progress(at_ms(30), running[0], 1);
    assert_eq!(pool.preempt(at_ms(40)), Some(running[1]));
}

#[test]
fn preemption_never_takes_its_own_tier_or_unresumable_work() {
    let mut pool = warm_pool(Options::default());
    fill(&mut pool, 100, "high");
    enqueue(&mut pool, at_ms(200), request("high", "c", 300));
    assert_eq!(pool.preempt(at_ms(250)), None);

    let mut only = endpoint("e", 1, 1);
    only.resumes = false;
    let classes = vec![class("high", 1, 0.0), class("low", 3, 0.0)];
    let mut pool = common::pool(Options::default(), vec![only], classes);
    enqueue(&mut pool, at_ms(0), request("low", "c", 1000));
    assert_eq!(grant_all(&mut pool, at_ms(0)).len(), 1);
    enqueue(&mut pool, at_ms(0), request("high", "c", 300));
    assert_eq!(pool.preempt(at_ms(250)), None);
}

#[test]
fn orphan_stays_counted_until_a_late_enough_report() {
    let mut pool = warm_pool(Options::default());
    pool.report(at_ms(90), "e", load_report(0, 1, 5_000));
    let running = fill(&mut pool, 100, "low");
    pool.orphan(at_ms(200), running[0]);
    pool.report(at_ms(300), "e", load_report(3, 1, 5_200));
    assert_eq!(pool.status().in_flight, 4, "the report may be older than the loss");
    pool.report(at_ms(11_000), "e", load_report(4, 1, 16_000));
    assert_eq!(pool.status().in_flight, 4, "the report still shows it");
    pool.report(at_ms(12_000), "e", load_report(3, 1, 17_000));
    let status = pool.status();
    assert_eq!((status.in_flight, status.released), (3, 1));
    pool.settle(at_ms(12_100), running[0], WHOLE);
    assert_eq!(pool.status().in_flight, 3, "a late settlement is not counted twice");
}

#[test]
fn orphan_is_released_by_age_or_restart() {
    let opts = Options::default();
    let age_ms = opts.orphan_max_age.as_millis() as u64;
    let mut pool = warm_pool(opts.clone());
    let running = fill(&mut pool, 100, "low");
    pool.orphan(at_ms(200), running[0]);
    pool.expire(at_ms(99 + age_ms));
    assert_eq!(pool.status().in_flight, 4);
    pool.expire(at_ms(100 + age_ms));
    assert_eq!(pool.status().in_flight, 3);

    let mut pool = warm_pool(opts);
    pool.report(at_ms(90), "e", load_report(0, 1, 5_000));
    let running = fill(&mut pool, 100, "low");
    pool.orphan(at_ms(200), running[0]);
    pool.report(at_ms(300), "e", load_report(0, 2, 5_100));
    let status = pool.status();
    assert_eq!((status.in_flight, status.endpoints[0].state), (3, EndpointState::Cold));
}

fn prompt(tokens: u32, class: &str) -> PermitRequest {
    PermitRequest {
        prompt_tokens: tokens,
        ..request(class, "c", 1_000_000)
    }
}

#[test]
fn prefill_bound_holds_and_long_prompts_do_not_starve() {
    let mut bounded = endpoint("e", 4, 4);
    bounded.prefill_tokens = 1000;
    let classes = vec![class("high", 1, 0.0), class("low", 3, 0.2)];
    let mut pool = pool(Options::default(), vec![bounded], classes);
    for _ in 0..40 {
        enqueue(&mut pool, at_ms(0), prompt(400, "high"));
    }
    let long = enqueue(&mut pool, at_ms(0), prompt(5000, "low"));
    let mut running = Vec::new();
    let mut granted_after = None;
    for step in 0..40 {
        let now = at_ms(100 * step);
        for grant in grant_all(&mut pool, now) {
            if grant.req == long {
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
    let avoiding = || PermitRequest {
        avoid: vec!["e".to_owned()],
        ..request("a", "c", 10_000)
    };
    let both = vec![endpoint("e", 2, 2), endpoint("f", 1, 1)];
    let mut pool = pool(Options::default(), both, classes.clone());
    enqueue(&mut pool, at_ms(0), avoiding());
    enqueue(&mut pool, at_ms(0), avoiding());
    let granted = grant_all(&mut pool, at_ms(0));
    assert_eq!(granted.len(), 1, "the second request waits for the other endpoint");
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
    assert_eq!(
        grant_all(&mut pool, at_ms(1))[0].endpoint,
        "e",
        "no other endpoint is open"
    );
}

#[test]
fn prompts_return_to_the_endpoint_that_holds_their_prefix() {
    let endpoints = (0..8).map(|at| endpoint(&format!("e{at}"), 8, 8)).collect();
    let mut pool = pool(Options::default(), endpoints, vec![class("a", 1, 0.0)]);
    let shared = |last: u64| PermitRequest {
        prefix: vec![1, 2, 3, last],
        prompt_tokens: 100,
        ..request("a", "c", 10_000)
    };
    enqueue(&mut pool, at_ms(0), shared(10));
    let cached_endpoint = grant_all(&mut pool, at_ms(0))[0].endpoint.clone();
    let mut at_cached = 0;
    for last in 11..31 {
        enqueue(&mut pool, at_ms(1), shared(last));
        let granted = grant_all(&mut pool, at_ms(1));
        at_cached += u32::from(granted[0].endpoint == cached_endpoint);
    }
    assert!(
        (4..=7).contains(&at_cached),
        "prefers the cached prefix unless the load is higher: {at_cached}"
    );
}

#[test]
fn full_queue_sheds_the_last_request_of_the_largest_customer() {
    let opts = Options {
        max_queued: 4,
        ..Options::default()
    };
    let mut pool = pool(opts, vec![endpoint("e", 1, 1)], vec![class("a", 1, 0.0)]);
    for _ in 0..3 {
        enqueue(&mut pool, at_ms(0), request("a", "large", 1000));
    }
    let last = enqueue(&mut pool, at_ms(0), request("a", "large", 2000));
    match pool.offer(at_ms(0), request("a", "large", 1500)) {
        Offer::Refused(refused) => assert_eq!(refused.cause, Refusal::QueueFull),
        Offer::Queued(_) => panic!("the largest customer must not get another place"),
    }
    enqueue(&mut pool, at_ms(0), request("a", "small", 2000));
    let shed = pool.expire(at_ms(0));
    assert_eq!(shed.len(), 1);
    assert_eq!((shed[0].req, shed[0].cause), (last, Refusal::QueueFull));
}

#[test]
fn full_queue_sheds_the_lowest_tier_and_spares_reserved_places() {
    let opts = Options {
        max_queued: 10,
        ..Options::default()
    };
    let classes = vec![class("high", 1, 0.0), class("mid", 2, 0.0), class("low", 3, 0.2)];
    let mut pool = pool(opts, vec![endpoint("e", 1, 1)], classes);
    let mut low = Vec::new();
    for step in 0..4 {
        low.push(enqueue(&mut pool, at_ms(0), request("low", "c", 1000 + step)));
    }
    let mid: Vec<u64> = (0..6)
        .map(|step| enqueue(&mut pool, at_ms(0), request("mid", "c", 1000 + step)))
        .collect();
    let mut shed = Vec::new();
    for _ in 0..3 {
        enqueue(&mut pool, at_ms(0), request("high", "c", 1000));
        shed.extend(
            pool.expire(at_ms(0))
                .into_iter()
                .map(|refused| (refused.req, refused.cause)),
        );
    }
    let cause = Refusal::ShedForHigherTier;
    assert_eq!(shed, [(low[3], cause), (low[2], cause), (mid[5], cause)]);
}

#[test]
fn wait_beyond_the_deadline_is_refused_at_once() {
    let mut pool = warm_pool(Options::default());
    for _ in 0..40 {
        enqueue(&mut pool, at_ms(100), request("high", "c", 1_000_000));
    }
    let mut running = permits(&grant_all(&mut pool, at_ms(100)));
    for step in 0..20 {
        let now = at_ms(200 + 100 * step);
        pool.settle(now, running.remove(0), WHOLE);
        running.extend(permits(&grant_all(&mut pool, now)));
    }
    let now = at_ms(2_200);
    let soon = request("low", "c", 2_400);
    match pool.offer(now, soon) {
        Offer::Refused(refused) => {
            assert_eq!(refused.cause, Refusal::DeadlineUnreachable);
            assert!(
                refused.retry_after > Duration::from_millis(700),
                "{:?}",
                refused.retry_after
            );
        }
        Offer::Queued(_) => panic!("16 requests at ten a second are ahead"),
    }
    enqueue(&mut pool, now, request("low", "c", 60_000));
}

#[test]
fn adopted_work_is_counted_and_settled() {
    let mut pool = pool(Options::default(), vec![endpoint("e", 4, 2)], vec![class("a", 1, 0.0)]);
    let first = pool.adopt(at_ms(0), "e", "a", "c");
    pool.adopt(at_ms(0), "unknown", "none", "c");
    assert_eq!(pool.status().in_flight, 2);
    for _ in 0..4 {
        enqueue(&mut pool, at_ms(0), request("a", "c", 10_000));
    }
    assert_eq!(
        grant_all(&mut pool, at_ms(0)).len(),
        1,
        "the adopted permit occupies a cold slot"
    );
    pool.settle(at_ms(1), first, WHOLE);
    assert_eq!(grant_all(&mut pool, at_ms(1)).len(), 1);
    assert_eq!(pool.status().in_flight, 3);
}

#[test]
fn queued_work_survives_a_new_plan() {
    let mut pool = pool(Options::default(), vec![endpoint("e", 1, 1)], vec![class("a", 1, 0.0)]);
    let kept = enqueue(&mut pool, at_ms(0), request("a", "c", 10_000));
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
    let granted = grant_all(&mut pool, at_ms(1));
    assert_eq!((granted[0].req, granted[0].endpoint.as_str()), (kept, "f"));
    assert!(matches!(
        pool.offer(at_ms(2), request("a", "c", 10_000)),
        Offer::Refused(_)
    ));
}
