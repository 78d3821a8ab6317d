//! Detects the kind of a document from its fields.

use super::DOCUMENT_MAX_BYTES;
use crate::DocumentKind;
use crate::yaml::{self, Content};

const MANIFEST_FIELDS: [&str; 9] = [
    "format",
    "version",
    "event",
    "zones",
    "services",
    "classes",
    "customers",
    "customer_sections",
    "orders",
];
/// All fields of a section.
const SECTION_FIELDS: [&str; 2] = ["format", "customers"];
const ENTRY_FIELDS: [&str; 2] = ["caller_address", "limits"];
const SETTINGS_FIELDS: [&str; 8] = [
    "instance",
    "zone",
    "region",
    "operator_address",
    "peer_address",
    "platform",
    "timeouts",
    "log",
];

/// The kind that the document's top-level fields belong to, if any does.
pub fn detect_kind(text: &str) -> Option<DocumentKind> {
    let keys = top_level_keys(text);
    let has = |names: &[&str]| keys.iter().any(|key| names.contains(&key.as_str()));
    if has(&ENTRY_FIELDS) {
        return Some(DocumentKind::Entry);
    }
    if has(&SETTINGS_FIELDS) {
        return Some(DocumentKind::Dispatch);
    }
    let section = has(&["customers"]) && keys.iter().all(|key| SECTION_FIELDS.contains(&key.as_str()));
    if section {
        return Some(DocumentKind::Section);
    }
    has(&MANIFEST_FIELDS).then_some(DocumentKind::Manifest)
}

/// The top-level fields; if the text isn't valid YAML, the text before the first colon of each line.
fn top_level_keys(text: &str) -> Vec<String> {
    let root = (text.len() <= DOCUMENT_MAX_BYTES)
        .then(|| yaml::parse(text).ok())
        .flatten();
    match root.map(|root| root.content) {
        Some(Content::Object(entries)) => entries.into_iter().map(|entry| entry.key).collect(),
        Some(_) => Vec::new(),
        None => text
            .lines()
            .filter_map(|line| line.split_once(':'))
            .map(|(key, _)| key.to_owned())
            .collect(),
    }
}
