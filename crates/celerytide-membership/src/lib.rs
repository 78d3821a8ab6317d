//! Views of the published lists and manifest, their freshness, spread between peers, and pool ownership.

#![forbid(unsafe_code)]
#![deny(missing_docs)]
