//! Queues, tiers, shares, cold start and placement. Knows no sockets.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
