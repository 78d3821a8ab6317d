//! Headers forwarded between callers and endpoints: hop-by-hop headers and our own are removed, request id, customer
//! and tier added.

use celerytide_types::Tier;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::request_info::RequestInfo;
use crate::response::{REQUEST_ID_HEADER, insert_text};

/// Tier of the request, for engines that schedule by priority.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Id of the customer; its key is never forwarded.
const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("celerytide-customer");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that are never forwarded: they concern one connection, carry the key, or are set again.
const NOT_FORWARDED: [HeaderName; 13] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers of the request to an endpoint.
pub fn endpoint_headers(from_caller: &HeaderMap, info: &RequestInfo) -> HeaderMap {
    let mut headers = forwarded(from_caller);
    remove_own(&mut headers);
    insert_text(&mut headers, REQUEST_ID_HEADER, &info.request);
    insert_text(&mut headers, CUSTOMER_HEADER, &info.customer);
    headers.insert(PRIORITY_HEADER, priority(info.tier));
    headers
}

/// Headers of the response to the caller, without those of the outcome: an endpoint's own `celerytide-` headers would
/// speak for this entry.
pub fn caller_headers(from_endpoint: &HeaderMap) -> HeaderMap {
    let mut headers = forwarded(from_endpoint);
    remove_own(&mut headers);
    headers
}

fn priority(tier: Tier) -> HeaderValue {
    HeaderValue::from(u16::from(tier))
}

fn forwarded(from: &HeaderMap) -> HeaderMap {
    let hop_by_hop = listed_in_connection(from);
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        if NOT_FORWARDED.contains(name) || hop_by_hop.iter().any(|n| n.eq_ignore_ascii_case(name.as_str())) {
            continue;
        }
        headers.append(name.clone(), value.clone());
    }
    headers
}

/// Names listed in `connection` headers, which apply to one connection only.
fn listed_in_connection(from: &HeaderMap) -> Vec<String> {
    let lists = from.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    lists
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_owned())
        .collect()
}

/// Removes `celerytide-` headers, which mean something between the entry and its callers only.
fn remove_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|n| n.as_str().starts_with("celerytide-"))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
