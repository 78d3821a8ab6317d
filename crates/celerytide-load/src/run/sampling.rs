//! Samples queues and requests in flight during a run.

use std::{collections::BTreeMap, time::Duration};

use celerytide_standin::{engine::Load, probe};
use celerytide_types::{ClassName, EndpointId, Tier, ZoneId};
use serde::Deserialize;

use crate::fleet::Fleet;

celerytide_types::data! {
    /// Sum of the status of all dispatch processes at one time.
    #[derive(Default)]
    pub struct Sample {
        /// Time since the start of the run.
        pub at: Duration,
        /// Queued requests by tier.
        pub queued: BTreeMap<Tier, u64>,
        /// Requests in flight by the zone of their endpoint.
        pub in_flight: BTreeMap<ZoneId, u64>,
        /// Requests in flight by endpoint.
        pub endpoints: BTreeMap<EndpointId, u64>,
        /// Queued and granted requests by class.
        pub classes: BTreeMap<ClassName, ClassSample>,
    }

    /// Counts of one class at one time.
    #[derive(Copy, Default)]
    pub struct ClassSample {
        /// Queued requests.
        pub queued: u64,
        /// Grants since its pools were created.
        pub granted: u64,
    }
}

#[derive(Deserialize)]
struct DispatchStatus {
    pools: Vec<Pool>,
}

#[derive(Deserialize)]
struct Pool {
    status: PoolStatus,
}

#[derive(Deserialize)]
struct PoolStatus {
    tiers: Vec<TierStatus>,
    classes: Vec<ClassStatus>,
    endpoints: Vec<EndpointStatus>,
}

#[derive(Deserialize)]
struct ClassStatus {
    name: ClassName,
    queued: u64,
    granted: u64,
}

#[derive(Deserialize)]
struct TierStatus {
    tier: Tier,
    queued: u64,
}

#[derive(Deserialize)]
struct EndpointStatus {
    id: EndpointId,
    zone: ZoneId,
    in_flight: u64,
}

/// Samples every dispatch process; one that doesn't respond is left out.
pub fn sample(fleet: &Fleet, at: Duration) -> Sample {
    let mut sample = Sample {
        at,
        ..Sample::default()
    };
    for instance in &fleet.instances {
        if let Ok(status) = probe::get_json::<DispatchStatus>(instance.addresses.dispatch_operator, "/status") {
            add_status(&mut sample, status);
        }
    }
    sample
}

fn add_status(sample: &mut Sample, status: DispatchStatus) {
    for pool in status.pools {
        for tier in pool.status.tiers {
            *sample.queued.entry(tier.tier).or_default() += tier.queued;
        }
        for endpoint in pool.status.endpoints {
            *sample.in_flight.entry(endpoint.zone).or_default() += endpoint.in_flight;
            *sample.endpoints.entry(endpoint.id).or_default() += endpoint.in_flight;
        }
        for class in pool.status.classes {
            let total = sample.classes.entry(class.name).or_default();
            total.queued += class.queued;
            total.granted += class.granted;
        }
    }
}

/// Tokens that the engines have generated so far for any caller.
pub fn generated_tokens(fleet: &Fleet) -> u64 {
    let load = |addr| probe::get_json::<Load>(addr, celerytide_standin::engine::LOAD_PATH);
    let totals = fleet.engines.iter().filter_map(|engine| load(engine.info.addr).ok());
    totals.map(|load| load.tokens_total).sum()
}

/// Number of times that cold engines crashed because they got more requests than their cold slots.
pub fn overloads(fleet: &Fleet) -> u64 {
    let overloads = |addr| probe::get_json::<u64>(addr, celerytide_standin::engine::OVERLOADS_PATH);
    let counts = fleet
        .engines
        .iter()
        .filter_map(|engine| overloads(engine.info.addr).ok());
    counts.sum()
}
