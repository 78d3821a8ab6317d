//! Headers on their way through.

use celerytide_types::millis;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

use crate::intake::Intake;
use crate::names::Wire;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only.
const HOP: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers of an endpoint's answer for the caller.
pub fn to_caller(headers: &HeaderMap) -> HeaderMap {
    without_hop(headers)
}

/// What the router sets on a request to an endpoint.
#[derive(Debug)]
pub struct Set<'a> {
    /// The endpoint's id.
    pub endpoint: &'a str,
    /// Time that is left.
    pub left: Duration,
    /// Last event that the caller has.
    pub last_event: Option<&'a [u8]>,
}

/// Headers of a caller's request for an endpoint.
pub fn to_endpoint<W: Wire>(headers: &HeaderMap, intake: &Intake, wire: &W, set: &Set<'_>) -> HeaderMap {
    let names = wire.names();
    let mut out = without_hop(headers);
    out.remove(HOST);
    out.remove(&names.key);
    for name in &names.own {
        out.remove(name);
    }
    if let Some(customer) = &intake.customer {
        put(&mut out, &names.customer, customer.id.as_bytes());
    }
    put(&mut out, &names.endpoint, set.endpoint.as_bytes());
    put(&mut out, &names.deadline_ms, millis(set.left).to_string().as_bytes());
    if let Some(id) = set.last_event {
        put(&mut out, &names.last_event, id);
    }
    if intake.route.kind.is_stream() {
        let urgency = intake.urgency.on_scale(wire.last_urgency());
        put(&mut out, &names.urgency, urgency.to_string().as_bytes());
    }
    out
}

fn without_hop(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect();
    for name in HOP.iter().chain(&listed) {
        out.remove(name);
    }
    out
}

fn put(headers: &mut HeaderMap, name: &HeaderName, value: &[u8]) {
    match HeaderValue::from_bytes(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(_) => tracing::warn!(%name, "forward: a value is no header; left out"),
    }
}
