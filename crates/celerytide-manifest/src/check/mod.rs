//! Text becomes a typed document only through these checks.
//!
//! A check has two passes. The first looks at each field by itself: its name, type, format and bounds, as the JSON
//! Schema states them. The second looks at what fields say together. Both report every fault that they find.

mod guess;
mod manifest;
mod sections;
mod settings;
mod unique;

pub use guess::guess_kind;
pub use sections::{SECTION_MAX_BYTES, SectionFault, check_section, join_sections};

use celerytide_types::{Digest, data};
use serde::de::DeserializeOwned;
use sha2::{Digest as _, Sha256};

use crate::node::{self, Place};
use crate::report::Report;
use crate::shape;
use crate::{DispatchSettings, DocumentKind, EntrySettings, Fault, Manifest};

/// Largest document, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1024 * 1024;

data! {
    /// A manifest that passed every check.
    pub struct CheckedManifest {
        /// The manifest.
        pub manifest: Manifest,
        /// Hex SHA-256 of its text.
        pub digest: Digest,
    }
}

/// Checks a manifest's text; `file` is the name that faults bear.
///
/// Its sections are checked by themselves and joined to it by [`join_sections`].
pub fn check_manifest(file: &str, text: &str) -> Result<CheckedManifest, Vec<Fault>> {
    check_manifest_up_to(DOCUMENT_MAX_BYTES, file, text)
}

/// Checks a manifest's text of at most `max` bytes.
pub(crate) fn check_manifest_up_to(max: usize, file: &str, text: &str) -> Result<CheckedManifest, Vec<Fault>> {
    let manifest = check(DocumentKind::Manifest, max, file, text, manifest::check)?;
    Ok(CheckedManifest {
        manifest,
        digest: sha256_hex(text),
    })
}

/// Checks the settings of an entry process.
pub fn check_entry_settings(file: &str, text: &str) -> Result<EntrySettings, Vec<Fault>> {
    check(
        DocumentKind::Entry,
        DOCUMENT_MAX_BYTES,
        file,
        text,
        settings::check_entry,
    )
}

/// Checks the settings of a dispatch process.
pub fn check_dispatch_settings(file: &str, text: &str) -> Result<DispatchSettings, Vec<Fault>> {
    check(
        DocumentKind::Dispatch,
        DOCUMENT_MAX_BYTES,
        file,
        text,
        settings::check_dispatch,
    )
}

/// Hex SHA-256 of a customer's key, as the manifest holds it.
pub fn hash_key(key: &str) -> String {
    sha256_hex(key)
}

/// Hex SHA-256 of a text.
pub(crate) fn sha256_hex(text: &str) -> String {
    format!("{:x}", Sha256::digest(text.as_bytes()))
}

fn check<T: DeserializeOwned>(
    kind: DocumentKind,
    max: usize,
    file: &str,
    text: &str,
    between_fields: impl Fn(&T, &mut Report<'_>),
) -> Result<T, Vec<Fault>> {
    if text.len() > max {
        let message = format!("the document has {} bytes", text.len());
        return Err(vec![whole(file, START, message, format!("at most {max} bytes"))]);
    }
    let root = node::parse(text)
        .map_err(|error| vec![whole(file, error.place, error.message, "one YAML document".to_owned())])?;
    let shape = shape::compile(&kind.schema())
        .map_err(|error| vec![whole(file, START, error.to_string(), "a schema with shapes".to_owned())])?;
    let mut report = Report::new(file, &root);
    let value = shape::walk(&shape, &root, text, &mut report);
    let document = serde_json::from_value::<T>(value)
        .map_err(|error| vec![whole(file, root.place, error.to_string(), shape.allowed())])?;
    between_fields(&document, &mut report);
    match report.into_faults() {
        faults if faults.is_empty() => Ok(document),
        faults => Err(faults),
    }
}

const START: Place = Place { line: 1, column: 1 };

fn whole(file: &str, place: Place, message: String, allowed: String) -> Fault {
    Fault {
        file: file.to_owned(),
        line: place.line,
        column: place.column,
        field: String::new(),
        message,
        allowed,
    }
}
