//! Description of a deployment: instances, endpoints, classes and customers.

use std::time::Duration;

use celerytide_manifest::{Action, Class, PolicyName};
use celerytide_types::{CustomerId, Millis, RegionId, ServiceId, ZoneId};

celerytide_types::data! {
    /// Deployment on loopback. Endpoints and instances are assigned to the zones round robin.
    #[serde(deny_unknown_fields)]
    pub struct Deployment {
        /// Display name.
        pub name: String,
        /// Region of all zones.
        pub region: RegionId,
        /// Availability zones.
        pub zones: Vec<ZoneId>,
        /// Number of instances of the system, each with an entry and a dispatch process.
        pub instances: usize,
        /// Model engines.
        pub engines: EngineSpec,
        /// Plain services.
        pub plain: PlainServiceSpec,
        /// Request classes.
        pub classes: Vec<Class>,
        /// Customers with their limits.
        pub customers: Vec<CustomerSpec>,
        /// Age of the lists that the configuration service returns, in milliseconds.
        #[serde(default)]
        pub list_lag_ms: Millis,
        /// Memory that an entry may use, in millions of bytes; 0 for that of the cgroup or the machine.
        #[serde(default)]
        pub entry_memory_mb: usize,
        /// Time for which a new pool owner waits for instances with an outdated view.
        #[serde(default = "default_hold", with = "humantime_serde")]
        pub hold: Duration,
        /// Scheduling policy of the pools.
        #[serde(default)]
        pub policy: PolicyName,
    }

    /// Engines of one model service.
    #[serde(deny_unknown_fields)]
    pub struct EngineSpec {
        /// Service id.
        pub service: ServiceId,
        /// Model name.
        pub model: String,
        /// Number of engines.
        pub count: usize,
        /// Maximum number of requests in one batch.
        pub slots: u32,
        /// Maximum number of requests in one batch while the engine is cold.
        pub cold_slots: u32,
        /// Length of a cold start, in seconds.
        #[serde(default)]
        pub cold_seconds: f64,
        /// Time to process one prompt token, in microseconds.
        #[serde(default = "default_prefill_us")]
        pub prefill_us_per_token: f64,
        /// Time of a decode step with one request in the batch, in milliseconds.
        #[serde(default = "default_decode_ms")]
        pub decode_ms: f64,
        /// Fraction of `decode_ms` by which each further request in the batch lengthens a decode step.
        #[serde(default)]
        pub batch_slowdown: f64,
        /// Maximum number of prompt tokens in prefill at once; 0 for no limit.
        #[serde(default)]
        pub prefill_tokens: u32,
        /// Age of load reports and cache events, in milliseconds.
        #[serde(default)]
        pub report_lag_ms: Millis,
        /// Whether the engines refuse orders with an outdated number.
        #[serde(default)]
        pub fenced: bool,
    }

    /// Replicas of one plain service.
    #[serde(deny_unknown_fields)]
    pub struct PlainServiceSpec {
        /// Service id.
        pub service: ServiceId,
        /// Number of replicas.
        pub count: usize,
        /// Maximum number of concurrent requests of a replica.
        pub slots: u32,
        /// Time that each request takes, in milliseconds.
        #[serde(default)]
        pub delay_ms: Millis,
        /// Actions that must run at most once.
        #[serde(default)]
        pub actions: Vec<Action>,
    }

    /// Customer with its limits. Its API key is `key-` followed by its id.
    #[serde(deny_unknown_fields)]
    pub struct CustomerSpec {
        /// Customer id.
        pub id: CustomerId,
        /// Share of the arrivals, relative to the weights of the other customers.
        pub weight: u32,
        /// Rate limit over all entries, in requests per second.
        pub requests_per_second: f64,
        /// Requests that it may send at once.
        pub burst: u32,
    }
}

impl CustomerSpec {
    /// API key of the customer.
    pub fn key(&self) -> String {
        format!("key-{}", self.id)
    }
}

impl Deployment {
    /// The deployment of the demonstration: two zones, two engines and one plain service.
    ///
    /// # Errors
    /// Fails only if the embedded YAML document is invalid.
    pub fn demo(instances: usize) -> Result<Self, serde_saphyr::Error> {
        let mut demo: Self = serde_saphyr::from_str(include_str!("demo.yaml"))?;
        demo.instances = instances;
        Ok(demo)
    }

    /// Returns the zone of the endpoint or instance with this index.
    pub fn zone(&self, index: usize) -> ZoneId {
        let index = index.checked_rem(self.zones.len()).unwrap_or_default();
        self.zones.get(index).cloned().unwrap_or_default()
    }
}

fn default_hold() -> Duration {
    Duration::from_secs(1)
}

fn default_prefill_us() -> f64 {
    20.0
}

fn default_decode_ms() -> f64 {
    10.0
}
