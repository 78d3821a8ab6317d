//! Routes, services, customers and limits of one configuration version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{CustomerId, ServiceId, Version, data};

data! {
    /// Whether a request may be retried, and what kind of response it gets.
    #[derive(Copy, Eq)]
    pub enum RouteKind {
        /// Idempotent: may run more than once.
        Safe,
        /// Not idempotent: runs at most once per request of a caller.
        Unsafe,
        /// The response is an event stream; runs at most once.
        Stream,
        /// The response is an event stream; may continue at another endpoint after the last event.
        ResumableStream,
    }

    /// A share of a route's requests that goes to one service.
    pub struct Backend {
        /// Id of the service.
        pub service: ServiceId,
        /// Share of the requests, relative to the sum of the route's weights.
        pub weight: u32,
    }

    /// Selects requests by host and path and sends them to services.
    pub struct Route {
        /// Name in logs and metrics.
        pub name: String,
        /// Host, in lower case.
        pub host: String,
        /// Prefix of the paths.
        pub path_prefix: String,
        /// Whether requests may be retried, and what kind of response they get.
        pub kind: RouteKind,
        /// Longest time from a request's arrival to the end of its response.
        pub timeout: Duration,
        /// Latency target for the response, or for the first event of a stream.
        pub latency_target: Option<Duration>,
        /// Longest gap between two events of a stream that is still on time.
        pub max_event_gap: Option<Duration>,
        /// Priority of its requests; 0 is the most urgent.
        pub priority: u32,
        /// Services that its requests go to.
        pub backends: Vec<Backend>,
        /// Maximum number of attempts of a request, counting only those that may have run.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub anonymous: bool,
    }

    /// A group of equivalent endpoints.
    pub struct Service {
        /// Its id.
        pub id: ServiceId,
        /// Time for which an endpoint is cold after its start.
        pub cold_period: Duration,
        /// Requests per second that a cold endpoint handles from all callers together; zero for no limit.
        pub cold_rate: f64,
        /// Requests that an engine runs at once; `None` for a plain service.
        pub engine_slots: Option<u32>,
        /// Prompt and output tokens that an engine holds; `None` for a plain service.
        pub engine_tokens: Option<u64>,
        /// Connections that an endpoint accepts from all callers together; `None` if that isn't known. Messages carry it
        /// in a field of their own: processes of other releases couldn't read it here.
        #[serde(skip)]
        pub max_connections: Option<u32>,
        /// Path of the endpoints' health check; `None` if that isn't known. In a field of its own for the same reason.
        #[serde(skip)]
        pub health_path: Option<String>,
    }

    /// A customer and its keys.
    pub struct Customer {
        /// Its id.
        pub id: CustomerId,
        /// Keys that its callers send.
        pub keys: Vec<String>,
        /// Priority of its requests, compared before the route's; 0 is the most urgent.
        pub priority: u32,
    }

    /// Limits on what a caller may send.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Most bytes of a request's head.
        pub head_bytes: usize,
        /// Most bytes of a request's body.
        pub body_bytes: usize,
        /// Time limit for receiving a head.
        pub head_time: Duration,
        /// Time limit for the next request on an idle connection.
        pub idle_time: Duration,
    }

    /// One complete configuration.
    pub struct Config {
        /// Increases with every change.
        pub version: Version,
        /// Routes of all hosts.
        pub routes: Vec<Route>,
        /// Services that routes refer to.
        pub services: Vec<Service>,
        /// Customers; `None` if callers need no keys.
        pub customers: Option<Vec<Customer>>,
        /// Limits on callers.
        pub limits: CallerLimits,
    }
}

/// Longest time that a configuration can state; longer ones are reduced to it, so that no sum or multiple overflows.
const MAX_TIME: Duration = Duration::from_secs(7 * 24 * 3600);

impl Config {
    fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|known| known.id == id)
    }

    /// Whether `other` knows more than this one of what earlier releases don't tell of services.
    pub(crate) fn lacks_later_fields_of(&self, other: &Config) -> bool {
        self.services.iter().any(|service| {
            other.service(&service.id).is_some_and(|other| {
                let lacks_max = service.max_connections.is_none() && other.max_connections.is_some();
                let lacks_path = service.health_path.is_none() && other.health_path.is_some();
                lacks_max || lacks_path
            })
        })
    }

    /// Takes over from `other` what isn't known here of that.
    pub(crate) fn fill_later_fields(&mut self, other: &Config) {
        for service in &mut self.services {
            let Some(other) = other.service(&service.id) else {
                continue;
            };
            service.max_connections = service.max_connections.or(other.max_connections);
            if service.health_path.is_none() {
                service.health_path.clone_from(&other.health_path);
            }
        }
    }

    /// Reduces times that are too long; returns their number.
    fn reduce_times(&mut self) -> usize {
        let of_routes = self.routes.iter_mut().flat_map(|route| {
            let optional = [&mut route.latency_target, &mut route.max_event_gap];
            optional.into_iter().flatten().chain([&mut route.timeout])
        });
        let of_services = self.services.iter_mut().map(|service| &mut service.cold_period);
        let of_limits = [&mut self.limits.head_time, &mut self.limits.idle_time];
        let all = of_routes.chain(of_services).chain(of_limits);
        all.filter(|time| **time > MAX_TIME)
            .map(|time| *time = MAX_TIME)
            .count()
    }
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// Result of looking up a key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyLookup {
    /// The configuration has no customers, so no key is needed.
    NoCustomers,
    /// The customer that the key belongs to.
    Customer(Rc<Customer>),
    /// The key is missing or belongs to no customer.
    UnknownKey,
}

