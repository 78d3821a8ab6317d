//! Encodes typed documents as YAML.

use serde::Serialize;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

/// Reason why a document could not be encoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The document could not be converted to a JSON value.
    #[snafu(display("{source}"))]
    Json {
        /// Underlying error.
        source: serde_json::Error,
    },
    /// The JSON value could not be written as YAML.
    #[snafu(display("{source}"))]
    Yaml {
        /// Underlying error.
        source: serde_saphyr::ser::Error,
    },
}

/// Encodes a document as YAML. Fields with the value null are left out, because the validation rejects them.
pub fn to_yaml<T: Serialize>(document: &T) -> Result<String, Error> {
    let mut value = serde_json::to_value(document).context(JsonSnafu)?;
    remove_nulls(&mut value);
    serde_saphyr::to_string(&value).context(YamlSnafu)
}

fn remove_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(remove_nulls);
        }
        Value::Array(items) => items.iter_mut().for_each(remove_nulls),
        _ => {}
    }
}
