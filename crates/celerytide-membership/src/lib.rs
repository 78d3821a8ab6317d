//! Views of the published lists and manifest, their freshness, spread between peers, and pool ownership.
//!
//! Nothing here opens a listener. A daemon feeds [`Membership`] with what it reads and hears; [`watch()`] is the one part
//! that talks to the configuration service, through a [`Source`](watch::Source). Every version only grows. A process that
//! can't show that its views are fresh does less.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod fresh;
mod news;
mod open;
pub mod ownership;
mod peers;
mod state;
mod view;
pub mod watch;

pub use fresh::{Freshness, PeersSay};
pub use news::News;
pub use open::{open, zone_is_in};
pub use peers::{PeerOptions, pick_peers};
pub use state::{
    Applied, CheckSection, ListApplied, Membership, MissingSection, Options, Origin, SectionApplied, Wanted,
};
pub use view::{EndpointEntry, Instance, PeerLists, View, ViewDigest, Watched};
pub use watch::watch;
