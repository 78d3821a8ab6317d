//! Authentication of callers by the key in their `authorization` header.

use celerytide_manifest::{Customer, KeyHash, Manifest};
use http::HeaderMap;
use http::StatusCode;
use http::header::AUTHORIZATION;

use crate::response::ErrorResponse;

const BEARER_PREFIX: &str = "Bearer ";
/// Longest excerpt of a caller's text in an error message.
const MAX_EXCERPT_CHARS: usize = 64;

/// The customer whose key the request carries; otherwise a 401 response.
pub fn authenticate<'m>(manifest: &'m Manifest, headers: &HeaderMap) -> Result<&'m Customer, ErrorResponse> {
    let key =
        bearer_token(headers).ok_or_else(|| unauthorized("missing-key", "no 'authorization: Bearer KEY' header"))?;
    let customer = manifest.customer_by_key(&KeyHash::of(key));
    customer.ok_or_else(|| unauthorized("unknown-key", "the key belongs to no customer"))
}

/// The key of an `authorization: Bearer KEY` header.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value
        .strip_prefix(BEARER_PREFIX)
        .map(str::trim)
        .filter(|key| !key.is_empty())
}

/// Excerpt of a caller's text for an error message: shortened, and without control characters.
pub fn printable(text: &str) -> String {
    text.chars()
        .filter(|c| !c.is_control())
        .take(MAX_EXCERPT_CHARS)
        .collect()
}

fn unauthorized(cause: &str, message: &str) -> ErrorResponse {
    ErrorResponse::not_run(StatusCode::UNAUTHORIZED, cause, message)
}
