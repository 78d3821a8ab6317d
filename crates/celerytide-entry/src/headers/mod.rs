//! Headers that pass through, and those that don't.

use celerytide_types::Tier;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::answer::{REQUEST_ID, insert_text};
use crate::facts::Facts;

/// The request's tier, for engines that honour priorities.
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// The customer, in place of its key, which stays here.
const CUSTOMER: HeaderName = HeaderName::from_static("celerytide-customer");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only, or that are made anew.
const DROPPED: [HeaderName; 13] = [
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

/// Headers of the call to an endpoint.
pub fn to_endpoint(from_caller: &HeaderMap, facts: &Facts) -> HeaderMap {
    let mut headers = pass(from_caller);
    drop_own(&mut headers);
    insert_text(&mut headers, REQUEST_ID, &facts.request);
    insert_text(&mut headers, CUSTOMER, &facts.customer);
    headers.insert(PRIORITY, priority(facts.tier));
    headers
}

/// Headers of the answer to the caller, without the final word.
pub fn to_caller(from_endpoint: &HeaderMap) -> HeaderMap {
    pass(from_endpoint)
}

fn priority(tier: Tier) -> HeaderValue {
    HeaderValue::from(u16::from(tier))
}

fn pass(from: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(from);
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        if DROPPED.contains(name) || named.iter().any(|n| n.eq_ignore_ascii_case(name.as_str())) {
            continue;
        }
        headers.append(name.clone(), value.clone());
    }
    headers
}

/// Names that the `connection` header lists, which concern one connection only.
fn named_by_connection(from: &HeaderMap) -> Vec<String> {
    let lists = from.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    lists
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_owned())
        .collect()
}

/// Drops our own headers, which mean nothing to an endpoint.
fn drop_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|n| n.as_str().starts_with("celerytide-"))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
