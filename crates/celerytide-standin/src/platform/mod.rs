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
pub use publish::{BORN, Entry, ROUTES, Route};
pub use request::Seen;
pub use runner::{Answer, Arrival, Runner};
pub use store::{Copy, Era, Mode, Store};
