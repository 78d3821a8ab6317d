//! Types of the manifest. A text becomes a [`Manifest`] only through the checks of this crate.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{ClassName, CustomerId, Digest, EndpointId, RegionId, ServiceId, Tier, Version, ZoneId, data};
use schemars::JsonSchema;

use crate::customers::{CustomerIndex, KeyHash};
use crate::schema;

data! {
    /// Manifest of one event, as operators publish it.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Manifest {
        /// Format of this document; always 1.
        #[schemars(range(min = 1, max = 1))]
        pub format: u32,
        /// Version; only a higher version replaces a manifest in force.
        #[schemars(range(min = 1))]
        pub version: Version,
        /// The event the manifest is for.
        pub event: Event,
        /// Availability zones and whether they receive new work.
        pub zones: Vec<Zone>,
        /// Services and their endpoints.
        pub services: Vec<Service>,
        /// Classes of requests.
        pub classes: Vec<Class>,
        /// Customers and their limits.
        pub customers: Vec<Customer>,
        /// Hex SHA-256 of the sections with further customers, each published as a separate value.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[schemars(schema_with = "schema::sha256_list")]
        pub customer_sections: Vec<Digest>,
        /// The sections, and an index of all customers by key; empty until [`join_sections`](crate::join_sections).
        #[serde(skip)]
        pub customer_index: CustomerIndex,
        /// Orders to endpoints.
        #[serde(default)]
        pub orders: Vec<Order>,
    }

    /// An event with a known start.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Event {
        /// Name for people.
        #[schemars(schema_with = "schema::label")]
        pub name: String,
        /// Start, RFC 3339 in UTC.
        #[schemars(schema_with = "schema::start")]
        pub start: String,
    }

    /// One availability zone.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Zone {
        /// Zone id.
        #[schemars(schema_with = "schema::id")]
        pub id: ZoneId,
        /// Region of the zone.
        #[schemars(schema_with = "schema::id")]
        pub region: RegionId,
        /// Whether the zone receives new work.
        #[serde(default)]
        pub state: ZoneState,
    }

    /// Whether a zone receives new work.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum ZoneState {
        /// In service.
        #[default]
        In,
        /// Out of service: it receives no new work, and running work finishes.
        Out,
    }

    /// A named group of interchangeable endpoints.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Service id; the path prefix of a plain service.
        #[schemars(schema_with = "schema::id")]
        pub id: ServiceId,
        /// Protocol of its endpoints.
        pub kind: ServiceKind,
        /// Names of the models that its endpoints serve; for kind `model` only.
        #[serde(default)]
        #[schemars(schema_with = "schema::models")]
        pub models: Vec<String>,
        /// Number of pools that its endpoints are divided into.
        #[serde(default = "default_pools")]
        #[schemars(range(min = 1))]
        pub pools: u32,
        /// The endpoints.
        pub endpoints: Vec<EndpointSpec>,
        /// At-most-once actions; for kind `plain` only.
        #[serde(default)]
        pub actions: Vec<Action>,
    }

    /// Protocol of a service's endpoints.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// A model engine.
        Model,
        /// A plain HTTP service.
        Plain,
    }

    /// One endpoint and its capacity.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct EndpointSpec {
        /// Endpoint id.
        #[schemars(schema_with = "schema::id")]
        pub id: EndpointId,
        /// Address that the endpoint listens on.
        #[schemars(schema_with = "schema::address")]
        pub address: SocketAddr,
        /// Availability zone of the endpoint.
        #[schemars(schema_with = "schema::id")]
        pub zone: ZoneId,
        /// Concurrent requests when warm.
        #[schemars(range(min = 1))]
        pub slots: u32,
        /// Concurrent requests during cold start.
        #[schemars(range(min = 1))]
        pub cold_slots: u32,
        /// Prompt tokens in prefill at the same time; 0 for no bound.
        #[serde(default)]
        pub prefill_tokens: u32,
        /// Whether the endpoint refuses an order with an old fencing number.
        #[serde(default)]
        pub fenced: bool,
        /// Whether the endpoint checks the sender of an order.
        #[serde(default)]
        pub checks_sender: bool,
        /// Whether the endpoint can resume a stream after text that was already produced.
        #[serde(default)]
        pub resumes: bool,
    }

    /// A request of a plain service that must not run twice.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Action {
        /// Name for logs and metrics.
        #[schemars(schema_with = "schema::id")]
        pub name: String,
        /// HTTP method.
        #[schemars(schema_with = "schema::method")]
        pub method: String,
        /// Path after the service's prefix; a trailing `*` matches any rest.
        #[schemars(schema_with = "schema::path")]
        pub path: String,
        /// Whether the request needs a ticket.
        #[serde(default)]
        pub ticket: TicketRule,
        /// Whether the endpoint itself refuses a second run with the same `Idempotency-Key`.
        #[serde(default)]
        pub refuses_duplicates: bool,
        /// HTTP statuses with which the endpoint says that the request did not run.
        #[serde(default)]
        #[schemars(inner(range(min = 400, max = 599)))]
        pub not_run_status: Vec<u16>,
    }

    /// Whether an at-most-once request needs a ticket.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum TicketRule {
        /// A request without a ticket is refused.
        #[default]
        Required,
        /// A request without a ticket runs at most once; the caller's own retry counts as another request.
        Optional,
    }

    /// A class of requests.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Class {
        /// Class name.
        #[schemars(schema_with = "schema::id")]
        pub name: ClassName,
        /// Service that the class belongs to.
        #[schemars(schema_with = "schema::id")]
        pub service: ServiceId,
        /// Tier; 1 is the highest, 6 the lowest.
        #[schemars(range(min = 1, max = 6))]
        pub tier: Tier,
        /// Priority inside a tier; a higher one goes first.
        #[serde(default)]
        pub priority: u8,
        /// Target for the first token, or for the complete response of a plain service.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_hour")]
        pub first_token: Duration,
        /// Target between tokens; for kind `model` only.
        #[serde(default, with = "humantime_serde::option", skip_serializing_if = "Option::is_none")]
        #[schemars(schema_with = "schema::duration_up_to_hour")]
        pub between_tokens: Option<Duration>,
        /// Share of the service's slots that is reserved for the class under any load, 0 to 1.
        #[serde(default)]
        #[schemars(range(min = 0, max = 1))]
        pub guaranteed_share: f64,
        /// Whether requests to the service that name no class get this one.
        #[serde(default)]
        pub default: bool,
        /// Whether its running requests may be preempted and resumed.
        #[serde(default)]
        pub preemptible: bool,
    }

    /// A customer and its rate limits.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Customer {
        /// Customer id.
        #[schemars(schema_with = "schema::id")]
        pub id: CustomerId,
        /// Hex SHA-256 of the customer's key.
        #[schemars(schema_with = "schema::sha256")]
        pub key_sha256: KeyHash,
        /// Requests per second over all entries.
        #[schemars(extend("exclusiveMinimum" = 0))]
        pub requests_per_second: f64,
        /// Requests that the customer may send at once.
        #[schemars(range(min = 1))]
        pub burst: u32,
        /// Weight among customers inside a class.
        #[serde(default = "default_weight")]
        #[schemars(range(min = 1))]
        pub weight: u32,
    }

    /// An order to an endpoint.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Order {
        /// Id of the endpoint.
        #[schemars(schema_with = "schema::id")]
        pub endpoint: EndpointId,
        /// What the endpoint shall do.
        pub kind: OrderKind,
        /// Name of the model, adapter, version or role.
        #[schemars(schema_with = "schema::name")]
        pub name: String,
    }

    /// What an order asks of the endpoint.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum OrderKind {
        /// Load a model.
        LoadModel,
        /// Load an adapter.
        LoadAdapter,
        /// Load a version.
        LoadVersion,
        /// Take a role.
        SetRole,
    }
}

fn default_pools() -> u32 {
    1
}

fn default_weight() -> u32 {
    1
}

impl Manifest {
    /// The service with that id.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.id == id)
    }

    /// The service that serves `model`.
    pub fn service_for_model(&self, model: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.models.iter().any(|m| m == model))
    }

    /// The class with that name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.name == name)
    }

    /// The class of requests to `service` that name no class.
    pub fn default_class(&self, service: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.default && c.service == service)
    }

    /// The customer with that key, of the manifest or a section.
    pub fn customer_by_key(&self, key: &KeyHash) -> Option<&Customer> {
        self.customer_index.find(&self.customers, key)
    }

    /// Customers of the manifest and of its sections.
    pub fn all_customers(&self) -> impl Iterator<Item = &Customer> {
        let sections = self.customer_index.sections().iter();
        self.customers
            .iter()
            .chain(sections.flat_map(|section| &section.customers))
    }

    /// The zone with that id.
    pub fn zone(&self, id: &str) -> Option<&Zone> {
        self.zones.iter().find(|z| z.id == id)
    }
}
