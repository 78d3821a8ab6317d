//! How answers are printed.

use std::io::{self, Write};
use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{Map, Value};

const INDENT: &str = "  ";

/// Prints one JSON value and a line feed.
pub(crate) fn json<T: Serialize>(value: &T, out: &mut impl Write) -> io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}

/// Prints one JSON value on one line.
pub(crate) fn json_line<T: Serialize>(value: &T, out: &mut impl Write) -> io::Result<()> {
    serde_json::to_writer(&mut *out, value)?;
    writeln!(out)
}

/// A point in time for people, UTC.
pub(crate) fn time(at_unix_ms: u64) -> String {
    match UNIX_EPOCH.checked_add(Duration::from_millis(at_unix_ms)) {
        Some(at) if at_unix_ms <= LAST_UNIX_MS => humantime::format_rfc3339_millis(at).to_string(),
        _ => at_unix_ms.to_string(),
    }
}

/// The last millisecond of the year 9999; RFC 3339 goes no further.
const LAST_UNIX_MS: u64 = 253_402_300_799_999;

/// Prints fields line by line, nested ones deeper.
pub(crate) fn fields(fields: &Map<String, Value>, depth: usize, out: &mut impl Write) -> io::Result<()> {
    for (name, value) in fields {
        field(name, value, depth, out)?;
    }
    Ok(())
}

fn field(name: &str, value: &Value, depth: usize, out: &mut impl Write) -> io::Result<()> {
    let indent = INDENT.repeat(depth);
    match value {
        Value::Object(inner) if is_deep(value) => {
            writeln!(out, "{indent}{}:", clean(name))?;
            fields(inner, depth + 1, out)
        }
        Value::Array(values) if values.iter().any(is_nested) => {
            writeln!(out, "{indent}{}:", clean(name))?;
            values.iter().try_for_each(|value| item(value, depth + 1, out))
        }
        _ => writeln!(out, "{indent}{}: {}", clean(name), flat(value)),
    }
}

/// Prints one entry of a list behind a dash.
fn item(value: &Value, depth: usize, out: &mut impl Write) -> io::Result<()> {
    let indent = INDENT.repeat(depth);
    match value {
        Value::Object(inner) if is_deep(value) => {
            let mut block = Vec::new();
            fields(inner, depth + 1, &mut block)?;
            // The dash takes the place of the first field's own indent.
            let first = block.get(INDENT.len() * (depth + 1)..).unwrap_or_default();
            write!(out, "{indent}- ")?;
            out.write_all(first)
        }
        _ => writeln!(out, "{indent}- {}", flat(value)),
    }
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(values) => !values.is_empty(),
        _ => false,
    }
}

fn is_deep(value: &Value) -> bool {
    value.as_object().is_some_and(|fields| fields.values().any(is_nested))
}

/// A value on one line.
pub(crate) fn flat(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => clean(text),
        Value::Array(values) if values.is_empty() => "none".to_owned(),
        Value::Array(values) => values.iter().map(flat).collect::<Vec<_>>().join(", "),
        Value::Object(fields) if fields.is_empty() => "none".to_owned(),
        Value::Object(fields) => {
            let parts = fields
                .iter()
                .map(|(name, value)| format!("{} {}", clean(name), flat(value)));
            parts.collect::<Vec<_>>().join(", ")
        }
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    }
}

/// Text without control characters, so that no answer can steer a terminal.
pub(crate) fn clean(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}
