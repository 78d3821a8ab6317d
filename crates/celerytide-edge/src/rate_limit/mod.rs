//! Limits the rate at which all instances together send requests to an endpoint.
//!
//! Designed for these loads: endpoints start or become reachable again while all instances have requests waiting; an
//! endpoint in trouble names in its responses what it takes, while every instance sends it many times that. A cold
//! endpoint registered, or came back with its zone, less than the service's cold period ago; it takes the service's cold
//! rate (`Service::cold_rate`) from all instances together. [`NamedLimits`] keeps what endpoints name, and
//! [`RateLimiter`] shares the lower of both rates among the instances.

mod limiter;
mod named;

pub use limiter::{MIN_RATE, RateLimiter};
pub use named::{Change, LimitEntry, NamedLimits, StatedLimit};

/// Share of an endpoint's cold rate that is used: instances know different sets of others, so more of them than intended
/// may send.
const USED_COLD_SHARE: f64 = 0.7;
/// Share of a named rate that is used; lower than one for the same reason.
const USED_NAMED_SHARE: f64 = 0.9;

/// Requests per second that all instances together send to an endpoint that takes `cold` while it is cold and has named
/// the limit `named`; `None` if neither binds.
pub fn usable_rate(cold: Option<f64>, named: Option<f64>) -> Option<f64> {
    let cold = cold.map(|per_s| per_s * USED_COLD_SHARE);
    let named = named.map(|per_s| per_s * USED_NAMED_SHARE);
    cold.into_iter().chain(named).min_by(f64::total_cmp)
}
