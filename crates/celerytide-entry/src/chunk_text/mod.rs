//! Tells whether a chunk of a model's stream carries text, without parsing its JSON.
//!
//! A resumed stream continues after the text chunks that the caller has received. Chunks that carry only a role, a
//! finish reason or the usage aren't counted.

use memchr::memmem;

const TEXT_FIELDS: [&[u8]; 2] = [b"\"content\"", b"\"text\""];

/// Whether a chunk has a `content` or `text` field that holds a non-empty string.
pub fn has_text(data: &[u8]) -> bool {
    TEXT_FIELDS.iter().any(|field| field_has_text(data, field))
}

fn field_has_text(data: &[u8], field: &[u8]) -> bool {
    let Some(at) = memmem::find(data, field) else {
        return false;
    };
    let rest = data.get(at + field.len()..).unwrap_or_default().trim_ascii_start();
    let Some(value) = rest.strip_prefix(b":") else {
        return false;
    };
    let value = value.trim_ascii_start();
    value.first() == Some(&b'"') && value.get(1).is_some_and(|b| *b != b'"')
}
