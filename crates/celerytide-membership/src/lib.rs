//! Views of the published lists and manifest: their freshness, their exchange between peers, and pool ownership.
//!
//! The crate opens no listener. A daemon feeds [`Membership`] with documents it reads and digests it receives; only
//! [`watch()`] talks to the configuration service, through a [`Source`](watch::Source). Versions only increase, so a
//! stale read never reverts a view. A process whose views aren't provably fresh grants less work.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod availability;
mod events;
mod freshness;
pub mod ownership;
mod peers;
mod state;
mod view;
pub mod watch;

pub use availability::{accepts_new_work, is_zone_in_service};
pub use events::DocumentEvent;
pub use freshness::{Freshness, PeerFreshness};
pub use peers::{PeerOptions, pick_peers};
pub use state::{
    CheckSection, ListOfferResult, ManifestOfferResult, Membership, MissingSection, Options, Origin, PeerFetch,
    SectionOfferResult,
};
pub use view::{Document, EndpointEntry, Instance, PeerLists, View, ViewDigest};
pub use watch::watch;
