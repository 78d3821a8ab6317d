//! Routes, services, customers and limits of one configuration version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{CustomerId, ServiceId, Version, data};

data! {
    /// What may be repeated.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// Idempotent: may run more than once.
        Safe,
        /// Runs at most once for each request of a caller.
        Unsafe,
        /// Answered by a series of events; runs at most once.
        Stream,
        /// Answered by a series of events; may go on at another endpoint behind the last event.
        ResumableStream,
    }

    /// One of the services that a route's requests go to.
    pub struct Backend {
        /// The service.
        pub service: ServiceId,
        /// Share of the route's requests, against the sum of all weights.
        pub weight: u32,
    }

    /// A route of callers' requests to services.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// Host that it serves, in lower case.
        pub host: String,
        /// Start of the paths that it serves.
        pub path_start: String,
        /// What may be repeated.
        pub kind: Kind,
        /// Longest time for which a request is kept.
        pub timeout: Duration,
        /// Objective for the answer, for streams for the first event.
        pub target: Option<Duration>,
        /// Longest time between two events of a stream that is still on time.
        pub pause: Option<Duration>,
        /// Rank; 0 is first.
        pub priority: u32,
        /// Where its requests go.
        pub backends: Vec<Backend>,
        /// Endpoints on which one request may run.
        pub most_runs: u32,
        /// Needs no key.
        pub anonymous: bool,
    }

    /// A group of equal endpoints.
    pub struct Service {
        /// Its id.
        pub id: ServiceId,
        /// Time for which a started endpoint is cold.
        pub cold_time: Duration,
        /// Requests a second that a cold endpoint bears from all callers together; zero if it needs no care.
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
        /// Keys that callers present.
        pub keys: Vec<String>,
        /// Rank that goes before the route's; 0 is first.
        pub priority: u32,
    }

    /// Bounds on what a caller may send.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Bytes of a head.
        pub head_bytes: usize,
        /// Bytes of a body.
        pub body_bytes: usize,
        /// Time for a head.
        pub head_time: Duration,
        /// Wait for the next request on a kept connection.
        pub idle_time: Duration,
    }

    /// One whole configuration.
    pub struct Config {
        /// Grows with every change.
        pub version: Version,
        /// Routes.
        pub routes: Vec<Route>,
        /// Services.
        pub services: Vec<Service>,
        /// Customers; `None` if callers need no keys.
        pub customers: Option<Vec<Customer>>,
        /// Bounds on callers.
        pub limits: CallerLimits,
    }
}

impl Kind {
    /// Whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::Safe | Kind::ResumableStream)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::ResumableStream)
    }
}

/// Whom a key belongs to.
#[derive(Debug, Clone, PartialEq)]
pub enum Lookup {
    /// The configuration has no customers.
    Open,
    /// The key's customer.
    Known(Rc<Customer>),
    /// No customer has the key.
    Unknown,
}

/// A configuration with its indexes.
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

/// A customer's and a route's priority, in order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    customer: u32,
    route: u32,
}

/// A place in the order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// From 0, the most urgent.
    pub position: usize,
    /// Number of positions that the configuration tells apart.
    pub positions: usize,
}

impl Urgency {
    /// 0 for the most urgent, 1 for the least.
    pub fn rank(self) -> f64 {
        let last = self.positions.max(2) - 1;
        (self.position as f64 / last as f64).min(1.0)
    }

    /// The same on a scale of whole numbers from 0 to `last`.
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

    /// The configuration's version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Bounds on callers, once a configuration is known.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let of_host = self.routes.get(&name)?;
        of_host.iter().find(|r| path.starts_with(&r.path_start))
    }

    /// The service with that id.
    pub fn service(&self, id: &str) -> Option<&Rc<Service>> {
        self.services.get(id)
    }

    /// The tightest pause between two events that a route of the service allows.
    pub fn tightest_pause(&self, service: &str) -> Option<Duration> {
        self.pauses.get(service).copied()
    }

    /// Whose key `key` is.
    pub fn customer(&self, key: Option<&str>) -> Lookup {
        let Some(keys) = &self.keys else {
            return Lookup::Open;
        };
        match key.and_then(|k| keys.get(k)) {
            Some(customer) => Lookup::Known(customer.clone()),
            None => Lookup::Unknown,
        }
    }

    /// Urgency of a request among all that the configuration tells apart: the customer's priority, then the route's,
    /// as a position.
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
