//! Groups endpoints into pools and assigns each pool an owner.

use std::collections::BTreeSet;

use celerytide_manifest::{EndpointSpec, Manifest, Service};
use celerytide_types::{EndpointId, PoolId, RegionId, ServiceId, data, rendezvous_weight};
use xxhash_rust::xxh3::xxh3_64;

use crate::view::Instance;

data! {
    /// A subset of one service's endpoints in one region.
    #[derive(Eq)]
    pub struct Pool {
        /// `service/index`.
        pub id: PoolId,
        /// Service of the endpoints.
        pub service: ServiceId,
        /// Region of the endpoints and of the owner.
        pub region: RegionId,
        /// Endpoints in the manifest's order.
        pub endpoints: Vec<EndpointId>,
        /// Hash of the settings that assign endpoints to pools; it changes when endpoints move between pools.
        pub layout: u64,
    }
}

/// Owner of a pool: the live instance of the region with the highest rendezvous weight.
pub fn owner_of<'a>(pool: &str, region: &str, instances: &'a [Instance]) -> Option<&'a Instance> {
    let eligible = instances.iter().filter(|i| i.live && i.region == region);
    eligible.max_by_key(|i| (rendezvous_weight(pool, &i.id), &i.id))
}

/// Pool of an endpoint. Each region of a service has `pools` pools; `rank` is the index of the endpoint's region among
/// the service's regions.
pub fn pool_of(service: &str, endpoint: &str, pools: u32, rank: u32) -> PoolId {
    let pools = pools.max(1);
    let offset = xxh3_64(endpoint.as_bytes()) % u64::from(pools);
    let index = u64::from(rank) * u64::from(pools) + offset;
    format!("{service}/{index}")
}

/// All pools of a manifest; a service's pool indexes follow its regions in the order of their ids.
pub fn pools_of(manifest: &Manifest) -> Vec<Pool> {
    manifest
        .services
        .iter()
        .flat_map(|s| pools_of_service(manifest, s))
        .collect()
}

fn pools_of_service(manifest: &Manifest, service: &Service) -> Vec<Pool> {
    let regions: BTreeSet<&RegionId> = service
        .endpoints
        .iter()
        .filter_map(|e| region_of(manifest, e))
        .collect();
    let mut pools: Vec<Pool> = Vec::new();
    for endpoint in &service.endpoints {
        let Some(region) = region_of(manifest, endpoint) else {
            continue;
        };
        let rank = regions.iter().position(|r| *r == region).unwrap_or_default();
        let id = pool_of(&service.id, &endpoint.id, service.pools, rank as u32);
        match pools.iter_mut().find(|p| p.id == id) {
            Some(pool) => pool.endpoints.push(endpoint.id.clone()),
            None => pools.push(Pool {
                id,
                service: service.id.clone(),
                region: region.clone(),
                endpoints: vec![endpoint.id.clone()],
                layout: layout_hash(service, &regions),
            }),
        }
    }
    pools
}

fn region_of<'a>(manifest: &'a Manifest, endpoint: &EndpointSpec) -> Option<&'a RegionId> {
    manifest.zone(&endpoint.zone).map(|z| &z.region)
}

fn layout_hash(service: &Service, regions: &BTreeSet<&RegionId>) -> u64 {
    let names: Vec<&str> = regions.iter().map(|r| r.as_str()).collect();
    xxh3_64(format!("{}:{}", service.pools, names.join(",")).as_bytes())
}
