//! Plans, requests and pools that several tests share.

#![allow(dead_code)]

use std::time::Duration;

use celerytide_policy::{
    ClassPlan, Ended, EndpointPlan, Grant, LoadReport, Offer, Options, PermitRequest, PermitRequestId, Pool, PoolPlan,
};
use celerytide_types::{BootTime, PermitId};

pub fn at_ms(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(1_000_000 + ms))
}

pub fn endpoint(id: &str, slots: u32, cold_slots: u32) -> EndpointPlan {
    EndpointPlan {
        id: id.to_owned(),
        zone: "a".to_owned(),
        slots,
        cold_slots,
        prefill_tokens: 0,
        resumes: true,
        open: true,
    }
}

pub fn class(name: &str, tier: u8, share: f64) -> ClassPlan {
    ClassPlan {
        name: name.to_owned(),
        tier,
        priority: 0,
        first_token: Duration::from_secs(1),
        guaranteed_share: share,
        preemptible: tier > 2,
    }
}

pub fn request(class: &str, customer: &str, deadline_ms: u64) -> PermitRequest {
    PermitRequest {
        request: "req".to_owned(),
        class: class.to_owned(),
        customer: customer.to_owned(),
        deadline: at_ms(deadline_ms),
        arrived: at_ms(0),
        prompt_tokens: 0,
        max_tokens: None,
        prefix: Vec::new(),
        avoid: Vec::new(),
        content: None,
    }
}

pub fn pool(opts: Options, endpoints: Vec<EndpointPlan>, classes: Vec<ClassPlan>) -> Pool {
    let mut pool = Pool::new(opts);
    let customers = Vec::new();
    pool.apply(
        at_ms(0),
        PoolPlan {
            endpoints,
            classes,
            customers,
        },
    );
    pool
}

pub fn enqueue(pool: &mut Pool, now: BootTime, req: PermitRequest) -> PermitRequestId {
    match pool.offer(now, req) {
        Offer::Queued(id) => id,
        Offer::Refused(refused) => panic!("refused: {:?}", refused.cause),
    }
}

pub fn grant_all(pool: &mut Pool, now: BootTime) -> Vec<Grant> {
    std::iter::from_fn(|| pool.next_grant(now)).collect()
}

pub fn permits(grants: &[Grant]) -> Vec<PermitId> {
    grants.iter().map(|grant| grant.permit).collect()
}

pub const WHOLE: Ended = Ended::Whole { tokens: 20 };

pub fn load_report(running: u32, started: u64, observed: u64) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: 8,
        started_unix_ms: started,
        observed_unix_ms: observed,
        cold: None,
    }
}

/// A pool with one warm endpoint of four slots.
pub fn warm_pool(opts: Options) -> Pool {
    let mut pool = pool(
        opts,
        vec![endpoint("e", 4, 1)],
        vec![class("high", 1, 0.0), class("low", 3, 0.0)],
    );
    warm_up(&mut pool, 0);
    pool
}

pub fn warm_up(pool: &mut Pool, from_ms: u64) {
    for round in 0..8 {
        let now = at_ms(from_ms + round * 10);
        enqueue(pool, now, request("low", "c", 1_000_000));
        for permit in permits(&grant_all(pool, now)) {
            pool.progress(at_ms(from_ms + round * 10 + 1), permit, 1);
            pool.settle(at_ms(from_ms + round * 10 + 5), permit, WHOLE);
        }
    }
}

pub fn fill(pool: &mut Pool, now_ms: u64, class: &str) -> Vec<u64> {
    for _ in 0..4 {
        enqueue(pool, at_ms(now_ms), request(class, "c", 1_000_000));
    }
    permits(&grant_all(pool, at_ms(now_ms)))
}
