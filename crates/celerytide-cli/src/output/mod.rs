//! Prints JSON values for scripts and as text for people.

use std::io::{self, Write};
use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{Map, Value};

const INDENT: &str = "  ";

/// Prints a JSON value over several lines, and a line feed.
pub(crate) fn print_json<T: Serialize>(value: &T, out: &mut impl Write) -> io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}

/// Prints a JSON value on one line.
pub(crate) fn print_json_line<T: Serialize>(value: &T, out: &mut impl Write) -> io::Result<()> {
    serde_json::to_writer(&mut *out, value)?;
    writeln!(out)
}

/// A point in time as RFC 3339 in UTC, or as the number if it is after the year 9999.
pub(crate) fn format_time(at_unix_ms: u64) -> String {
    match UNIX_EPOCH.checked_add(Duration::from_millis(at_unix_ms)) {
        Some(at) if at_unix_ms <= MAX_UNIX_MS => humantime::format_rfc3339_millis(at).to_string(),
        _ => at_unix_ms.to_string(),
    }
}

/// Last millisecond of the year 9999, the last year that RFC 3339 can express.
const MAX_UNIX_MS: u64 = 253_402_300_799_999;

/// Prints each field on a line; nested fields are indented.
pub(crate) fn print_fields(fields: &Map<String, Value>, depth: usize, out: &mut impl Write) -> io::Result<()> {
    for (name, value) in fields {
        print_field(name, value, depth, out)?;
    }
    Ok(())
}

fn print_field(name: &str, value: &Value, depth: usize, out: &mut impl Write) -> io::Result<()> {
    let indent = INDENT.repeat(depth);
    match value {
        Value::Object(inner) if has_nested_fields(value) => {
            writeln!(out, "{indent}{}:", replace_control_chars(name))?;
            print_fields(inner, depth + 1, out)
        }
        Value::Array(values) if values.iter().any(is_nested) => {
            writeln!(out, "{indent}{}:", replace_control_chars(name))?;
            values.iter().try_for_each(|value| print_item(value, depth + 1, out))
        }
        _ => writeln!(out, "{indent}{}: {}", replace_control_chars(name), one_line(value)),
    }
}

/// Prints an item of a list after a dash.
fn print_item(value: &Value, depth: usize, out: &mut impl Write) -> io::Result<()> {
    let indent = INDENT.repeat(depth);
    match value {
        Value::Object(inner) if has_nested_fields(value) => {
            let mut block = Vec::new();
            print_fields(inner, depth + 1, &mut block)?;
            // The dash replaces the indentation of the first field.
            let first = block.get(INDENT.len() * (depth + 1)..).unwrap_or_default();
            write!(out, "{indent}- ")?;
            out.write_all(first)
        }
        _ => writeln!(out, "{indent}- {}", one_line(value)),
    }
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(values) => !values.is_empty(),
        _ => false,
    }
}

fn has_nested_fields(value: &Value) -> bool {
    value.as_object().is_some_and(|fields| fields.values().any(is_nested))
}

/// Formats a value on one line.
pub(crate) fn one_line(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => replace_control_chars(text),
        Value::Array(values) if values.is_empty() => "none".to_owned(),
        Value::Array(values) => values.iter().map(one_line).collect::<Vec<_>>().join(", "),
        Value::Object(fields) if fields.is_empty() => "none".to_owned(),
        Value::Object(fields) => {
            let parts = fields
                .iter()
                .map(|(name, value)| format!("{} {}", replace_control_chars(name), one_line(value)));
            parts.collect::<Vec<_>>().join(", ")
        }
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    }
}

/// Replaces control characters, so that a response can't send escape sequences to the terminal.
pub(crate) fn replace_control_chars(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}