/// A configuration indexed by host, service and key.
#[derive(Debug, Default)]
pub struct Catalog {
    version: Version,
    limits: Option<CallerLimits>,
    routes: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Rc<Service>>,
    tightest_gaps: HashMap<ServiceId, Duration>,
    keys: Option<HashMap<String, Rc<Customer>>>,
    priorities: Vec<PriorityPair>,
    reduced_times: usize,
}

/// Priorities of a customer and a route, ordered by urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PriorityPair {
    customer: u32,
    route: u32,
}

/// Position in the order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Counted from 0, the most urgent.
    pub position: usize,
    /// Number of positions that the configuration distinguishes.
    pub positions: usize,
}

impl Urgency {
    /// Relative rank: 0 for the most urgent, 1 for the least.
    pub fn rank(self) -> f64 {
        let last = self.positions.max(2) - 1;
        (self.position as f64 / last as f64).min(1.0)
    }

    /// Position on an integer scale from 0 to `last`.
    pub fn on_scale(self, last: usize) -> usize {
        if self.positions <= last + 1 {
            return self.position.min(last);
        }
        (self.position * last / (self.positions - 1)).min(last)
    }
}

impl Catalog {
    /// Indexes a configuration.
    pub fn new(config: &Config) -> Catalog {
        let mut config = config.clone();
        let reduced_times = config.reduce_times();
        let mut routes: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &config.routes {
            routes
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let services = config.services.iter().map(|s| (s.id.clone(), Rc::new(s.clone())));
        Catalog {
            version: config.version,
            limits: Some(config.limits),
            routes,
            services: services.collect(),
            tightest_gaps: tightest_gaps(&config),
            keys: config.customers.as_deref().map(index_keys),
            priorities: priority_pairs(&config),
            reduced_times,
        }
    }

    /// Number of times of the configuration that were too long and were reduced.
    pub fn reduced_times(&self) -> usize {
        self.reduced_times
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Limits on callers; `None` before a configuration is known.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// The route of `host` with the longest matching prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let host_routes = self.routes.get(&name)?;
        host_routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }

    /// The service with this id.
    pub fn service(&self, id: &str) -> Option<&Rc<Service>> {
        self.services.get(id)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// The shortest gap between two events that any route of the service allows.
    pub fn tightest_gap(&self, service: &str) -> Option<Duration> {
        self.tightest_gaps.get(service).copied()
    }

    /// Looks up the customer of `key`.
    pub fn customer(&self, key: Option<&str>) -> KeyLookup {
        let Some(keys) = &self.keys else {
            return KeyLookup::NoCustomers;
        };
        match key.and_then(|k| keys.get(k)) {
            Some(customer) => KeyLookup::Customer(customer.clone()),
            None => KeyLookup::UnknownKey,
        }
    }

    /// Urgency of a request among all that the configuration distinguishes, by the customer's priority, then the
    /// route's. `None` for the customer counts as priority 0, the most urgent.
    pub fn urgency(&self, customer_priority: Option<u32>, route_priority: u32) -> Urgency {
        let pair = PriorityPair {
            customer: customer_priority.unwrap_or(0),
            route: route_priority,
        };
        let position = self.priorities.partition_point(|other| *other < pair);
        Urgency {
            position,
            positions: self.priorities.len().max(1),
        }
    }
}

fn index_keys(customers: &[Customer]) -> HashMap<String, Rc<Customer>> {
    let mut keys = HashMap::new();
    for customer in customers {
        let indexed = Rc::new(customer.clone());
        for key in &customer.keys {
            keys.insert(key.clone(), indexed.clone());
        }
    }
    keys
}

fn tightest_gaps(config: &Config) -> HashMap<ServiceId, Duration> {
    let mut tightest_gaps: HashMap<ServiceId, Duration> = HashMap::new();
    for route in &config.routes {
        let Some(max_event_gap) = route.max_event_gap else {
            continue;
        };
        for backend in &route.backends {
            let current = tightest_gaps.entry(backend.service.clone()).or_insert(max_event_gap);
            *current = max_event_gap.min(*current);
        }
    }
    tightest_gaps
}

fn priority_pairs(config: &Config) -> Vec<PriorityPair> {
    let customers = config.customers.as_deref().unwrap_or_default();
    let mut pairs = Vec::new();
    let mut customer_priorities: Vec<u32> = customers.iter().map(|c| c.priority).collect();
    customer_priorities.push(0);
    customer_priorities.sort_unstable();
    customer_priorities.dedup();
    if customers.iter().all(|c| c.priority != 0) && !customers.is_empty() {
        customer_priorities.remove(0);
    }
    let mut route_priorities: Vec<u32> = config.routes.iter().map(|r| r.priority).collect();
    route_priorities.sort_unstable();
    route_priorities.dedup();
    for customer in customer_priorities {
        pairs.extend(route_priorities.iter().map(|route| PriorityPair {
            customer,
            route: *route,
        }));
    }
    pairs
}
