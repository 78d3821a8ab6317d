//! HTTP/1.1 towards callers and endpoints: monoio-http behind a guard that bounds and checks.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
