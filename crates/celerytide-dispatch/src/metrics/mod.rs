//! Prometheus metrics of the dispatch daemon.

use celerytide_policy::Refusal;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// Counters and gauges of the dispatch daemon.
#[derive(Default)]
pub struct DispatchMetrics {
    requests: Counter,
    grants: Counter,
    adoptions: Counter,
    refusals: Family<CauseLabel, Counter>,
    pools: Gauge,
    in_flight: Gauge,
    queued: Gauge,
}

impl DispatchMetrics {
    /// Registers the metrics under the prefix `dispatch`.
    pub fn register(&self, registry: &mut Registry) {
        let dispatch = registry.sub_registry_with_prefix("dispatch");
        dispatch.register("asks", "Permits asked for", self.requests.clone());
        dispatch.register("grants", "Permits granted", self.grants.clone());
        dispatch.register("adoptions", "Permits of former owners adopted", self.adoptions.clone());
        dispatch.register("refusals", "Asks refused, by cause", self.refusals.clone());
        dispatch.register("pools_owned", "Pools owned now", self.pools.clone());
        dispatch.register("permits_in_flight", "Permits in flight now", self.in_flight.clone());
        dispatch.register("asks_queued", "Asks queued now", self.queued.clone());
    }

    /// Counts a permit request.
    pub fn count_request(&self) {
        self.requests.inc();
    }

    /// Counts a granted permit.
    pub fn count_grant(&self) {
        self.grants.inc();
    }

    /// Counts a permit adopted from a previous owner.
    pub fn count_adoption(&self) {
        self.adoptions.inc();
    }

    /// Counts a refused request by cause.
    pub fn count_refusal(&self, cause: Refusal) {
        self.refusals.get_or_create(&CauseLabel { cause: cause.as_str() }).inc();
    }

    /// Sets the gauges for owned pools, permits in flight and queued requests.
    pub fn set_levels(&self, pools: usize, in_flight: u64, queued: u64) {
        self.pools.set(i64::try_from(pools).unwrap_or(i64::MAX));
        self.in_flight.set(i64::try_from(in_flight).unwrap_or(i64::MAX));
        self.queued.set(i64::try_from(queued).unwrap_or(i64::MAX));
    }
}
