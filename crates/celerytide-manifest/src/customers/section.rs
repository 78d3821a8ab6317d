//! A section: part of a manifest's customers, published as a value of its own.
//!
//! A section is named by the SHA-256 of its text, so its content never changes. A process that holds it never reads it
//! again, and versions of a manifest share the sections that they have in common.

use std::rc::Rc;

use celerytide_types::{Digest, data};
use schemars::JsonSchema;

use crate::Customer;

/// Prefix of a section's key in the configuration service; its digest follows.
pub const SECTION_KEY_PREFIX: &str = "celerytide/customers/";

/// The key of the section of that digest.
pub fn section_key(digest: &str) -> String {
    format!("{SECTION_KEY_PREFIX}{digest}")
}

data! {
    /// A section's text as a document.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub(crate) struct SectionDocument {
        /// Format of this document; 1.
        #[schemars(range(min = 1, max = 1))]
        pub(crate) format: u32,
        /// Customers and their limits.
        pub(crate) customers: Vec<Customer>,
    }
}

/// A section that passed every check of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct Section {
    /// Hex SHA-256 of its text.
    pub digest: Digest,
    /// Its text, for peers.
    pub text: Rc<str>,
    /// Its customers.
    pub customers: Box<[Customer]>,
}
