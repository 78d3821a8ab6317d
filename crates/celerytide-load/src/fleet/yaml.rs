//! Typed documents as YAML text.

use serde::Serialize;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

/// Why a document has no YAML form.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It has no plain form.
    #[snafu(display("{source}"))]
    Plain {
        /// What the encoder said.
        source: serde_json::Error,
    },
    /// Its plain form has no YAML form.
    #[snafu(display("{source}"))]
    Text {
        /// What the encoder said.
        source: serde_saphyr::ser::Error,
    },
}

/// A document's text. Fields without a value are left out: the checks take them for faults.
pub fn to_yaml<T: Serialize>(document: &T) -> Result<String, Error> {
    let mut plain = serde_json::to_value(document).context(PlainSnafu)?;
    drop_empty(&mut plain);
    serde_saphyr::to_string(&plain).context(TextSnafu)
}

fn drop_empty(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(drop_empty);
        }
        Value::Array(items) => items.iter_mut().for_each(drop_empty),
        _ => {}
    }
}
