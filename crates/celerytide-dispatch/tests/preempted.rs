//! Preemption of a permit whose grant is still on its way to the exchange with its entry.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use celerytide_dispatch::owned_pool::{Decision, OwnedPool, PoolConfig, QueuedRequest};
use celerytide_membership::ownership::OwnershipState;
use celerytide_policy::{ClassPlan, EndpointPlan, Options, PermitRequest, PoolPlan, Trust};
use celerytide_types::{PermitId, Term, now_boot};

const ENDPOINT: &str = "e-0";
const SLOTS: u32 = 2;
/// Deadline within the time in which a request may preempt lower tiers (300 ms).
const URGENT_WITHIN: Duration = Duration::from_millis(200);

fn class(name: &str, tier: u8, preemptible: bool) -> ClassPlan {
    ClassPlan {
        name: name.to_owned(),
        tier,
        priority: 0,
        first_token: Duration::from_secs(1),
        guaranteed_share: 0.0,
        preemptible,
    }
}

fn config() -> PoolConfig {
    let endpoint = EndpointPlan {
        id: ENDPOINT.to_owned(),
        zone: "zone-a".to_owned(),
        slots: SLOTS,
        cold_slots: SLOTS,
        prefill_tokens: 0,
        resumes: true,
        open: true,
    };
    PoolConfig {
        plan: PoolPlan {
            endpoints: vec![endpoint],
            classes: vec![class("urgent", 1, false), class("patient", 2, true)],
            customers: Vec::new(),
        },
        endpoint_addresses: HashMap::from([(ENDPOINT.to_owned(), SocketAddr::from((Ipv4Addr::LOCALHOST, 9)))]),
        has_load_reports: false,
    }
}

fn offer(pool: &OwnedPool, class: &str, within: Duration) -> QueuedRequest {
    let now = now_boot();
    let queued = pool.offer(PermitRequest {
        request: String::from("r"),
        class: class.to_owned(),
        customer: String::from("c"),
        deadline: now.after(within),
        arrived: now,
        prompt_tokens: 0,
        max_tokens: None,
        prefix: Vec::new(),
        avoid: Vec::new(),
        content: None,
    });
    queued.expect("queued")
}

fn granted(queued: &mut QueuedRequest) -> PermitId {
    match queued.decision.try_recv() {
        Ok(Some(Decision::Granted(grant))) => grant.permit,
        other => panic!("no grant: {other:?}"),
    }
}

/// A permit that is preempted before its exchange follows it would run on, and the urgent request would wait for its end.
#[test]
fn a_permit_preempted_before_it_is_tracked_is_told_to_stop() {
    let pool = OwnedPool::new(
        String::from("s/0"),
        Term {
            list_version: 1,
            incarnation: 1,
        },
        Options::default(),
    );
    pool.set_ownership_state(OwnershipState::Settled, Trust::Settled);
    pool.apply(1, config);
    let mut permits = [(); SLOTS as usize].map(|()| offer(&pool, "patient", Duration::from_secs(10)));
    let permits = permits.each_mut().map(granted);
    let first = pool.track(permits[0]);
    let _urgent = offer(&pool, "urgent", URGENT_WITHIN);
    let latest = pool.track(permits[1]);
    assert!(
        !first.is_cancelled(),
        "the permit that was granted first keeps its slot"
    );
    assert!(
        latest.is_cancelled(),
        "the permit that was granted last is told to stop"
    );
}
