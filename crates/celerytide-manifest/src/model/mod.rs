//! The manifest as typed data. Text becomes a [`Manifest`] only through the checks of this crate.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{ClassName, CustomerId, Digest, EndpointId, RegionId, ServiceId, Tier, Version, ZoneId, data};
use schemars::JsonSchema;

use crate::customers::{CustomerIndex, KeyHash};
use crate::schema;

data! {
    /// One event's manifest, as operators ship it.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Manifest {
        /// Format of this document; 1.
        #[schemars(range(min = 1, max = 1))]
        pub format: u32,
        /// Version; only a higher one replaces it.
        #[schemars(range(min = 1))]
        pub version: Version,
        /// The event the manifest is for.
        pub event: Event,
        /// Availability zones and whether they take work.
        pub zones: Vec<Zone>,
        /// Services and their endpoints.
        pub services: Vec<Service>,
        /// Classes of requests.
        pub classes: Vec<Class>,
        /// Customers and their limits.
        pub customers: Vec<Customer>,
        /// Further customers: hex SHA-256 of sections, each published as a value of its own.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[schemars(schema_with = "schema::sha256_list")]
        pub customer_sections: Vec<Digest>,
        /// The sections, and all customers by key; empty until [`join_sections`](crate::join_sections) has joined them.
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
        /// Region that holds it.
        #[schemars(schema_with = "schema::id")]
        pub region: RegionId,
        /// Whether it takes new work.
        #[serde(default)]
        pub state: ZoneState,
    }

    /// Whether a zone takes new work.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum ZoneState {
        /// In service.
        #[default]
        In,
        /// Out of service: no new work, work in flight finishes.
        Out,
    }

    /// A named group of equal endpoints.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Service id; the path prefix of a plain service.
        #[schemars(schema_with = "schema::id")]
        pub id: ServiceId,
        /// What its endpoints speak.
        pub kind: ServiceKind,
        /// Model names its endpoints serve; for kind `model` only.
        #[serde(default)]
        #[schemars(schema_with = "schema::models")]
        pub models: Vec<String>,
        /// Number of pools its endpoints are spread over.
        #[serde(default = "default_pools")]
        #[schemars(range(min = 1))]
        pub pools: u32,
        /// The endpoints.
        pub endpoints: Vec<EndpointSpec>,
        /// At-most-once actions; for kind `plain` only.
        #[serde(default)]
        pub actions: Vec<Action>,
    }

    /// What endpoints of a service speak.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// A model engine.
        Model,
        /// A plain HTTP service.
        Plain,
    }

    /// One endpoint and what it bears.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct EndpointSpec {
        /// Endpoint id.
        #[schemars(schema_with = "schema::id")]
        pub id: EndpointId,
        /// Where it listens.
        #[schemars(schema_with = "schema::address")]
        pub address: SocketAddr,
        /// Its availability zone.
        #[schemars(schema_with = "schema::id")]
        pub zone: ZoneId,
        /// Requests it bears at once when warm.
        #[schemars(range(min = 1))]
        pub slots: u32,
        /// Requests it bears at once in cold start.
        #[schemars(range(min = 1))]
        pub cold_slots: u32,
        /// Prompt tokens it may have in prefill at once; 0 for no bound.
        #[serde(default)]
        pub prefill_tokens: u32,
        /// Refuses an order that bears an old fencing number.
        #[serde(default)]
        pub fenced: bool,
        /// Checks who gives it an order.
        #[serde(default)]
        pub checks_sender: bool,
        /// Resumes a stream from text already produced.
        #[serde(default)]
        pub resumes: bool,
    }

    /// A call of a plain service that must not be repeated.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Action {
        /// Name for logs and metrics.
        #[schemars(schema_with = "schema::id")]
        pub name: String,
        /// HTTP method.
        #[schemars(schema_with = "schema::method")]
        pub method: String,
        /// Path below the service's prefix; a trailing `*` matches any rest.
        #[schemars(schema_with = "schema::path")]
        pub path: String,
        /// Whether a ticket is needed.
        #[serde(default)]
        pub ticket: TicketRule,
        /// The endpoint itself refuses a second run under one `Idempotency-Key`.
        #[serde(default)]
        pub refuses_duplicates: bool,
        /// Statuses by which the endpoint says that the request did not run.
        #[serde(default)]
        #[schemars(inner(range(min = 400, max = 599)))]
        pub not_run_status: Vec<u16>,
    }

    /// Whether a protected call needs a ticket.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum TicketRule {
        /// A call without a ticket is refused.
        #[default]
        Required,
        /// A call without a ticket runs at most once by itself; the caller's own retry is another request.
        Optional,
    }

    /// A class of requests.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Class {
        /// Class name.
        #[schemars(schema_with = "schema::id")]
        pub name: ClassName,
        /// The service it is for.
        #[schemars(schema_with = "schema::id")]
        pub service: ServiceId,
        /// Tier; 1 is the highest, 6 the lowest.
        #[schemars(range(min = 1, max = 6))]
        pub tier: Tier,
        /// Order inside a tier; a higher one goes first.
        #[serde(default)]
        pub priority: u8,
        /// Target for the first token, or for the whole answer of a plain service.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_1h")]
        pub first_token: Duration,
        /// Target between tokens; for kind `model` only.
        #[serde(default, with = "humantime_serde::option", skip_serializing_if = "Option::is_none")]
        #[schemars(schema_with = "schema::span_1h")]
        pub between_tokens: Option<Duration>,
        /// Share of the service's slots that the class keeps under any pressure, 0 to 1.
        #[serde(default)]
        #[schemars(range(min = 0, max = 1))]
        pub guaranteed_share: f64,
        /// Whether requests of the service that name no class belong to this one.
        #[serde(default)]
        pub default: bool,
        /// Whether its work may be preempted and resumed.
        #[serde(default)]
        pub preemptible: bool,
    }

    /// A customer and its limits.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Customer {
        /// Customer id.
        #[schemars(schema_with = "schema::id")]
        pub id: CustomerId,
        /// Hex SHA-256 of its key.
        #[schemars(schema_with = "schema::sha256")]
        pub key_sha256: KeyHash,
        /// Requests a second over all entries.
        #[schemars(extend("exclusiveMinimum" = 0))]
        pub requests_per_second: f64,
        /// Requests it may send at once.
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
        /// The endpoint.
        #[schemars(schema_with = "schema::id")]
        pub endpoint: EndpointId,
        /// What it shall do.
        pub kind: OrderKind,
        /// Name of the model, adapter, version or role.
        #[schemars(schema_with = "schema::name")]
        pub name: String,
    }

    /// What an order asks.
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
    /// The service of that id.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.id == id)
    }

    /// The service that serves `model`.
    pub fn service_for_model(&self, model: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.models.iter().any(|m| m == model))
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.name == name)
    }

    /// The class of requests to `service` that name none.
    pub fn default_class(&self, service: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.default && c.service == service)
    }

    /// The customer of that key.
    pub fn customer_by_key(&self, key: &KeyHash) -> Option<&Customer> {
        self.customer_index.find(&self.customers, key)
    }

    /// Its customers and those of its sections.
    pub fn all_customers(&self) -> impl Iterator<Item = &Customer> {
        let sections = self.customer_index.sections().iter();
        self.customers
            .iter()
            .chain(sections.flat_map(|section| &section.customers))
    }

    /// The zone of that id.
    pub fn zone(&self, id: &str) -> Option<&Zone> {
        self.zones.iter().find(|z| z.id == id)
    }
}
