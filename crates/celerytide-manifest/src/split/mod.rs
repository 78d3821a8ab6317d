//! Splits a manifest whose customers are too many for one value into a small manifest and sections.
//!
//! A customer's section follows from its id alone, so a change of one customer changes one section, and a version shares
//! all the others with the one before.

use std::fmt::Write;

use celerytide_types::Digest;
use serde_json::Value;
use sha2::{Digest as _, Sha256};
use snafu::{ResultExt, Snafu};

use crate::check::{check_manifest_up_to, sha256_hex};
use crate::{Customer, Fault, Manifest};

/// Largest manifest that is split, in bytes.
pub const SPLIT_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Mean size of a section that is aimed at, in bytes; the number of sections is a power of two.
const SECTION_BYTES: usize = 64 * 1024;

/// A manifest in parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The manifest's text, which names the sections.
    pub manifest: String,
    /// The sections.
    pub sections: Vec<SplitPart>,
}

/// One section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPart {
    /// Hex SHA-256 of its text.
    pub digest: Digest,
    /// Its text.
    pub text: String,
}

/// Why a manifest can't be split.
#[derive(Debug, Snafu)]
pub enum SplitError {
    /// It has faults.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Invalid {
        /// What is wrong.
        faults: Vec<Fault>,
    },
    /// It has sections already.
    #[snafu(display("the manifest names sections already"))]
    Sections,
    /// It has no plain form.
    #[snafu(display("{source}"))]
    Plain {
        /// What the encoder said.
        source: serde_json::Error,
    },
    /// It has no text.
    #[snafu(display("{source}"))]
    Text {
        /// What the encoder said.
        source: serde_saphyr::ser::Error,
    },
}

/// Splits a manifest's text; `file` is the name that faults bear.
///
/// # Errors
/// [`SplitError`] if the manifest has faults or sections.
pub fn split(file: &str, text: &str) -> Result<Split, SplitError> {
    let checked = check_manifest_up_to(SPLIT_MAX_BYTES, file, text);
    let mut manifest = checked.map_err(|faults| SplitError::Invalid { faults })?.manifest;
    if !manifest.customer_sections.is_empty() {
        return SectionsSnafu.fail();
    }
    let sections = sections_of(std::mem::take(&mut manifest.customers));
    manifest.customer_sections = sections.iter().map(|section| section.digest.clone()).collect();
    Ok(Split {
        manifest: text_of(&manifest)?,
        sections,
    })
}

fn sections_of(mut customers: Vec<Customer>) -> Vec<SplitPart> {
    customers.sort_by(|a, b| a.id.cmp(&b.id));
    let bytes: usize = customers.iter().map(|customer| line_of(customer).len()).sum();
    let count = bytes.div_ceil(SECTION_BYTES).next_power_of_two();
    let mut texts = vec![String::new(); count];
    for customer in &customers {
        texts[section_of(&customer.id, count)].push_str(&line_of(customer));
    }
    let texts = texts.into_iter().filter(|lines| !lines.is_empty());
    texts.map(|lines| part(&lines)).collect()
}

fn part(lines: &str) -> SplitPart {
    let text = format!("format: 1\ncustomers:\n{lines}");
    SplitPart {
        digest: sha256_hex(&text),
        text,
    }
}

/// One customer as a line of a section.
fn line_of(customer: &Customer) -> String {
    let mut line = format!(
        "- {{id: \"{}\", key_sha256: \"{}\", requests_per_second: {}, burst: {}",
        customer.id, customer.key_sha256, customer.requests_per_second, customer.burst
    );
    if customer.weight != 1 {
        // Writing to a string can't fail.
        let _ = write!(line, ", weight: {}", customer.weight);
    }
    line.push_str("}\n");
    line
}

/// Where the customer of that id stands among `count` sections, a power of two.
fn section_of(id: &str, count: usize) -> usize {
    let hash: [u8; 32] = Sha256::digest(id.as_bytes()).into();
    let [a, b, c, d, ..] = hash;
    let hash = usize::try_from(u32::from_be_bytes([a, b, c, d])).unwrap_or_default();
    hash & (count - 1)
}

fn text_of(manifest: &Manifest) -> Result<String, SplitError> {
    let mut plain = serde_json::to_value(manifest).context(PlainSnafu)?;
    drop_nulls(&mut plain);
    serde_saphyr::to_string(&plain).context(TextSnafu)
}

/// Fields without a value are left out: the checks take them for faults.
fn drop_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(drop_nulls);
        }
        Value::Array(items) => items.iter_mut().for_each(drop_nulls),
        _ => {}
    }
}
