//! What a deployment consists of.

use std::time::Duration;

use celerytide_manifest::{Action, Class, PolicyName};
use celerytide_types::{CustomerId, Millis, RegionId, ServiceId, ZoneId};

celerytide_types::data! {
    /// A deployment on loopback. Endpoints and instances are spread over the zones in turn.
    #[serde(deny_unknown_fields)]
    pub struct Deployment {
        /// Name for people.
        pub name: String,
        /// Region.
        pub region: RegionId,
        /// Availability zones.
        pub zones: Vec<ZoneId>,
        /// Instances of the system, each with an entry and a dispatch process.
        pub instances: usize,
        /// Model engines.
        pub engines: EngineGroup,
        /// Plain services.
        pub plain: PlainGroup,
        /// Classes of requests.
        pub classes: Vec<Class>,
        /// Customers.
        pub customers: Vec<CustomerPlan>,
        /// Age of the view from which the configuration service answers lists.
        #[serde(default)]
        pub list_lag_ms: Millis,
        /// Wait of a new owner for lagging views.
        #[serde(default = "default_hold", with = "humantime_serde")]
        pub hold: Duration,
        /// Policy of the pools.
        #[serde(default)]
        pub policy: PolicyName,
    }

    /// The engines of one model service.
    #[serde(deny_unknown_fields)]
    pub struct EngineGroup {
        /// Service id.
        pub service: ServiceId,
        /// Model name.
        pub model: String,
        /// Number of engines.
        pub count: usize,
        /// Requests in one batch.
        pub slots: u32,
        /// Requests borne while cold.
        pub cold_slots: u32,
        /// Length of a cold start.
        #[serde(default)]
        pub cold_seconds: f64,
        /// Time to read one prompt token, in microseconds.
        #[serde(default = "default_prefill")]
        pub prefill_us_per_token: f64,
        /// Time of a decode step of a batch of one, in milliseconds.
        #[serde(default = "default_decode")]
        pub decode_ms: f64,
        /// Part of a decode step that each further request adds.
        #[serde(default)]
        pub batch_slowdown: f64,
        /// Prompt tokens that an engine may have in prefill at once; 0 for no bound.
        #[serde(default)]
        pub prefill_tokens: u32,
        /// Age of load reports and cache events.
        #[serde(default)]
        pub report_lag_ms: Millis,
        /// Refuse orders with an old number.
        #[serde(default)]
        pub fenced: bool,
    }

    /// The replicas of one plain service.
    #[serde(deny_unknown_fields)]
    pub struct PlainGroup {
        /// Service id.
        pub service: ServiceId,
        /// Number of replicas.
        pub count: usize,
        /// Requests that a replica bears at once.
        pub slots: u32,
        /// Time that each run takes.
        #[serde(default)]
        pub delay_ms: Millis,
        /// Actions that may run at most once.
        #[serde(default)]
        pub actions: Vec<Action>,
    }

    /// A customer. Its key is `key-` and its id.
    #[serde(deny_unknown_fields)]
    pub struct CustomerPlan {
        /// Customer id.
        pub id: CustomerId,
        /// Part of the arrivals that are its own, against the other customers' weights.
        pub weight: u32,
        /// Requests a second over all entries.
        pub requests_per_second: f64,
        /// Requests it may send at once.
        pub burst: u32,
    }
}

impl CustomerPlan {
    /// The key by which the customer is known.
    pub fn key(&self) -> String {
        format!("key-{}", self.id)
    }
}

impl Deployment {
    /// Two zones, two instances, two engines and one plain service.
    ///
    /// # Errors
    /// The message of the decoder, which only a fault of the embedded text could cause.
    pub fn demo(instances: usize) -> Result<Self, serde_saphyr::Error> {
        let mut demo: Self = serde_saphyr::from_str(include_str!("demo.yaml"))?;
        demo.instances = instances;
        Ok(demo)
    }

    /// The zone of the endpoint or instance with this index.
    pub fn zone(&self, index: usize) -> ZoneId {
        let index = index.checked_rem(self.zones.len()).unwrap_or_default();
        self.zones.get(index).cloned().unwrap_or_default()
    }
}

fn default_hold() -> Duration {
    Duration::from_secs(1)
}

fn default_prefill() -> f64 {
    20.0
}

fn default_decode() -> f64 {
    10.0
}
