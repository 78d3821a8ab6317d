//! Rewrites headers between callers and endpoints.

use celerytide_types::millis;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

use crate::protocol::Protocol;
use crate::request::RoutedRequest;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern a single connection.
const HOP_BY_HOP: [HeaderName; 9] = [
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

/// Headers of an endpoint's response as sent to the caller.
pub fn to_caller(headers: &HeaderMap) -> HeaderMap {
    without_hop_by_hop(headers)
}

/// Values that the router sets on a request to an endpoint.
#[derive(Debug)]
pub struct Overrides<'a> {
    /// The endpoint's id.
    pub endpoint: &'a str,
    /// Time left for the request.
    pub time_left: Duration,
    /// Id of the last event that the caller received.
    pub last_event: Option<&'a [u8]>,
}

/// Headers of a caller's request as sent to an endpoint.
pub fn to_endpoint<P: Protocol>(
    headers: &HeaderMap,
    request: &RoutedRequest,
    protocol: &P,
    overrides: &Overrides<'_>,
) -> HeaderMap {
    let names = protocol.header_names();
    let mut out = without_hop_by_hop(headers);
    out.remove(HOST);
    out.remove(&names.key);
    for name in &names.internal {
        out.remove(name);
    }
    if let Some(customer) = &request.customer {
        set_header(&mut out, &names.customer, customer.id.as_bytes());
    }
    set_header(&mut out, &names.endpoint, overrides.endpoint.as_bytes());
    set_header(
        &mut out,
        &names.deadline_ms,
        millis(overrides.time_left).to_string().as_bytes(),
    );
    if let Some(id) = overrides.last_event {
        set_header(&mut out, &names.last_event, id);
    }
    if request.route.kind.is_stream() {
        let urgency = request.urgency.on_scale(protocol.least_urgent());
        set_header(&mut out, &names.urgency, urgency.to_string().as_bytes());
    }
    out
}

fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        out.remove(name);
    }
    out
}

fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &[u8]) {
    match HeaderValue::from_bytes(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(_) => tracing::warn!(%name, "forward: dropped a header with an invalid value"),
    }
}
