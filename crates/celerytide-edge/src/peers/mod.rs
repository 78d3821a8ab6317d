//! Other instances: who lives, and what they know.

pub mod digest;
mod members;
mod news;
pub mod readers;
pub mod relay;
mod tell;

pub use members::{Instances, Members};
pub use news::{Service, options, run};
pub use tell::{hear, open, tell};
