//! Whether a chunk of a model's stream carries text, without parsing it.
//!
//! A resumed stream goes on behind the chunks with text that the caller has; chunks that only name a role, a reason to finish or the
//! usage don't count.

use memchr::memmem;

const FIELDS: [&[u8]; 2] = [b"\"content\"", b"\"text\""];

/// Whether a chunk has a `content` or `text` field that is a string of at least one character.
pub fn carries_text(data: &[u8]) -> bool {
    FIELDS.iter().any(|field| has_text(data, field))
}

fn has_text(data: &[u8], field: &[u8]) -> bool {
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
