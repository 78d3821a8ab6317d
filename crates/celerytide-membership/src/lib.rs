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

pub use fresh::{Freshness, PeerFreshness};
pub use news::DocumentEvent;
pub use open::{accepts_new_work, is_zone_in_service};
pub use peers::{PeerOptions, pick_peers};
pub use state::{
    Applied, CheckSection, ListApplied, Membership, MissingSection, Options, Origin, PeerFetch, SectionOfferResult,
};
pub use view::{Document, EndpointEntry, Instance, PeerLists, View, ViewDigest};
pub use watch::watch;
