//! Other instances: which are alive, and what they know.

mod datagrams;
pub mod digest;
mod exchange;
pub mod handover;
pub mod later_fields;
mod members;
mod placement;
pub mod readers;
mod receive;
pub mod relay;
pub mod streams;
mod told;

pub use datagrams::{bind, receive_digests, send_digests};
pub use exchange::{ExchangeReply, Service, options, run};
pub use members::{Instances, Members, is_large};
pub use placement::{receive_placements, send_placements, tick_placements};
pub use told::ToldConfigs;
