//! Routes, services, customers and limits of one configuration version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{CustomerId, ServiceId, Version, data};

data! {
    /// How often a request may run and how it is answered.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// Idempotent: may run more than once.
        Safe,
        /// Runs at most once per request of a caller.
        Unsafe,
        /// Answered by an event stream; runs at most once.
        Stream,
        /// Answered by an event stream; may continue at another endpoint after the last event.
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
        /// Name, used in logs and metrics.
        pub name: String,
        /// Host, in lower case.
        pub host: String,
        /// Prefix of the paths.
        pub path_start: String,
        /// Whether its requests may be retried, and how they are answered.
        pub kind: Kind,
        /// Longest time for which a request is kept.
        pub timeout: Duration,
        /// Latency objective for the answer, or for the first event of a stream.
        pub target: Option<Duration>,
        /// Longest gap between two events of a stream that is still on time.
        pub pause: Option<Duration>,
        /// Rank by urgency; 0 is the most urgent.
        pub priority: u32,
        /// Services that its requests go to.
        pub backends: Vec<Backend>,
        /// Most endpoints on which one request may run.
        pub most_runs: u32,
        /// Whether requests need no key.
        pub anonymous: bool,
    }

    /// A group of equivalent endpoints.
    pub struct Service {
        /// Its id.
        pub id: ServiceId,
        /// Time for which an endpoint is cold after its start.
        pub cold_time: Duration,
        /// Requests per second that a cold endpoint handles from all callers together; zero if there is no limit.
        pub cold_rate: f64,
        /// Requests that an engine runs at once; `None` for a plain service.
        pub engine_slots: Option<u32>,
        /// Prompt and output tokens that an engine holds; `None` for a plain service.
        pub engine_tokens: Option<u64>,
    }

    /// A customer and its keys.
    pub struct Customer {
        /// Its id.
        pub id: CustomerId,
        /// Keys that its callers send.
        pub keys: Vec<String>,
        /// Rank by urgency, compared before the route's; 0 is the most urgent.
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
        /// Time limit for the next request on a kept connection.
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

impl Kind {
    /// Whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::Safe | Kind::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::ResumableStream)
    }
}

/// Result of looking up a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Lookup {
    /// The configuration has no customers, so no key is needed.
    Open,
    /// The customer that the key belongs to.
    Known(Rc<Customer>),
    /// The key is missing or belongs to no customer.
    Unknown,
}

/// A configuration indexed by host, service and key.
#[derive(Debug, Default)]
pub struct Catalog {
    version: Version,
    limits: Option<CallerLimits>,
    routes: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Rc<Service>>,
    pauses: HashMap<ServiceId, Duration>,
    keys: Option<HashMap<String, Rc<Customer>>>,
    ranks: Vec<Rank>,
}

/// Priorities of a customer and a route, ordered by urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
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
        let mut routes: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &config.routes {
            routes
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|r| std::cmp::Reverse(r.path_start.len()));
        }
        let services = config.services.iter().map(|s| (s.id.clone(), Rc::new(s.clone())));
        Catalog {
            version: config.version,
            limits: Some(config.limits),
            routes,
            services: services.collect(),
            pauses: pauses(config),
            keys: config.customers.as_deref().map(index_keys),
            ranks: ranks(config),
        }
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
        let of_host = self.routes.get(&name)?;
        of_host.iter().find(|r| path.starts_with(&r.path_start))
    }

    /// The service with this id.
    pub fn service(&self, id: &str) -> Option<&Rc<Service>> {
        self.services.get(id)
    }

    /// The shortest gap between two events that any route of the service allows.
    pub fn tightest_pause(&self, service: &str) -> Option<Duration> {
        self.pauses.get(service).copied()
    }

    /// Looks up the customer of `key`.
    pub fn customer(&self, key: Option<&str>) -> Lookup {
        let Some(keys) = &self.keys else {
            return Lookup::Open;
        };
        match key.and_then(|k| keys.get(k)) {
            Some(customer) => Lookup::Known(customer.clone()),
            None => Lookup::Unknown,
        }
    }

    /// Urgency of a request among all that the configuration distinguishes, by the customer's priority, then the
    /// route's.
    pub fn urgency(&self, customer: Option<u32>, route: u32) -> Urgency {
        let own = Rank {
            customer: customer.unwrap_or(0),
            route,
        };
        let position = self.ranks.partition_point(|rank| *rank < own);
        Urgency {
            position,
            positions: self.ranks.len().max(1),
        }
    }
}

fn index_keys(customers: &[Customer]) -> HashMap<String, Rc<Customer>> {
    let mut keys = HashMap::new();
    for customer in customers {
        let shared = Rc::new(customer.clone());
        for key in &customer.keys {
            keys.insert(key.clone(), shared.clone());
        }
    }
    keys
}

fn pauses(config: &Config) -> HashMap<ServiceId, Duration> {
    let mut pauses: HashMap<ServiceId, Duration> = HashMap::new();
    for route in &config.routes {
        let Some(pause) = route.pause else {
            continue;
        };
        for backend in &route.backends {
            let tightest = pauses.entry(backend.service.clone()).or_insert(pause);
            *tightest = pause.min(*tightest);
        }
    }
    pauses
}

fn ranks(config: &Config) -> Vec<Rank> {
    let customers = config.customers.as_deref().unwrap_or_default();
    let mut ranks = Vec::new();
    let mut of_customers: Vec<u32> = customers.iter().map(|c| c.priority).collect();
    of_customers.push(0);
    of_customers.sort_unstable();
    of_customers.dedup();
    if customers.iter().all(|c| c.priority != 0) && !customers.is_empty() {
        of_customers.remove(0);
    }
    let mut of_routes: Vec<u32> = config.routes.iter().map(|r| r.priority).collect();
    of_routes.sort_unstable();
    of_routes.dedup();
    for customer in of_customers {
        ranks.extend(of_routes.iter().map(|route| Rank {
            customer,
            route: *route,
        }));
    }
    ranks
}
