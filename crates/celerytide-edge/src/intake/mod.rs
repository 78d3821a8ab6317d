//! What a caller's request is: its route, customer, deadline and prompt, or why it is refused.

use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Catalog, Customer, Lookup, Route, Urgency};
use celerytide_http::server::Request;
use celerytide_types::BootTime;
use http::header::HOST;
use http::{HeaderMap, StatusCode};

use crate::names::{Prompt, Wire};

/// Longest deadline that is believed; a longer one counts as this.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// A request that may be forwarded.
#[derive(Debug, Clone)]
pub struct Intake {
    /// The caller's id of it.
    pub id: String,
    /// Its route.
    pub route: Rc<Route>,
    /// Its customer, where the configuration has customers and the route needs one.
    pub customer: Option<Rc<Customer>>,
    /// When it was read whole.
    pub began: BootTime,
    /// When the caller, or the route, no longer waits for it.
    pub deadline: BootTime,
    /// Its prompt.
    pub prompt: Prompt,
    /// Its place in the order of urgency.
    pub urgency: Urgency,
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
}

impl Denial {
    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Denial::Unconfigured => StatusCode::SERVICE_UNAVAILABLE,
            Denial::NoRoute => StatusCode::NOT_FOUND,
            Denial::NoCustomer => StatusCode::UNAUTHORIZED,
        }
    }

    /// Stable machine-readable cause.
    pub fn cause(self) -> &'static str {
        match self {
            Denial::Unconfigured => "no-configuration",
            Denial::NoRoute => "no-route",
            Denial::NoCustomer => "unknown-key",
        }
    }
}

/// Reads what the request is.
pub fn read<W: Wire>(req: &Request, catalog: &Catalog, wire: &W, began: BootTime) -> Result<Intake, Denial> {
    if catalog.limits().is_none() {
        return Err(Denial::Unconfigured);
    }
    let names = wire.names();
    let host = text(&req.headers, &HOST).unwrap_or_default();
    let route = catalog.route(host, req.uri.path()).ok_or(Denial::NoRoute)?;
    let customer = if route.anonymous {
        None
    } else {
        match catalog.customer(text(&req.headers, &names.key)) {
            Lookup::Open => None,
            Lookup::Known(customer) => Some(customer),
            Lookup::Unknown => return Err(Denial::NoCustomer),
        }
    };
    let stated = text(&req.headers, &names.deadline_ms).and_then(|v| v.trim().parse::<u64>().ok());
    let stated = stated.map_or(MAX_DEADLINE, Duration::from_millis);
    let urgency = catalog.urgency(customer.as_ref().map(|c| c.priority), route.priority);
    Ok(Intake {
        id: text(&req.headers, &names.request_id).unwrap_or_default().to_owned(),
        route: route.clone(),
        customer,
        began,
        deadline: began.after(stated.min(route.timeout)),
        prompt: wire.prompt(&req.headers),
        urgency,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
