//! Slopes of state, messages, processor time and memory, measured on real processes.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
