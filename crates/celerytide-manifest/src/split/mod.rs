//! Splits a manifest with more customers than one value of the configuration service can hold into a small manifest and
//! sections.
//!
//! A customer's section depends on the customer's id alone, so a change of one customer changes one section, and a new
//! version shares all other sections with the previous one.

use std::fmt::Write;

use celerytide_types::Digest;
use serde_json::Value;
use sha2::{Digest as _, Sha256};
use snafu::{ResultExt, Snafu};

use crate::check::{check_manifest_up_to, sha256_hex};
use crate::{Customer, Fault, Manifest};

/// Largest manifest that can be split.
pub const SPLIT_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Mean section size aimed at; the number of sections is rounded up to a power of two.
const MEAN_SECTION_BYTES: usize = 64 * 1024;

/// A manifest and the sections split from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Text of the manifest, which names the sections by digest.
    pub manifest: String,
    /// Sections that are not empty.
    pub sections: Vec<SplitSection>,
}

/// One section and its digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitSection {
    /// Hex SHA-256 of the text.
    pub digest: Digest,
    /// Text to publish under the section's key.
    pub text: String,
}

/// Why a manifest can't be split.
#[derive(Debug, Snafu)]
pub enum SplitError {
    /// The manifest has faults.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Invalid {
        /// All faults that the check found.
        faults: Vec<Fault>,
    },
    /// The manifest names sections already.
    #[snafu(display("the manifest names sections already"))]
    AlreadySplit,
    /// The manifest could not be converted to a JSON value.
    #[snafu(display("{source}"))]
    ToValue {
        /// Error of the encoder.
        source: serde_json::Error,
    },
    /// The manifest could not be written as YAML.
    #[snafu(display("{source}"))]
    ToYaml {
        /// Error of the encoder.
        source: serde_saphyr::ser::Error,
    },
}

/// Splits a manifest's text; faults name `file`.
///
/// # Errors
/// [`SplitError`] if the manifest has faults or sections.
pub fn split(file: &str, text: &str) -> Result<Split, SplitError> {
    let checked = check_manifest_up_to(SPLIT_MAX_BYTES, file, text);
    let mut manifest = checked.map_err(|faults| SplitError::Invalid { faults })?.manifest;
    if !manifest.customer_sections.is_empty() {
        return AlreadySplitSnafu.fail();
    }
    let sections = split_customers(std::mem::take(&mut manifest.customers));
    manifest.customer_sections = sections.iter().map(|section| section.digest.clone()).collect();
    Ok(Split {
        manifest: manifest_yaml(&manifest)?,
        sections,
    })
}

fn split_customers(mut customers: Vec<Customer>) -> Vec<SplitSection> {
    customers.sort_by(|a, b| a.id.cmp(&b.id));
    let bytes: usize = customers.iter().map(|customer| customer_line(customer).len()).sum();
    let count = bytes.div_ceil(MEAN_SECTION_BYTES).next_power_of_two();
    let mut texts = vec![String::new(); count];
    for customer in &customers {
        texts[section_index(&customer.id, count)].push_str(&customer_line(customer));
    }
    let texts = texts.into_iter().filter(|lines| !lines.is_empty());
    texts.map(|lines| split_section(&lines)).collect()
}

fn split_section(lines: &str) -> SplitSection {
    let text = format!("format: 1\ncustomers:\n{lines}");
    SplitSection {
        digest: sha256_hex(&text),
        text,
    }
}

/// A customer as one line of a section's YAML.
fn customer_line(customer: &Customer) -> String {
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

/// Index of the section for the customer with that id; `count` is a power of two.
fn section_index(id: &str, count: usize) -> usize {
    let hash: [u8; 32] = Sha256::digest(id.as_bytes()).into();
    let [a, b, c, d, ..] = hash;
    let hash = usize::try_from(u32::from_be_bytes([a, b, c, d])).unwrap_or_default();
    hash & (count - 1)
}

fn manifest_yaml(manifest: &Manifest) -> Result<String, SplitError> {
    let mut plain = serde_json::to_value(manifest).context(ToValueSnafu)?;
    drop_nulls(&mut plain);
    serde_saphyr::to_string(&plain).context(ToYamlSnafu)
}

/// Removes fields without a value, which the checks would report as faults.
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
