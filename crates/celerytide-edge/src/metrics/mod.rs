//! Counters and histograms of the process.

use celerytide_http::memory::Usage;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of finished requests.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// Cause with which it ended.
    pub outcome: &'static str,
    /// HTTP status of the response.
    pub status: u16,
}

/// Label of streams that callers take up.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct TakeUpLabel {
    /// What was decided.
    pub outcome: &'static str,
}

/// Label by what became of something.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// What became of it.
    pub outcome: &'static str,
}

/// Label of placements.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct SourceLabel {
    /// Who chose the endpoint.
    pub source: &'static str,
}

/// Label of traffic between instances.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PurposeLabel {
    /// What it is for.
    pub purpose: &'static str,
}

/// Label for metrics by cause.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CauseLabel {
    /// The cause.
    pub cause: &'static str,
}

/// Label for metrics by route.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RouteLabel {
    /// The route's name.
    pub route: String,
}

fn gap_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.01, 1.6, 14))
}

/// Metrics of the process.
#[derive(Debug)]
pub struct Counters {
    /// Finished requests by outcome and status.
    pub requests: Family<RequestLabels, Counter>,
    /// Retries sent.
    pub retries: Counter,
    /// Departures announced by endpoints.
    pub leaving: Counter,
    /// Pauses requested by endpoints.
    pub pauses: Counter,
    /// Changes of rate limits that endpoints name.
    pub limit_changes: Counter,
    /// Requests sent to endpoints that name a rate limit.
    pub limited_requests: Counter,
    /// Endpoints that name a rate limit.
    pub limited_endpoints: Gauge,
    /// Endpoints that state a rejection limit.
    pub rejection_limited_endpoints: Gauge,
    /// Rejections by endpoints that state a rejection limit.
    pub limited_rejections: Counter,
    /// Sends refused since endpoints crash under the request or a part of its prompt.
    pub withheld_requests: Counter,
    /// Prompt blocks that are withheld.
    pub withheld_blocks: Gauge,
    /// Requests that are withheld, each counted once.
    pub withheld_contents: Gauge,
    /// Streams that callers took up, by what was decided.
    pub take_ups: Family<TakeUpLabel, Counter>,
    /// Requests sent to an endpoint, by who chose it.
    pub placements: Family<SourceLabel, Counter>,
    /// Requests that a coordinator refused.
    pub place_refusals: Family<CauseLabel, Counter>,
    /// Time that asking a coordinator took, in seconds.
    pub place_seconds: Histogram,
    /// Time that a request waited at a coordinator, in seconds.
    pub queue_seconds: Histogram,
    /// Requests that this instance counts in flight as a coordinator.
    pub placement_in_flight: Gauge,
    /// Requests that wait for an engine at this instance as a coordinator.
    pub placement_waiting: Gauge,
    /// Bytes of payload sent to other instances in datagrams.
    pub control_bytes: Family<PurposeLabel, Counter>,
    /// Longest gap between two events of a stream, in seconds.
    pub stream_gap: Family<RouteLabel, Histogram>,
    /// Time to the first byte of an endpoint's response, in seconds.
    pub first_byte: Histogram,
    /// Time to the end of a response, in seconds.
    pub response_time: Histogram,
    /// Requests being served.
    pub busy: Gauge,
    /// Log lines dropped.
    pub dropped_lines: Gauge,
    /// Revision of the view.
    pub revision: Gauge,
    /// Era of the view.
    pub era: Gauge,
    /// Restores of the store from a backup.
    pub restores: Counter,
    /// Pages of the list requested from the store.
    pub pages: Counter,
    /// 1 while this instance reads the store, 0 while it follows one that does or can't reach the store.
    pub reading: Gauge,
    /// Services of which this instance reaches no endpoint.
    pub cut_off: Gauge,
    /// Requests offered to peers, by what became of the offer.
    pub handovers: Family<OutcomeLabel, Counter>,
    /// Endpoints that were asked after the return of their records, by what they said.
    pub asked_endpoints: Family<OutcomeLabel, Counter>,
    /// Requests served for peers.
    pub served_for_peers: Counter,
    /// Memory that the process may use, in bytes.
    pub memory_limit: Gauge,
    /// Memory charged to connections, in bytes.
    pub memory_account: Gauge,
    /// Resident memory, in bytes.
    pub memory_resident: Gauge,
    /// Requests and connections refused for lack of memory or descriptors.
    pub memory_refusals: Family<CauseLabel, Counter>,
    /// Connections closed so that others have memory.
    pub memory_closings: Family<CauseLabel, Counter>,
}

