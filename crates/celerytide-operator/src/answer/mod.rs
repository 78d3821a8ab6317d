//! Answers of the operators' address.

use celerytide_kernel::metrics;
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use serde::Serialize;

/// One whole answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn text(body: &str) -> Answer {
        Answer::of(StatusCode::OK, "text/plain; charset=utf-8", body.to_owned())
    }

    pub(crate) fn json<T: Serialize>(value: &T) -> Answer {
        match serde_json::to_string(value) {
            Ok(body) => Answer::of(StatusCode::OK, "application/json", body + "\n"),
            Err(error) => Answer::of(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string()),
        }
    }

    pub(crate) fn open_metrics(body: String) -> Answer {
        Answer::of(StatusCode::OK, metrics::CONTENT_TYPE, body)
    }

    pub(crate) fn unavailable(body: &str) -> Answer {
        Answer::of(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain; charset=utf-8",
            body.to_owned(),
        )
    }

    pub(crate) fn not_found(what: &str) -> Answer {
        Answer::of(StatusCode::NOT_FOUND, "text/plain; charset=utf-8", format!("{what}\n"))
    }

    pub(crate) fn not_allowed() -> Answer {
        Answer::of(
            StatusCode::METHOD_NOT_ALLOWED,
            "text/plain; charset=utf-8",
            String::from("only GET\n"),
        )
    }

    fn of(status: StatusCode, kind: &'static str, body: String) -> Answer {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        Answer { status, headers, body }
    }
}
