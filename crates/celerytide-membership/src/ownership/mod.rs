//! Who owns a pool, since when, and how much an owner may grant.
//!
//! An owner is the live instance of the pool's region with the highest rendezvous weight. Lists lag, so two processes may
//! believe that they own one pool. Four things keep that harmless: entries follow the highest [`Term`] only, a new owner
//! first musters every listed entry, an owner without fresh views grants less, and a cold endpoint's own report is a
//! witness against foreign work.

mod cold;
mod held;
mod pool;
mod standing;
mod term;

pub use celerytide_types::Term;
pub use cold::{ColdGate, GateOptions};
pub use pool::{Pool, owner_of, pool_of, pools_of};
pub use standing::{AssessmentInput, MusterCall, Options, Ownership, OwnershipState, PreviousOwner, StateChange};
pub use term::{Admission, TermGuard};
