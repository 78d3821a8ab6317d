//! The dispatch daemon: owns pools of endpoints and grants permits.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
