//! Who calls: the customer behind a key.

use celerytide_manifest::{Customer, KeyHash, Manifest};
use http::HeaderMap;
use http::StatusCode;
use http::header::AUTHORIZATION;

use crate::answer::Final;

const SCHEME: &str = "Bearer ";
/// Characters of a caller's text that an error message shows.
const MAX_SHOWN_CHARS: usize = 64;

/// The customer whose key the request bears.
pub fn customer_of<'m>(manifest: &'m Manifest, headers: &HeaderMap) -> Result<&'m Customer, Final> {
    let key = bearer(headers).ok_or_else(|| unauthorized("missing-key", "no 'authorization: Bearer KEY' header"))?;
    let customer = manifest.customer_by_key(&KeyHash::of(key));
    customer.ok_or_else(|| unauthorized("unknown-key", "the key belongs to no customer"))
}

/// The key that a request bears.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(SCHEME).map(str::trim).filter(|key| !key.is_empty())
}

/// A text from a caller as an error message may show it: short, and without control characters.
pub fn shown(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(MAX_SHOWN_CHARS).collect()
}

fn unauthorized(cause: &str, message: &str) -> Final {
    Final::not_run(StatusCode::UNAUTHORIZED, cause, message)
}
