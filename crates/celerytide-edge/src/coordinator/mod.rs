//! Placement of prompts by a coordinator that counts what waits at each engine.
//!
//! Designed for this load: a burst of long prompts in a fleet of a hundred instances. Digests arrive too late and are too
//! large to tell each instance what waits at each engine, so that instances overload some engines while others idle. The
//! engines of a service are therefore divided into groups, and one instance, the coordinator of the group, places all
//! prompts there. It counts them from the requests of the other instances, so that its counts need no call to an engine.
//!
//! Nothing is agreed upon: each instance computes groups and coordinators by rendezvous hashing from its own view. A
//! placement is advice. An instance that gets none in time, or can't use it, places the request itself and reports that.
//!
//! [`groups`] says who coordinates which engines. [`Group`] decides for one group: [`Ledger`] counts, `cost` compares
//! engines, `queue` orders the requests that wait. [`Client`] is the state of an instance that asks.

pub mod bounds;
mod client;
mod cost;
mod engine;
mod group;
pub mod groups;
mod ledger;
pub mod messages;
mod queue;

pub use client::{Client, OwnFlight, Pending};
pub use group::{Engines, Group, Rooms};
pub use ledger::{FlightKey, Ledger};
