//! The operators' and authors' command line.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
