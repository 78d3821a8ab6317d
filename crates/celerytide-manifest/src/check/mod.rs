//! Checks that turn a text into a typed document; there is no other way to get one.
//!
//! A check has two passes. The first checks each field by itself against the JSON Schema: name, type, format and
//! bounds. The second checks fields against each other. Both report every fault that they find.

mod detect;
mod manifest;
mod sections;
mod settings;
mod unique;

pub use detect::detect_kind;
pub use sections::{SECTION_MAX_BYTES, SectionFault, check_section, join_sections};

use celerytide_types::{Digest, data};
use serde::de::DeserializeOwned;
use sha2::{Digest as _, Sha256};

use crate::report::Report;
use crate::shape;
use crate::yaml::{self, Position};
use crate::{DispatchSettings, DocumentKind, EntrySettings, Fault, Manifest};

/// Largest manifest or settings document that a check accepts.
pub const DOCUMENT_MAX_BYTES: usize = 1024 * 1024;

data! {
    /// A manifest that passed every check.
    pub struct CheckedManifest {
        /// The typed manifest.
        pub manifest: Manifest,
        /// Hex SHA-256 of the manifest's text.
        pub digest: Digest,
    }
}

/// Checks a manifest's text; faults name `file`.
///
/// Sections are checked with [`check_section`] and added with [`join_sections`].
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

/// Hex SHA-256 of a customer's key, as written in the manifest; also the digest of a document's text.
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
    cross_check: impl Fn(&T, &mut Report<'_>),
) -> Result<T, Vec<Fault>> {
    if text.len() > max {
        let message = format!("the document has {} bytes", text.len());
        return Err(vec![document_fault(
            file,
            DOCUMENT_START,
            message,
            format!("at most {max} bytes"),
        )]);
    }
    let root = yaml::parse(text).map_err(|error| {
        vec![document_fault(
            file,
            error.position,
            error.message,
            "one YAML document".to_owned(),
        )]
    })?;
    let shape = shape::compile(&kind.schema()).map_err(|error| {
        vec![document_fault(
            file,
            DOCUMENT_START,
            error.to_string(),
            "a schema with shapes".to_owned(),
        )]
    })?;
    let mut report = Report::new(file, &root);
    let value = shape::validate(&shape, &root, text, &mut report);
    let document = serde_json::from_value::<T>(value)
        .map_err(|error| vec![document_fault(file, root.position, error.to_string(), shape.allowed())])?;
    cross_check(&document, &mut report);
    match report.into_faults() {
        faults if faults.is_empty() => Ok(document),
        faults => Err(faults),
    }
}

const DOCUMENT_START: Position = Position { line: 1, column: 1 };

fn document_fault(file: &str, position: Position, message: String, allowed: String) -> Fault {
    Fault {
        file: file.to_owned(),
        line: position.line,
        column: position.column,
        field: String::new(),
        message,
        allowed,
    }
}
