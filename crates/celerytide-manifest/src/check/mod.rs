//! Text becomes a typed document only through these checks.

use celerytide_types::{Digest, data};
use serde::de::DeserializeOwned;
use sha2::{Digest as _, Sha256};

use crate::{DispatchSettings, EntrySettings, Fault, Manifest};

data! {
    /// A manifest that passed every check.
    pub struct Checked {
        /// The manifest.
        pub manifest: Manifest,
        /// Hex SHA-256 of its text.
        pub digest: Digest,
    }
}

/// Checks a manifest's text; `file` is the name that faults bear.
pub fn check_manifest(file: &str, text: &str) -> Result<Checked, Vec<Fault>> {
    let manifest = parse(file, text)?;
    Ok(Checked {
        manifest,
        digest: sha256_hex(text),
    })
}

/// Checks the settings of an entry process.
pub fn check_entry_settings(file: &str, text: &str) -> Result<EntrySettings, Vec<Fault>> {
    parse(file, text)
}

/// Checks the settings of a dispatch process.
pub fn check_dispatch_settings(file: &str, text: &str) -> Result<DispatchSettings, Vec<Fault>> {
    parse(file, text)
}

/// Hex SHA-256 of a customer's key, as the manifest holds it.
pub fn hash_key(key: &str) -> String {
    sha256_hex(key)
}

fn sha256_hex(text: &str) -> String {
    format!("{:x}", Sha256::digest(text.as_bytes()))
}

fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Vec<Fault>> {
    serde_saphyr::from_str(text).map_err(|error| {
        let at = error.location();
        vec![Fault {
            file: file.to_owned(),
            line: at.map_or(1, |at| at.line() as usize),
            column: at.map_or(1, |at| at.column() as usize),
            field: String::new(),
            message: error.without_snippet().to_string(),
            allowed: "a YAML document of the documented fields".to_owned(),
        }]
    })
}
