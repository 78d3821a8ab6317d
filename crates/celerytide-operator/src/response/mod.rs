//! HTTP responses of the operators' address.

use celerytide_kernel::metrics;
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use serde::Serialize;

/// A complete response.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn text(body: &str) -> Response {
        Response::new(StatusCode::OK, "text/plain; charset=utf-8", body.to_owned())
    }

    pub(crate) fn json<T: Serialize>(value: &T) -> Response {
        match serde_json::to_string(value) {
            Ok(body) => Response::new(StatusCode::OK, "application/json", body + "\n"),
            Err(error) => Response::new(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string()),
        }
    }

    pub(crate) fn open_metrics(body: String) -> Response {
        Response::new(StatusCode::OK, metrics::CONTENT_TYPE, body)
    }

    pub(crate) fn unavailable(body: &str) -> Response {
        Response::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain; charset=utf-8",
            body.to_owned(),
        )
    }

    pub(crate) fn not_found(message: &str) -> Response {
        Response::new(
            StatusCode::NOT_FOUND,
            "text/plain; charset=utf-8",
            format!("{message}\n"),
        )
    }

    pub(crate) fn method_not_allowed() -> Response {
        Response::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "text/plain; charset=utf-8",
            String::from("only GET\n"),
        )
    }

    fn new(status: StatusCode, content_type: &'static str, body: String) -> Response {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        Response { status, headers, body }
    }
}