impl Default for Counters {
    fn default() -> Counters {
        let buckets = || exponential_buckets(0.005, 2.0, 12);
        Counters {
            requests: Family::default(),
            retries: Counter::default(),
            leaving: Counter::default(),
            pauses: Counter::default(),
            limit_changes: Counter::default(),
            limited_requests: Counter::default(),
            limited_endpoints: Gauge::default(),
            rejection_limited_endpoints: Gauge::default(),
            limited_rejections: Counter::default(),
            withheld_requests: Counter::default(),
            withheld_blocks: Gauge::default(),
            withheld_contents: Gauge::default(),
            take_ups: Family::default(),
            placements: Family::default(),
            place_refusals: Family::default(),
            place_seconds: Histogram::new(exponential_buckets(0.0005, 2.0, 12)),
            queue_seconds: Histogram::new(buckets()),
            placement_in_flight: Gauge::default(),
            placement_waiting: Gauge::default(),
            control_bytes: Family::default(),
            stream_gap: Family::new_with_constructor(gap_histogram),
            first_byte: Histogram::new(buckets()),
            response_time: Histogram::new(buckets()),
            busy: Gauge::default(),
            dropped_lines: Gauge::default(),
            revision: Gauge::default(),
            era: Gauge::default(),
            restores: Counter::default(),
            pages: Counter::default(),
            reading: Gauge::default(),
            cut_off: Gauge::default(),
            handovers: Family::default(),
            asked_endpoints: Family::default(),
            served_for_peers: Counter::default(),
            memory_limit: Gauge::default(),
            memory_account: Gauge::default(),
            memory_resident: Gauge::default(),
            memory_refusals: Family::default(),
            memory_closings: Family::default(),
        }
    }
}

