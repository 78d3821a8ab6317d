//! Helpers for the HTTP responses of the stand-ins.

use bytes::Bytes;
use celerytide_http::server::{Disconnected, Request, Responder};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;

use crate::fault::SilencedPeer;

/// Header with the request id, in requests and responses.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Error: the connection is to be closed without sending another byte.
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

/// Header in which a response states whether its request ran.
const EXECUTION_HEADER: HeaderName = HeaderName::from_static("celerytide-word");

/// Encodes `value` as a JSON body.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Bytes {
    // Encoding can't fail: all values are plain data with string keys.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Headers of the response to request `id`.
pub(crate) fn headers(content_type: &'static str, id: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    insert_header(&mut headers, HeaderName::from_static(REQUEST_ID_HEADER), id);
    headers
}

/// Adds a header unless its value is empty or not a valid header value.
pub(crate) fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if value.is_empty() {
        return;
    }
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The value of a header as text; empty if it is absent.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// The value of the query parameter `name`.
pub(crate) fn query_param<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = req.uri.query()?.split('&');
    pairs
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Sends a JSON response; ignores a caller that has disconnected.
pub(crate) async fn json<T: Serialize>(out: Responder, status: StatusCode, id: &str, value: &T) {
    let _ = out.whole(status, headers("application/json", id), to_json(value)).await;
}

/// Sends an error in the JSON format of the model API.
pub(crate) async fn error(out: Responder, status: StatusCode, id: &str, message: &str) {
    error_with(out, status, headers("application/json", id), message).await;
}

/// Sends the response of the fault `status`; `stated` adds the statement that the request did not run.
pub(crate) async fn status_fault(out: Responder, code: u16, id: &str, stated: bool) {
    let status = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut headers = headers("application/json", id);
    if stated {
        headers.insert(EXECUTION_HEADER, HeaderValue::from_static("not-run"));
    }
    error_with(out, status, headers, "the status that a test asked for").await;
}

async fn error_with(out: Responder, status: StatusCode, mut headers: HeaderMap, message: &str) {
    let body = serde_json::json!({ "error": { "message": message, "type": "stand_in", "code": status.as_u16() } });
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    }
    let _ = out.whole(status, headers, to_json(&body)).await;
}

/// Exits at once, without clean-up, for the fault `crash`.
pub(crate) fn exit_crashed() -> ! {
    std::process::exit(CRASH_EXIT_CODE)
}

/// Exit code of a process that got the fault `crash`.
const CRASH_EXIT_CODE: i32 = 70;
