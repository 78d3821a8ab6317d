//! The entry daemon: callers' HTTP in, answers out.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
