//! Sections: parts of a manifest's customers, each published as a separate value of the configuration service.
//!
//! A section is named by the SHA-256 of its text, so its content never changes. A process reads each section only once,
//! and versions of a manifest share the sections that they have in common.

use std::rc::Rc;

use celerytide_types::{Digest, data};
use schemars::JsonSchema;

use crate::Customer;

/// Prefix of a section's key in the configuration service, followed by the section's digest.
pub const SECTION_KEY_PREFIX: &str = "celerytide/customers/";

/// Key in the configuration service of the section with that digest.
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

/// A section that passed all checks that need no other section.
#[derive(Debug, Clone, PartialEq)]
pub struct Section {
    /// Hex SHA-256 of the text.
    pub digest: Digest,
    /// Text as published, kept to serve it to peers.
    pub text: Rc<str>,
    /// Customers in the text's order.
    pub customers: Box<[Customer]>,
}
