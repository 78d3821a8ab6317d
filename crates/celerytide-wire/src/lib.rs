//! Typed messages between celerytide processes: h2 streams of bincode frames.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
