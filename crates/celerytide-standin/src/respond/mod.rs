//! The few shapes in which stand-ins answer.

use bytes::Bytes;
use celerytide_http::server::{Disconnected, Request, Responder};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;

use crate::fault::SilencedPeer;

/// Carries the request id both ways.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The connection shall end here, without a further byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Abort;

impl From<Disconnected> for Abort {
    fn from(_: Disconnected) -> Self {
        Abort
    }
}

impl From<SilencedPeer> for Abort {
    fn from(_: SilencedPeer) -> Self {
        Abort
    }
}

/// A small body of JSON.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Bytes {
    // Every value comes from plain data with string keys, which always has a JSON form.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Headers for an answer to the request `id`.
pub(crate) fn headers(content_type: &'static str, id: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    insert_header(&mut headers, HeaderName::from_static(REQUEST_ID_HEADER), id);
    headers
}

/// Adds a header unless its value is empty or cannot stand in a head.
pub(crate) fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if value.is_empty() {
        return;
    }
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The value of a header as text; empty if there is none.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// The value of `name` in the request's query.
pub(crate) fn query_param<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = req.uri.query()?.split('&');
    pairs
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Answers with JSON; a caller that is gone loses nothing but the answer.
pub(crate) async fn json<T: Serialize>(out: Responder, status: StatusCode, id: &str, value: &T) {
    let _ = out.whole(status, headers("application/json", id), to_json(value)).await;
}

/// Answers with an error in the shape of the model interface.
pub(crate) async fn error(out: Responder, status: StatusCode, id: &str, message: &str) {
    let body = serde_json::json!({ "error": { "message": message, "type": "stand_in", "code": status.as_u16() } });
    let mut headers = headers("application/json", id);
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    }
    let _ = out.whole(status, headers, to_json(&body)).await;
}

/// Ends the process after a crash was ordered; no clean-up on purpose.
pub(crate) fn exit_crashed() -> ! {
    std::process::exit(CRASH_EXIT_CODE)
}

/// Exit code of a process that was told to crash.
const CRASH_EXIT_CODE: i32 = 70;