impl Counters {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register("repeats", "Requests sent again", self.retries.clone());
        registry.register(
            "placements",
            "Requests sent, by who chose the endpoint",
            self.placements.clone(),
        );
        let refusals = "Requests refused by the coordinator of their engines";
        registry.register("place_refusals", refusals, self.place_refusals.clone());
        let place = "Seconds that asking a coordinator took";
        registry.register("place_seconds", place, self.place_seconds.clone());
        let queue = "Seconds that requests waited at a coordinator";
        registry.register("queue_seconds", queue, self.queue_seconds.clone());
        let in_flight = "Requests that this instance counts in flight as a coordinator";
        registry.register("placement_in_flight", in_flight, self.placement_in_flight.clone());
        let waiting = "Requests that wait for an engine at this instance as a coordinator";
        registry.register("placement_waiting", waiting, self.placement_waiting.clone());
        let control = "Payload bytes of datagrams sent to other instances";
        registry.register("control_bytes", control, self.control_bytes.clone());
        let leaving = "Endpoints that said that they leave";
        registry.register("endpoints_leaving", leaving, self.leaving.clone());
        let pauses = "Pauses that endpoints asked for";
        registry.register("endpoint_pauses", pauses, self.pauses.clone());
        let limit_changes = "Changes of rate limits that endpoints name";
        registry.register("endpoint_limit_changes", limit_changes, self.limit_changes.clone());
        let limited_requests = "Requests sent to endpoints that name a rate limit";
        registry.register("limited_requests", limited_requests, self.limited_requests.clone());
        let limited_endpoints = "Endpoints that name a rate limit";
        registry.register("limited_endpoints", limited_endpoints, self.limited_endpoints.clone());
        registry.register(
            "rejection_limited_endpoints",
            "Endpoints that state a rejection limit",
            self.rejection_limited_endpoints.clone(),
        );
        registry.register(
            "limited_rejections",
            "Rejections by endpoints that state a rejection limit",
            self.limited_rejections.clone(),
        );
        let withheld_requests = "Sends refused since endpoints crash under the request or a part of its prompt";
        registry.register("withheld_requests", withheld_requests, self.withheld_requests.clone());
        let withheld_blocks = "Prompt parts that are withheld since engines crash under them";
        registry.register("withheld_blocks", withheld_blocks, self.withheld_blocks.clone());
        let withheld_contents = "Requests that are withheld since endpoints crash under them";
        registry.register("withheld_contents", withheld_contents, self.withheld_contents.clone());
        let take_ups = "Streams that callers took up, by what was decided";
        registry.register("take_ups", take_ups, self.take_ups.clone());
        let stream_gap = "Longest time between two events of a stream, in seconds";
        registry.register("stream_gap_seconds", stream_gap, self.stream_gap.clone());
        let first_byte = "Seconds to the first byte of an endpoint's answer";
        registry.register("first_byte_seconds", first_byte, self.first_byte.clone());
        registry.register(
            "answer_seconds",
            "Seconds to the end of an answer",
            self.response_time.clone(),
        );
        registry.register("busy", "Requests being served", self.busy.clone());
        registry.register("dropped_log_lines", "Log lines dropped", self.dropped_lines.clone());
        registry.register(
            "view_revision",
            "Revision of the store that the view rests on",
            self.revision.clone(),
        );
        registry.register("view_era", "Era of the store that the view rests on", self.era.clone());
        let restores = "Times that the store came back from a copy";
        registry.register("store_restores", restores, self.restores.clone());
        let pages = "Pages of the store's list asked for";
        registry.register("store_pages", pages, self.pages.clone());
        let reading = "1 while this instance reads the store, 0 while it follows another or has lost it";
        registry.register("store_reading", reading, self.reading.clone());
        let cut_off = "Services of which this instance reaches no endpoint";
        registry.register("services_cut_off", cut_off, self.cut_off.clone());
        let handovers = "Requests offered to peers, by what became of the offer";
        registry.register("handovers", handovers, self.handovers.clone());
        let asked = "Health checks of endpoints whose records returned, by what they said";
        registry.register("asked_endpoints", asked, self.asked_endpoints.clone());
        let served = "Requests served for peers";
        registry.register("served_for_peers", served, self.served_for_peers.clone());
        let limit = "Memory that the process may use";
        registry.register("memory_limit_bytes", limit, self.memory_limit.clone());
        let account = "Memory charged to connections of callers";
        registry.register("memory_account_bytes", account, self.memory_account.clone());
        let resident = "Resident memory";
        registry.register("memory_resident_bytes", resident, self.memory_resident.clone());
        let refusals = "Requests and connections refused for lack of memory or descriptors";
        registry.register("memory_refusals", refusals, self.memory_refusals.clone());
        let closings = "Connections closed so that others have memory";
        registry.register("memory_closings", closings, self.memory_closings.clone());
    }

    /// Updates the metrics of the memory account.
    pub fn set_memory(&self, usage: &Usage) {
        self.memory_limit.set(usage.limit_bytes as i64);
        self.memory_account.set(usage.account_bytes as i64);
        self.memory_resident.set(usage.resident_bytes as i64);
        for (causes, counts) in [
            (&self.memory_refusals, &usage.refusals[..]),
            (&self.memory_closings, &usage.closings[..]),
        ] {
            for (cause, count) in counts {
                let counter = causes.get_or_create_owned(&CauseLabel { cause });
                counter.inc_by(count.saturating_sub(counter.get()));
            }
        }
    }
}
