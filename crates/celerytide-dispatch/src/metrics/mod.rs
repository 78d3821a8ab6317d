//! Counters of this daemon.

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

/// The dispatch's metrics.
#[derive(Default)]
pub struct DispatchMetrics {
    asks: Counter,
    granted: Counter,
    adopted: Counter,
    refused: Family<CauseLabel, Counter>,
    pools: Gauge,
    in_flight: Gauge,
    queued: Gauge,
}

impl DispatchMetrics {
    /// Adds them to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let dispatch = registry.sub_registry_with_prefix("dispatch");
        dispatch.register("asks", "Permits asked for", self.asks.clone());
        dispatch.register("grants", "Permits granted", self.granted.clone());
        dispatch.register("adoptions", "Permits of former owners adopted", self.adopted.clone());
        dispatch.register("refusals", "Asks refused, by cause", self.refused.clone());
        dispatch.register("pools_owned", "Pools owned now", self.pools.clone());
        dispatch.register("permits_in_flight", "Permits in flight now", self.in_flight.clone());
        dispatch.register("asks_queued", "Asks queued now", self.queued.clone());
    }

    /// Counts an ask.
    pub fn ask(&self) {
        self.asks.inc();
    }

    /// Counts a grant.
    pub fn granted(&self) {
        self.granted.inc();
    }

    /// Counts an adoption.
    pub fn adopted(&self) {
        self.adopted.inc();
    }

    /// Counts a refusal.
    pub fn refused(&self, why: Refusal) {
        self.refused.get_or_create(&CauseLabel { cause: why.as_str() }).inc();
    }

    /// Sets the gauges.
    pub fn levels(&self, pools: usize, in_flight: u64, queued: u64) {
        self.pools.set(i64::try_from(pools).unwrap_or(i64::MAX));
        self.in_flight.set(i64::try_from(in_flight).unwrap_or(i64::MAX));
        self.queued.set(i64::try_from(queued).unwrap_or(i64::MAX));
    }
}
