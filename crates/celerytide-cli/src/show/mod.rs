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
        Value::Object(inner) if inner.values().any(is_nested) => {
            writeln!(out, "{indent}{}:", clean(name))?;
            fields(inner, depth + 1, out)
        }
        Value::Array(values) if values.iter().any(is_nested) => {
            writeln!(out, "{indent}{}:", clean(name))?;
            for value in values {
                writeln!(out, "{indent}{INDENT}- {}", flat(value))?;
            }
            Ok(())
        }
        _ => writeln!(out, "{indent}{}: {}", clean(name), flat(value)),
    }
}

fn is_nested(value: &Value) -> bool {
    matches!(value, Value::Object(_) | Value::Array(_))
}

/// A value on one line.
pub(crate) fn flat(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => clean(text),
        Value::Array(values) => values.iter().map(flat).collect::<Vec<_>>().join(", "),
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
