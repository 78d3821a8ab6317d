//! JSON Schemas of the documents, generated from the types.
//!
//! The first pass of the checks uses the same schemas, so that editors and daemons agree on names, types and bounds of
//! single fields.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde_json::Value;

use crate::customers::SectionDocument;
use crate::formats::Format;
use crate::{DispatchSettings, EntrySettings, Manifest};

/// Kind of a document, each with a schema.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentKind {
    /// An event's manifest.
    Manifest,
    /// A section of a manifest's customers.
    Section,
    /// Settings of an entry process.
    Entry,
    /// Settings of a dispatch process.
    Dispatch,
}

impl DocumentKind {
    /// All kinds.
    pub const ALL: [DocumentKind; 4] = [
        DocumentKind::Manifest,
        DocumentKind::Section,
        DocumentKind::Entry,
        DocumentKind::Dispatch,
    ];

    /// Name of the kind, as `celerytide check --kind` accepts it.
    pub fn as_str(self) -> &'static str {
        match self {
            DocumentKind::Manifest => "manifest",
            DocumentKind::Section => "section",
            DocumentKind::Entry => "entry",
            DocumentKind::Dispatch => "dispatch",
        }
    }

    /// JSON Schema of the kind.
    pub fn schema(self) -> Value {
        match self {
            DocumentKind::Manifest => schema_of::<Manifest>(),
            DocumentKind::Section => schema_of::<SectionDocument>(),
            DocumentKind::Entry => schema_of::<EntrySettings>(),
            DocumentKind::Dispatch => schema_of::<DispatchSettings>(),
        }
    }

    /// JSON Schema as formatted in the repository's `schema/`.
    pub fn schema_text(self) -> String {
        format!("{:#}\n", self.schema())
    }
}

fn schema_of<T: JsonSchema>() -> Value {
    SchemaGenerator::default().into_root_schema_for::<T>().into()
}

fn text_schema(format: Format) -> Schema {
    json_schema!({ "type": "string", "format": format.as_str() })
}

fn pattern_schema(format: Format, pattern: &str) -> Schema {
    json_schema!({ "type": "string", "format": format.as_str(), "pattern": pattern })
}

pub(crate) fn id(_: &mut SchemaGenerator) -> Schema {
    pattern_schema(Format::Id, "^[a-z0-9._-]{1,64}$")
}

pub(crate) fn label(_: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "string", "format": Format::Label.as_str(), "minLength": 1, "maxLength": 128 })
}

pub(crate) fn name(_: &mut SchemaGenerator) -> Schema {
    pattern_schema(Format::Name, "^[!-~]{1,128}$")
}

pub(crate) fn models(generator: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": name(generator) })
}

pub(crate) fn start(_: &mut SchemaGenerator) -> Schema {
    text_schema(Format::DateTime)
}

pub(crate) fn address(_: &mut SchemaGenerator) -> Schema {
    text_schema(Format::Address)
}

pub(crate) fn addresses(generator: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": address(generator) })
}

pub(crate) fn addresses_non_empty(generator: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": address(generator), "minItems": 1 })
}

pub(crate) fn duration_up_to_hour(_: &mut SchemaGenerator) -> Schema {
    text_schema(Format::DurationUpToHour)
}

pub(crate) fn duration_up_to_day(_: &mut SchemaGenerator) -> Schema {
    text_schema(Format::DurationUpToDay)
}

pub(crate) fn sha256(_: &mut SchemaGenerator) -> Schema {
    pattern_schema(Format::Sha256, "^[0-9a-f]{64}$")
}

pub(crate) fn sha256_list(generator: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": sha256(generator) })
}

pub(crate) fn method(_: &mut SchemaGenerator) -> Schema {
    let methods = crate::formats::METHODS;
    json_schema!({ "type": "string", "enum": methods })
}

pub(crate) fn path(_: &mut SchemaGenerator) -> Schema {
    pattern_schema(Format::Path, r##"^/[!"$-)+->@-~]{0,1023}[*]?$"##)
}
