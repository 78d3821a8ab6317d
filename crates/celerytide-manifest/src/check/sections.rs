//! Checks each section of a manifest's customers by itself, then all sections of a manifest against each other.

use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

use snafu::Snafu;

use super::{CheckedManifest, check, manifest, sha256_hex};
use crate::customers::{CustomerIndex, Section, SectionDocument, section_key};
use crate::report::Report;
use crate::yaml::{self, Position};
use crate::{Customer, DocumentKind, Fault};

/// Largest section; a daemon checks a section without yielding to other tasks.
pub const SECTION_MAX_BYTES: usize = 256 * 1024;

/// Why a text isn't a valid section with the expected digest.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum SectionFault {
    /// The text has another digest: the value is damaged or wrong, and another read may succeed.
    #[snafu(display("the text's digest is {found}"))]
    OtherDigest {
        /// Hex SHA-256 of the text.
        found: String,
    },
    /// The text has the expected digest, and faults.
    #[snafu(display("{}", faults.first().map(ToString::to_string).unwrap_or_default()))]
    Invalid {
        /// All faults that the check found.
        faults: Vec<Fault>,
    },
}

/// Checks the text of the section with that digest; faults name `file`.
///
/// # Errors
/// [`SectionFault`] if the text has another digest, or faults.
pub fn check_section(file: &str, digest: &str, text: &str) -> Result<Section, SectionFault> {
    let found = sha256_hex(text);
    if found != digest {
        return OtherDigestSnafu { found }.fail();
    }
    let document = check(DocumentKind::Section, SECTION_MAX_BYTES, file, text, cross_check);
    let document = document.map_err(|faults| SectionFault::Invalid { faults })?;
    Ok(Section {
        digest: digest.to_owned(),
        text: Rc::from(text),
        customers: document.customers.into(),
    })
}

fn cross_check(document: &SectionDocument, report: &mut Report<'_>) {
    manifest::check_customers(&document.customers, report);
}

/// Joins a manifest and its sections, given in the manifest's order; faults name the section's key.
///
/// # Errors
/// A fault for each repeated customer id and each repeated key.
pub fn join_sections(mut checked: CheckedManifest, sections: Vec<Rc<Section>>) -> Result<CheckedManifest, Vec<Fault>> {
    let faults = duplicates(&checked.manifest.customers, &sections);
    if !faults.is_empty() {
        return Err(faults);
    }
    checked.manifest.customer_index = CustomerIndex::new(&checked.manifest.customers, sections);
    Ok(checked)
}

/// Position of a customer; the section is `None` for the manifest itself.
#[derive(Clone, Copy)]
struct CustomerPosition<'s> {
    section: Option<&'s Section>,
    at: usize,
}

fn duplicates(own: &[Customer], sections: &[Rc<Section>]) -> Vec<Fault> {
    let count = own.len() + sections.iter().map(|s| s.customers.len()).sum::<usize>();
    let mut ids = HashMap::with_capacity(count);
    let mut keys = HashMap::with_capacity(count);
    let mut faults = Vec::new();
    let parts = sections.iter().map(|section| (Some(&**section), &*section.customers));
    for (section, customers) in std::iter::once((None, own)).chain(parts) {
        for (at, customer) in customers.iter().enumerate() {
            let current = CustomerPosition { section, at };
            if let Some(first) = first_use(&mut ids, customer.id.as_str(), current) {
                let message = format!("{} repeats {}", customer.id, first.field("id"));
                faults.push(current.fault("id", message, "each customer id once"));
            }
            if let Some(first) = first_use(&mut keys, customer.key_sha256, current) {
                let message = format!("the key repeats {}", first.field("key_sha256"));
                faults.push(current.fault("key_sha256", message, "each key for one customer"));
            }
        }
    }
    faults
}

fn first_use<'s, K: Hash + Eq>(
    seen: &mut HashMap<K, CustomerPosition<'s>>,
    value: K,
    current: CustomerPosition<'s>,
) -> Option<CustomerPosition<'s>> {
    let first = *seen.entry(value).or_insert(current);
    let same = first.at == current.at && first.section.map(|s| &s.digest) == current.section.map(|s| &s.digest);
    (!same).then_some(first)
}

impl CustomerPosition<'_> {
    fn path(self, name: &str) -> String {
        format!("customers[{}].{name}", self.at)
    }

    /// Path of the field, after the key of its section.
    fn field(self, name: &str) -> String {
        match self.section {
            Some(section) => format!("{} {}", section_key(&section.digest), self.path(name)),
            None => self.path(name),
        }
    }

    fn fault(self, name: &str, message: String, allowed: &str) -> Fault {
        let field = self.path(name);
        // The section's text is parsed again, because positions aren't kept and only faults need them.
        let root = self.section.and_then(|section| yaml::parse(&section.text).ok());
        let position = root.map_or(Position { line: 1, column: 1 }, |root| root.locate(&field));
        Fault {
            file: self.section.map(|s| section_key(&s.digest)).unwrap_or_default(),
            line: position.line,
            column: position.column,
            field,
            message,
            allowed: allowed.to_owned(),
        }
    }
}
