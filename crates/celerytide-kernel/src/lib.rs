//! The micro-kernel: named services, cancellation, audit trail, readiness, logs, signals.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
