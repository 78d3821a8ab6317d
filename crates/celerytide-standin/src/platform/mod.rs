//! Stand-ins for the users' platform: its store and its runners, on threads of the test process.
//!
//! They implement as much of the platform's interfaces as the tests need, fail on demand and record the requests that
//! they receive. [`caller`] is a blocking client for the router under test.

mod arrival;
mod brittle;
pub mod caller;
mod copies;
mod crash;
mod endless;
mod events;
mod mode;
mod publish;
mod refusing;
mod request;
mod response;
mod runner;
mod silence;
mod statement;
mod store;
mod view;

pub use arrival::Arrival;
pub use brittle::{Brittle, FALL_TIME, Fall, NOTICE_TIME};
pub use copies::{CopiedAnswer, CopyPlace, Copying, TWO_EVENTS};
pub use crash::{Crashing, Trigger};
pub use endless::Endless;
pub use events::{StreamFraming, TornStream};
pub use publish::{Entry, ROUTES, Route, START_UNIX_MS, VERSION, Write};
pub use refusing::Refusing;
pub use request::Request;
pub use response::FOREIGN_REFUSALS;
pub use runner::{Runner, RunnerMode};
pub use statement::{NamedRequest, ONE_EVENT, StatedBody, Statement};
pub use store::{EraHeader, Snapshot, Store, StoreMode};
