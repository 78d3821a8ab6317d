//! Error responses of the router itself.

use std::ops::Range;
use std::time::Duration;

use celerytide_http::server::{ErrorBody, ErrorDetail, ErrorOutcome, Responder, WORD_HEADER};
use celerytide_types::ExecutionStatus;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use rand::Rng;

use crate::request::Denial;

/// Largest share of the time left that a caller is asked to wait, so that enough time remains for its retry.
const MAX_WAIT_SHARE: f64 = 0.32;
/// Shortest wait that a caller is asked for.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Range, as shares of the longest wait, over which retries are spread.
const SPREAD_RANGE: Range<f64> = 0.6..1.0;
/// Range, as multiples of the time that has to pass, over which retries after it are spread.
const AFTER_RANGE: Range<f64> = 1.0..1.25;
/// Multiple of the time in which one request can be sent, over which retries are spread at most.
const MAX_INTERVALS: f64 = 3.0;
/// Longest wait that a caller is asked for.
const MAX_WAIT: Duration = Duration::from_millis(2500);

/// Wait that a caller is asked for while no configuration is known.
const UNCONFIGURED_WAIT: Duration = Duration::from_millis(1000);
/// Wait that a caller is asked for while others know a newer configuration.
const OUTDATED_WAIT: Duration = Duration::from_millis(500);

/// When a refused caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryHint {
    /// At once: another instance serves it.
    AtOnce,
    /// After a random part of the time left, so that retries are spread: no instance can serve it now.
    AfterRandomDelay,
    /// A random while after this time, when an endpoint is available again.
    After(Duration),
    /// After a random time from this one, in which one more request can be sent.
    Spread(Duration),
}

/// A final response of the router itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Machine-readable cause, a stable text.
    pub cause: &'static str,
    /// Whether the request ran, as far as is certain.
    pub execution: ExecutionStatus,
    /// Wait before the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refusal of a request that isn't forwarded.
    pub fn denied(denial: Denial) -> Refusal {
        let retry_after = match denial {
            Denial::Unconfigured => Some(UNCONFIGURED_WAIT),
            Denial::Outdated => Some(OUTDATED_WAIT),
            Denial::NoRoute | Denial::NoCustomer => None,
        };
        Refusal {
            status: denial.status(),
            cause: denial.cause(),
            execution: ExecutionStatus::NotRun,
            retry_after,
        }
    }

    /// Refusal of a request that did not run; a caller with `time_left` remaining may retry.
    pub fn not_run(cause: &'static str, time_left: Duration, retry_hint: RetryHint) -> Refusal {
        let max_wait = time_left.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT);
        let wait = match retry_hint {
            RetryHint::AtOnce => MIN_WAIT,
            RetryHint::After(time) => time.max(MIN_WAIT).mul_f64(rand::rng().random_range(AFTER_RANGE)),
            RetryHint::Spread(interval) => {
                let latest = interval.mul_f64(MAX_INTERVALS).min(max_wait);
                let earliest = interval.min(max_wait.mul_f64(SPREAD_RANGE.start)).min(latest);
                let extra = (latest - earliest).mul_f64(rand::rng().random_range(0.0..1.0));
                (earliest + extra).max(MIN_WAIT)
            }
            RetryHint::AfterRandomDelay => max_wait.mul_f64(rand::rng().random_range(SPREAD_RANGE)).max(MIN_WAIT),
        };
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            cause,
            execution: ExecutionStatus::NotRun,
            retry_after: Some(wait),
        }
    }

    /// Response to a request that may have run.
    pub fn failed(status: StatusCode, cause: &'static str) -> Refusal {
        Refusal {
            status,
            cause,
            execution: ExecutionStatus::Unknown,
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
                word: self.execution,
                cause: self.cause.to_owned(),
            },
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

/// Sends the refusal to the caller.
pub async fn refuse(out: Responder, refusal: &Refusal) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(WORD_HEADER, HeaderValue::from_static(refusal.execution.as_str()));
    let seconds = refusal.retry_after.map(|after| format!("{:.2}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    // The caller may have disconnected.
    let _ = out.whole(refusal.status, headers, refusal.body().into()).await;
}
