//! Matches a caller's request to its route, customer, deadline and prompt, or denies it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_catalog::{Catalog, Customer, KeyLookup, Route, RouteKind, Urgency};
use celerytide_http::server::Request;
use celerytide_types::BootTime;
use http::header::HOST;
use http::{HeaderMap, StatusCode};
use xxhash_rust::xxh3::Xxh3Default;

use crate::protocol::{HeaderNames, Prompt, Protocol};

/// Longest deadline that a caller can request; longer ones are reduced to this.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Hash of what makes two requests the same: method, host, path with query, customer and body.
pub type ContentHash = u64;

/// A request that may be forwarded.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// The caller's id of the request.
    pub id: String,
    /// The same each time that this request comes again.
    pub content: ContentHash,
    /// The matching route.
    pub route: Rc<Route>,
    /// The customer; `None` if the configuration has no customers or the route needs none.
    pub customer: Option<Rc<Customer>>,
    /// When it had been received completely.
    pub began: BootTime,
    /// When the caller or the route stops waiting for it.
    pub deadline: BootTime,
    /// Its prompt.
    pub prompt: Prompt,
    /// Its rank by urgency.
    pub urgency: Urgency,
    /// The stream that it takes up, if any.
    pub take_up: Option<TakeUp>,
}

/// A stream that broke off and that its caller takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeUp {
    /// Id of the caller's request that brought its first event; `None` if the caller doesn't say.
    pub first_request: Option<String>,
    /// Id of the last event that the caller has, if it has any.
    pub last_event: Option<Bytes>,
}

/// Why a request isn't forwarded; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No configuration is known yet.
    Unconfigured,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoCustomer,
    /// No route or key matches, and other instances know a newer configuration.
    Outdated,
}

impl Denial {
    /// HTTP status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Denial::Unconfigured | Denial::Outdated => StatusCode::SERVICE_UNAVAILABLE,
            Denial::NoRoute => StatusCode::NOT_FOUND,
            Denial::NoCustomer => StatusCode::UNAUTHORIZED,
        }
    }

    /// Machine-readable cause, a stable text.
    pub fn cause(self) -> &'static str {
        match self {
            Denial::Unconfigured => "no-configuration",
            Denial::NoRoute => "no-route",
            Denial::NoCustomer => "unknown-key",
            Denial::Outdated => "configuration-outdated",
        }
    }
}

/// Matches the request by its headers and path.
pub fn route<P: Protocol>(
    req: &Request,
    catalog: &Catalog,
    protocol: &P,
    began: BootTime,
) -> Result<RoutedRequest, Denial> {
    if catalog.limits().is_none() {
        return Err(Denial::Unconfigured);
    }
    let names = protocol.header_names();
    let host = text(&req.headers, &HOST).unwrap_or_default();
    let route = catalog.route(host, req.uri.path()).ok_or(Denial::NoRoute)?;
    let customer = if route.anonymous {
        None
    } else {
        match catalog.customer(text(&req.headers, &names.key)) {
            KeyLookup::NoCustomers => None,
            KeyLookup::Customer(customer) => Some(customer),
            KeyLookup::UnknownKey => return Err(Denial::NoCustomer),
        }
    };
    let requested = text(&req.headers, &names.deadline_ms).and_then(|v| v.trim().parse::<u64>().ok());
    let requested = requested.map_or(MAX_DEADLINE, Duration::from_millis);
    let urgency = catalog.urgency(customer.as_ref().map(|c| c.priority), route.priority);
    Ok(RoutedRequest {
        id: text(&req.headers, &names.request_id).unwrap_or_default().to_owned(),
        content: content_hash(req, host, customer.as_deref()),
        route: route.clone(),
        customer,
        began,
        deadline: began.after(requested.min(route.timeout)),
        prompt: protocol.prompt(&req.headers),
        urgency,
        take_up: take_up(&req.headers, names).filter(|_| route.kind == RouteKind::ResumableStream),
    })
}

/// The stream that a request takes up: it names the last event, or the request that brought the first one.
fn take_up(headers: &HeaderMap, names: &HeaderNames) -> Option<TakeUp> {
    let last_event = text(headers, &names.last_event).filter(|id| !id.is_empty());
    let mut named = headers.get_all(&names.first_request).iter();
    let first = named.next();
    if first.is_none() && last_event.is_none() {
        return None;
    }
    // Of two different names neither is believed.
    let is_one = named.all(|other| Some(other) == first);
    let first_request = first.filter(|_| is_one).and_then(|id| id.to_str().ok());
    Some(TakeUp {
        last_event: last_event.map(|id| Bytes::copy_from_slice(id.as_bytes())),
        first_request: first_request.filter(|id| !id.is_empty()).map(str::to_owned),
    })
}

fn content_hash(req: &Request, host: &str, customer: Option<&Customer>) -> ContentHash {
    let target = req.uri.path_and_query().map_or("/", |target| target.as_str());
    let customer = customer.map_or("", |customer| customer.id.as_str());
    let parts = [
        req.method.as_str().as_bytes(),
        host.as_bytes(),
        target.as_bytes(),
        customer.as_bytes(),
    ];
    let mut hasher = Xxh3Default::new();
    for part in parts {
        // The length keeps two neighbours apart.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&(req.body.len() as u64).to_le_bytes());
    req.body.segments().iter().for_each(|segment| hasher.update(segment));
    hasher.digest()
}

fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
