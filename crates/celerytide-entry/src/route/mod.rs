//! Maps a caller's method and path to the handler that serves it.

use celerytide_types::ServiceId;
use http::{Method, Uri};

/// Path prefix of plain services.
pub const SERVICES_PREFIX: &str = "/services/";
/// Path under which tickets are issued and looked up.
pub const TICKETS_PATH: &str = "/v1/tickets";

/// The handler of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// `GET /v1/models`.
    Models,
    /// `POST /v1/chat/completions` or `/v1/completions`.
    Model,
    /// `POST /v1/tickets`.
    IssueTicket,
    /// `GET /v1/tickets/ID`.
    LookUpTicket(String),
    /// Any method on `/services/NAME/...`.
    Plain {
        /// Name of the service, from the first path segment.
        service: ServiceId,
        /// Path and query after the service's name, with a leading slash.
        rest: String,
    },
    /// The path exists, the method is wrong for it.
    MethodNotAllowed,
    /// The path doesn't exist.
    NotFound,
}

/// Maps a request line to its route.
pub fn find_route(method: &Method, uri: &Uri) -> Route {
    let path = uri.path();
    match path {
        "/v1/models" => for_method(method, Method::GET, Route::Models),
        "/v1/chat/completions" | "/v1/completions" => for_method(method, Method::POST, Route::Model),
        TICKETS_PATH => for_method(method, Method::POST, Route::IssueTicket),
        _ => find_prefixed(method, uri, path),
    }
}

fn find_prefixed(method: &Method, uri: &Uri, path: &str) -> Route {
    if let Some(ticket) = path.strip_prefix(TICKETS_PATH).and_then(|p| p.strip_prefix('/')) {
        return for_method(method, Method::GET, Route::LookUpTicket(ticket.to_owned()));
    }
    let Some(below) = path.strip_prefix(SERVICES_PREFIX) else {
        return Route::NotFound;
    };
    let (service, rest) = below.split_once('/').unwrap_or((below, ""));
    let rest = match uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Route::Plain {
        service: service.to_owned(),
        rest,
    }
}

fn for_method(method: &Method, allowed: Method, route: Route) -> Route {
    if *method == allowed {
        route
    } else {
        Route::MethodNotAllowed
    }
}
