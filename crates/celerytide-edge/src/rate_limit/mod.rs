//! Limits the rate at which all instances together send requests to an endpoint.
//!
//! Designed for this load: endpoints start or become reachable again while all instances have requests waiting. A cold
//! endpoint registered, or came back with its zone, less than the service's cold period ago; it takes the service's cold
//! rate (`Service::cold_rate`) from all instances together. [`RateLimiter`] shares it among them.

mod limiter;
mod named;

pub use limiter::RateLimiter;
pub use named::{Change, NamedLimits, StatedLimit};

/// Share of an endpoint's cold rate that is used: instances know different sets of others, so more of them than intended
/// may send.
const USED_COLD_SHARE: f64 = 0.7;

/// Requests per second that all instances together send to a cold endpoint that takes `cold_rate`.
pub fn usable_rate(cold_rate: f64) -> f64 {
    cold_rate * USED_COLD_SHARE
}
