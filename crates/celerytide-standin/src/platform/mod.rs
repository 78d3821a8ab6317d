//! Small stand-ins of the users' platform for tests: its store and its runners, on threads of the test's process.
//!
//! They speak just enough of the platform's language to bring about what tests are meant for, and remember what reached
//! them.

pub mod caller;
mod endless;
mod publish;
mod request;
mod runner;
mod store;

pub use endless::Endless;
pub use publish::{Entry, ROUTES, Route, START_UNIX_MS};
pub use request::Seen;
pub use runner::{Arrival, Runner, RunnerMode};
pub use store::{EraHeader, Snapshot, Store, StoreMode};
