//! Keeps the rejections of all instances together at an endpoint below the limit that it states.
//!
//! Designed for these loads: all instances have requests for an endpoint in the same moment, while it lets few or none
//! wait; an endpoint has less room than its slots say, so that every instance is rejected; instances restart, or don't
//! hear each other. An endpoint with a rejection limit gets only as many requests at once as it has slots, and a quarter
//! of the limit more. These places are divided among the instances without asking ([`Share`]). While the digests of the
//! others tell what they have in flight there, an instance may use places beyond its part as long as half of the slots
//! are free. After a rejection the instance sends nothing there for a while ([`Rejections`]).

mod places;
mod rejected;

pub use places::{Fleet, FullEndpoint, Share, extra_places};
pub use rejected::{Rejections, pause_after};
