//! Other instances: who lives, and what they know.

mod members;
mod news;

pub use members::Members;
pub use news::{Service, options, run};
