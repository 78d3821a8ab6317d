//! Which part serves a caller's request.

use celerytide_types::ServiceId;
use http::{Method, Uri};

/// Prefix of plain services.
pub const SERVICES_PREFIX: &str = "/services/";
/// Path of tickets.
pub const TICKETS_PATH: &str = "/v1/tickets";

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// `GET /v1/models`.
    Models,
    /// `POST /v1/chat/completions` or `/v1/completions`.
    Model,
    /// `POST /v1/tickets`.
    TakeTicket,
    /// `GET /v1/tickets/ID`.
    LookTicket(String),
    /// Any method on `/services/NAME/...`.
    Plain {
        /// The service.
        service: ServiceId,
        /// Path and query below its prefix, with a leading slash.
        rest: String,
    },
    /// A known path with another method.
    MethodNotAllowed,
    /// No such path.
    NotFound,
}

/// Finds the route of a request.
pub fn find(method: &Method, uri: &Uri) -> Route {
    let path = uri.path();
    match path {
        "/v1/models" => only(method, Method::GET, Route::Models),
        "/v1/chat/completions" | "/v1/completions" => only(method, Method::POST, Route::Model),
        TICKETS_PATH => only(method, Method::POST, Route::TakeTicket),
        _ => find_prefixed(method, uri, path),
    }
}

fn find_prefixed(method: &Method, uri: &Uri, path: &str) -> Route {
    if let Some(ticket) = path.strip_prefix(TICKETS_PATH).and_then(|p| p.strip_prefix('/')) {
        return only(method, Method::GET, Route::LookTicket(ticket.to_owned()));
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

fn only(method: &Method, wanted: Method, route: Route) -> Route {
    if *method == wanted {
        route
    } else {
        Route::MethodNotAllowed
    }
}
