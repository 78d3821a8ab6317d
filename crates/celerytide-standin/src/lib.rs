//! Small stand-ins for engines, plain services, the configuration service and the instance list.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
