//! JSON Schemas of the documents, made from the types.
//!
//! The same schemas drive the first pass of the checks, so that an editor and the daemons agree on names, types and
//! bounds of single fields.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde_json::Value;

use crate::customers::SectionDocument;
use crate::formats::Format;
use crate::{DispatchSettings, EntrySettings, Manifest};

/// The kinds of documents that have a schema.
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
    /// Every kind.
    pub const ALL: [DocumentKind; 4] = [
        DocumentKind::Manifest,
        DocumentKind::Section,
        DocumentKind::Entry,
        DocumentKind::Dispatch,
    ];

    /// The kind's name, as the command line takes it.
    pub fn as_str(self) -> &'static str {
        match self {
            DocumentKind::Manifest => "manifest",
            DocumentKind::Section => "section",
            DocumentKind::Entry => "entry",
            DocumentKind::Dispatch => "dispatch",
        }
    }

    /// The JSON Schema of the kind.
    pub fn schema(self) -> Value {
        match self {
            DocumentKind::Manifest => schema_of::<Manifest>(),
            DocumentKind::Section => schema_of::<SectionDocument>(),
            DocumentKind::Entry => schema_of::<EntrySettings>(),
            DocumentKind::Dispatch => schema_of::<DispatchSettings>(),
        }
    }

    /// The JSON Schema as it stands in the repository's `schema/`.
    pub fn schema_text(self) -> String {
        format!("{:#}\n", self.schema())
    }
}

fn schema_of<T: JsonSchema>() -> Value {
    SchemaGenerator::default().into_root_schema_for::<T>().into()
}

fn text(format: Format) -> Schema {
    json_schema!({ "type": "string", "format": format.as_str() })
}

fn pattern(format: Format, pattern: &str) -> Schema {
    json_schema!({ "type": "string", "format": format.as_str(), "pattern": pattern })
}

pub(crate) fn id(_: &mut SchemaGenerator) -> Schema {
    pattern(Format::Id, "^[a-z0-9._-]{1,64}$")
}

pub(crate) fn label(_: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "string", "format": Format::Label.as_str(), "minLength": 1, "maxLength": 128 })
}

pub(crate) fn name(_: &mut SchemaGenerator) -> Schema {
    pattern(Format::Name, "^[!-~]{1,128}$")
}

pub(crate) fn models(cx: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": name(cx) })
}

pub(crate) fn start(_: &mut SchemaGenerator) -> Schema {
    text(Format::Start)
}

pub(crate) fn address(_: &mut SchemaGenerator) -> Schema {
    text(Format::Address)
}

pub(crate) fn addresses(cx: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": address(cx) })
}

pub(crate) fn addresses_some(cx: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": address(cx), "minItems": 1 })
}

pub(crate) fn span_1h(_: &mut SchemaGenerator) -> Schema {
    text(Format::SpanHour)
}

pub(crate) fn span_24h(_: &mut SchemaGenerator) -> Schema {
    text(Format::SpanDay)
}

pub(crate) fn sha256(_: &mut SchemaGenerator) -> Schema {
    pattern(Format::Sha256, "^[0-9a-f]{64}$")
}

pub(crate) fn sha256_list(cx: &mut SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": sha256(cx) })
}

pub(crate) fn method(_: &mut SchemaGenerator) -> Schema {
    let methods = crate::formats::METHODS;
    json_schema!({ "type": "string", "enum": methods })
}

pub(crate) fn path(_: &mut SchemaGenerator) -> Schema {
    pattern(Format::Path, r##"^/[!"$-)+->@-~]{0,1023}[*]?$"##)
}
