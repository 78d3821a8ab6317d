//! In-memory form of a manifest's customers: key hashes as bytes, sections shared between versions, one index over all
//! customers.

mod customer_index;
mod key;
mod section;

pub use customer_index::CustomerIndex;
pub use key::{InvalidKeyHash, KeyHash};
pub(crate) use section::SectionDocument;
pub use section::{SECTION_KEY_PREFIX, Section, section_key};
