//! Answers of our own.

use std::ops::Range;
use std::time::Duration;

use celerytide_http::server::{ErrorBody, ErrorDetail, ErrorOutcome, Responder, WORD_HEADER};
use celerytide_types::ExecutionStatus;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use rand::Rng;

use crate::intake::Denial;

/// Share of the time that is left after which a caller is told to come back, at most: it has time for its answer then.
const MOST_SHARE: f64 = 0.32;
/// Least time after which a caller is told to come back.
const LEAST_WAIT: Duration = Duration::from_millis(50);
/// Part of the longest wait over which those that come later are spread.
const LATER: Range<f64> = 0.6..1.0;
/// Part of a time that has to pass, over which those that come back behind it are spread.
const BEHIND: Range<f64> = 1.0..1.25;
/// Most time after which a caller is told to come back.
const MOST_WAIT: Duration = Duration::from_millis(2500);

/// Time after which a caller is told to come back while no configuration is known.
const UNCONFIGURED_WAIT: Duration = Duration::from_millis(1000);
/// When a refused caller does best to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Back {
    /// At once: another instance serves it.
    AtOnce,
    /// Spread over the time that it has: what it needs is in use everywhere.
    Later,
    /// Shortly behind that time: what it needs is to be had again then.
    Behind(Duration),
}

/// A final answer that no endpoint gave.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Status.
    pub status: StatusCode,
    /// Stable machine-readable cause.
    pub cause: &'static str,
    /// The final word.
    pub word: ExecutionStatus,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// The request isn't forwarded.
    pub fn denied(denial: Denial) -> Refusal {
        let retry = denial == Denial::Unconfigured;
        Refusal {
            status: denial.status(),
            cause: denial.cause(),
            word: ExecutionStatus::NotRun,
            retry_after: retry.then_some(UNCONFIGURED_WAIT),
        }
    }

    /// The request did not run; a caller that still has `left` may come back.
    pub fn not_run(cause: &'static str, left: Duration, back: Back) -> Refusal {
        let most = left.mul_f64(MOST_SHARE).min(MOST_WAIT);
        let wait = match back {
            Back::AtOnce => LEAST_WAIT,
            Back::Behind(time) => time.max(LEAST_WAIT).mul_f64(rand::rng().random_range(BEHIND)),
            Back::Later => most.mul_f64(rand::rng().random_range(LATER)).max(LEAST_WAIT),
        };
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            cause,
            word: ExecutionStatus::NotRun,
            retry_after: Some(wait),
        }
    }

    /// The request may have run.
    pub fn failed(status: StatusCode, cause: &'static str) -> Refusal {
        Refusal {
            status,
            cause,
            word: ExecutionStatus::Unknown,
            retry_after: None,
        }
    }

    fn body(&self) -> Vec<u8> {
        let body = ErrorBody {
            error: ErrorDetail {
                message: self.cause.to_owned(),
                kind: "server_error".to_owned(),
                code: self.cause.to_owned(),
                param: None,
            },
            celerytide: ErrorOutcome {
                word: self.word,
                cause: self.cause.to_owned(),
            },
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

/// Sends the answer.
pub async fn refuse(out: Responder, refusal: &Refusal) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(WORD_HEADER, HeaderValue::from_static(refusal.word.as_str()));
    let seconds = refusal.retry_after.map(|after| format!("{:.2}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    // A caller that is gone needs no answer.
    let _ = out.whole(refusal.status, headers, refusal.body().into()).await;
}
