//! Tickets and outcomes: what carries at most once.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
