//! Decides which instance owns a pool and how much an owner may grant.
//!
//! The period during which a process owns a pool is its tenure. The owner is the live instance of the pool's region
//! with the highest rendezvous weight. Lists lag, so two processes may both consider themselves the owner. Four rules
//! keep this from overloading an endpoint:
//!
//! - Entries follow only the highest [`Term`].
//! - A new owner first takes the pool over: it calls every listed entry, which then follows the new term and transfers
//!   its permits in flight.
//! - An owner without fresh views grants less.
//! - A cold endpoint's load report reveals work of another owner, and the owner then grants nothing there.

mod cold;
mod pool;
mod state;
mod tenure;
mod term;

pub use celerytide_types::Term;
pub use cold::{ColdGate, GateOptions};
pub use pool::{Pool, owner_of, pool_of, pools_of};
pub use state::{AssessmentInput, Options, Ownership, OwnershipState, PreviousOwner, StateChange, TakeoverCall};
pub use term::{Admission, TermGuard};
