//! Sections of a manifest's customers: each by itself, then all of a manifest against each other.

use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

use snafu::Snafu;

use super::{CheckedManifest, check, manifest, sha256_hex};
use crate::customers::{CustomerIndex, Section, SectionDocument, section_key};
use crate::node::{self, Place};
use crate::report::Report;
use crate::{Customer, DocumentKind, Fault};

/// Largest section, in bytes; a daemon checks a section in one go.
pub const SECTION_MAX_BYTES: usize = 256 * 1024;

/// Why a text is not the section of a digest.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum SectionFault {
    /// Its digest is another one: a damaged or wrong value, which another read may mend.
    #[snafu(display("the text's digest is {found}"))]
    OtherDigest {
        /// Hex SHA-256 of the text.
        found: String,
    },
    /// The section itself is wrong.
    #[snafu(display("{}", faults.first().map(ToString::to_string).unwrap_or_default()))]
    Invalid {
        /// What is wrong.
        faults: Vec<Fault>,
    },
}

/// Checks the text of the section of that digest; `file` is the name that faults bear.
///
/// # Errors
/// [`SectionFault`] if the text has another digest, or faults.
pub fn check_section(file: &str, digest: &str, text: &str) -> Result<Section, SectionFault> {
    let found = sha256_hex(text);
    if found != digest {
        return OtherDigestSnafu { found }.fail();
    }
    let document = check(DocumentKind::Section, SECTION_MAX_BYTES, file, text, between_fields);
    let document = document.map_err(|faults| SectionFault::Invalid { faults })?;
    Ok(Section {
        digest: digest.to_owned(),
        text: Rc::from(text),
        customers: document.customers.into(),
    })
}

fn between_fields(document: &SectionDocument, report: &mut Report<'_>) {
    manifest::customers(&document.customers, report);
}

/// Joins a manifest and its sections, in the manifest's order; faults bear the key of their section.
///
/// # Errors
/// A fault for each id and each key that stands twice.
pub fn join_sections(mut checked: CheckedManifest, sections: Vec<Rc<Section>>) -> Result<CheckedManifest, Vec<Fault>> {
    let faults = repeated(&checked.manifest.customers, &sections);
    if !faults.is_empty() {
        return Err(faults);
    }
    checked.manifest.customer_index = CustomerIndex::new(&checked.manifest.customers, sections);
    Ok(checked)
}

/// Where a customer stands; no section for the manifest itself.
#[derive(Clone, Copy)]
struct Position<'s> {
    section: Option<&'s Section>,
    at: usize,
}

fn repeated(own: &[Customer], sections: &[Rc<Section>]) -> Vec<Fault> {
    let count = own.len() + sections.iter().map(|s| s.customers.len()).sum::<usize>();
    let mut ids = HashMap::with_capacity(count);
    let mut keys = HashMap::with_capacity(count);
    let mut faults = Vec::new();
    let parts = sections.iter().map(|section| (Some(&**section), &*section.customers));
    for (section, customers) in std::iter::once((None, own)).chain(parts) {
        for (at, customer) in customers.iter().enumerate() {
            let here = Position { section, at };
            if let Some(first) = seen_before(&mut ids, customer.id.as_str(), here) {
                let message = format!("{} repeats {}", customer.id, first.field("id"));
                faults.push(here.fault("id", message, "each customer id once"));
            }
            if let Some(first) = seen_before(&mut keys, customer.key_sha256, here) {
                let message = format!("the key repeats {}", first.field("key_sha256"));
                faults.push(here.fault("key_sha256", message, "each key for one customer"));
            }
        }
    }
    faults
}

fn seen_before<'s, K: Hash + Eq>(
    seen: &mut HashMap<K, Position<'s>>,
    value: K,
    here: Position<'s>,
) -> Option<Position<'s>> {
    let first = *seen.entry(value).or_insert(here);
    let same = first.at == here.at && first.section.map(|s| &s.digest) == here.section.map(|s| &s.digest);
    (!same).then_some(first)
}

impl Position<'_> {
    fn path(self, name: &str) -> String {
        format!("customers[{}].{name}", self.at)
    }

    /// The field with the key of its section.
    fn field(self, name: &str) -> String {
        match self.section {
            Some(section) => format!("{} {}", section_key(&section.digest), self.path(name)),
            None => self.path(name),
        }
    }

    fn fault(self, name: &str, message: String, allowed: &str) -> Fault {
        let field = self.path(name);
        // The text was parsed before; only a fault needs its places again.
        let root = self.section.and_then(|section| node::parse(&section.text).ok());
        let place = root.map_or(Place { line: 1, column: 1 }, |root| root.locate(&field));
        Fault {
            file: self.section.map(|s| section_key(&s.digest)).unwrap_or_default(),
            line: place.line,
            column: place.column,
            field,
            message,
            allowed: allowed.to_owned(),
        }
    }
}
