//! The entry daemon accepts callers' HTTP requests and sends the responses.
//!
//! A request is classified by the manifest, checked against its customer's rate limit, and granted a permit by the
//! dispatch that owns a pool of endpoints. The entry then calls the endpoint itself and is responsible for the request
//! until its outcome is recorded.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod attempts;
pub mod auth;
pub mod chunk_text;
pub mod daemon;
pub mod engine_version;
pub mod entry;
pub mod headers;
pub mod limits;
pub mod metrics;
pub mod model;
pub mod model_body;
pub mod permit;
pub mod plain;
pub mod pool_owners;
pub mod request_info;
pub mod response;
pub mod route;
pub mod status;
pub mod ticket;
