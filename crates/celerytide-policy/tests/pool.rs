//! Single rules of the pool, one situation per test.

mod common;

use celerytide_policy::{Ended, Offer, Options, PoolPlan, Refusal};
use common::{at_ms, class, endpoint, enqueue, grant_all, pool, request};

#[test]
fn higher_tier_is_granted_first() {
    let mut pool = pool(
        Options::default(),
        vec![endpoint("e", 1, 1)],
        vec![class("low", 3, 0.0), class("high", 1, 0.0)],
    );
    let low = enqueue(&mut pool, at_ms(0), request("low", "c", 10_000));
    let high = enqueue(&mut pool, at_ms(0), request("high", "c", 10_000));
    let first = grant_all(&mut pool, at_ms(1));
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].req, high);
    pool.settle(at_ms(2), first[0].permit, Ended::Whole { tokens: 10 });
    assert_eq!(grant_all(&mut pool, at_ms(3))[0].req, low);
}

#[test]
fn cold_endpoint_gets_its_cold_slots_then_ramps() {
    let mut pool = pool(Options::default(), vec![endpoint("e", 8, 2)], vec![class("a", 1, 0.0)]);
    for _ in 0..40 {
        enqueue(&mut pool, at_ms(0), request("a", "c", 100_000));
    }
    let mut running = grant_all(&mut pool, at_ms(1));
    assert_eq!(running.len(), 2);
    assert!(running[0].cold);
    let mut widths = Vec::new();
    for round in 0..6 {
        let now = at_ms(100 * (round + 1));
        for grant in running.drain(..) {
            pool.settle(now, grant.permit, Ended::Whole { tokens: 10 });
        }
        running = grant_all(&mut pool, now);
        widths.push(running.len());
    }
    assert_eq!(widths, [2, 2, 4, 8, 8, 8]);
}

#[test]
fn closed_endpoint_gets_nothing_and_keeps_its_count() {
    let classes = vec![class("a", 1, 0.0)];
    let mut pool = pool(
        Options::default(),
        vec![endpoint("e", 2, 2), endpoint("f", 2, 2)],
        classes.clone(),
    );
    for _ in 0..8 {
        enqueue(&mut pool, at_ms(0), request("a", "c", 100_000));
    }
    let running = grant_all(&mut pool, at_ms(0));
    assert_eq!(running.len(), 4);
    let mut closed = endpoint("e", 2, 2);
    closed.open = false;
    let endpoints = vec![closed, endpoint("f", 2, 2)];
    pool.apply(
        at_ms(1),
        PoolPlan {
            endpoints,
            classes,
            customers: Vec::new(),
        },
    );
    let status = pool.status();
    assert!(status.endpoints.iter().all(|row| row.in_flight == 2));
    for grant in running {
        pool.settle(at_ms(2), grant.permit, Ended::Whole { tokens: 1 });
    }
    let next = grant_all(&mut pool, at_ms(2));
    assert_eq!(next.len(), 2);
    assert!(next.iter().all(|grant| grant.endpoint == "f"));
}

#[test]
fn queued_request_past_its_deadline_is_refused_once() {
    let mut pool = pool(Options::default(), vec![endpoint("e", 1, 1)], vec![class("a", 1, 0.0)]);
    enqueue(&mut pool, at_ms(0), request("a", "c", 1000));
    let late = enqueue(&mut pool, at_ms(0), request("a", "c", 2000));
    assert_eq!(grant_all(&mut pool, at_ms(0)).len(), 1);
    assert_eq!(pool.next_expiry(), Some(at_ms(2000)));
    assert!(pool.expire(at_ms(1999)).is_empty());
    let refused = pool.expire(at_ms(2000));
    assert_eq!(refused.len(), 1);
    assert_eq!((refused[0].req, refused[0].cause), (late, Refusal::DeadlinePassed));
    assert!(refused[0].retry_after >= Options::default().retry_floor);
    assert!(pool.expire(at_ms(3000)).is_empty());
}

struct RejectedCase {
    name: &'static str,
    class: &'static str,
    deadline_ms: u64,
    open: bool,
    want: Refusal,
}

#[test]
fn requests_without_a_chance_are_refused_at_once() {
    let cases = [
        RejectedCase {
            name: "unknown class",
            class: "none",
            deadline_ms: 1000,
            open: true,
            want: Refusal::UnknownClass,
        },
        RejectedCase {
            name: "deadline passed",
            class: "a",
            deadline_ms: 10,
            open: true,
            want: Refusal::DeadlinePassed,
        },
        RejectedCase {
            name: "no open endpoint",
            class: "a",
            deadline_ms: 1000,
            open: false,
            want: Refusal::NoEndpoint,
        },
    ];
    for case in cases {
        let mut only = endpoint("e", 1, 1);
        only.open = case.open;
        let mut pool = pool(Options::default(), vec![only], vec![class("a", 1, 0.0)]);
        match pool.offer(at_ms(10), request(case.class, "c", case.deadline_ms)) {
            Offer::Refused(refused) => assert_eq!(refused.cause, case.want, "{}", case.name),
            Offer::Queued(_) => panic!("{}: the request was queued", case.name),
        }
    }
}

#[test]
fn requests_that_cannot_meet_their_target_are_refused_before_their_deadline() {
    let mut pool = pool(Options::default(), vec![endpoint("e", 1, 1)], vec![class("a", 1, 0.0)]);
    for round in 0..10 {
        enqueue(&mut pool, at_ms(0), request("a", "c", 100_000 + round));
        let granted = grant_all(&mut pool, at_ms(0));
        pool.settle(at_ms(0), granted[0].permit, Ended::Whole { tokens: 10 });
    }
    // The class's latency target is one second, the deadline four.
    for _ in 0..40 {
        enqueue(&mut pool, at_ms(0), request("a", "c", 4000));
    }
    let (mut refused, mut last_grant) = (0, 0);
    let mut running = grant_all(&mut pool, at_ms(0));
    for now in (100..=1500).step_by(100) {
        running
            .drain(..)
            .for_each(|grant| pool.settle(at_ms(now), grant.permit, Ended::Whole { tokens: 10 }));
        let due = pool.expire(at_ms(now));
        assert!(due.iter().all(|refused| refused.cause == Refusal::DeadlineUnreachable));
        refused += due.len();
        running = grant_all(&mut pool, at_ms(now));
        last_grant = if running.is_empty() { last_grant } else { now };
    }
    assert!(
        refused >= 25 && last_grant <= 1000,
        "{refused} refused, last grant at {last_grant} ms"
    );
}
