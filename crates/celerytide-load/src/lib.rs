//! Open-loop load and experiments over stand-ins.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
