//! Formats of text fields: check, description and placeholder of each.

use std::net::SocketAddr;
use std::time::Duration;

/// HTTP methods allowed in an action.
pub(crate) const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"];

const MAX_ID_CHARS: usize = 64;
const MAX_NAME_CHARS: usize = 128;
const MAX_PATH_CHARS: usize = 1024;
const SHA256_HEX_CHARS: usize = 64;
const HOUR: Duration = Duration::from_secs(60 * 60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Format of a text field; its name is the `format` keyword of the JSON Schema.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Id,
    Label,
    Name,
    DateTime,
    Address,
    DurationUpToHour,
    DurationUpToDay,
    Sha256,
    Path,
}

impl Format {
    const ALL: [Format; 9] = [
        Format::Id,
        Format::Label,
        Format::Name,
        Format::DateTime,
        Format::Address,
        Format::DurationUpToHour,
        Format::DurationUpToDay,
        Format::Sha256,
        Format::Path,
    ];

    /// The format with that name in the JSON Schema.
    pub(crate) fn from_name(name: &str) -> Option<Format> {
        Format::ALL.into_iter().find(|format| format.as_str() == name)
    }

    /// Name in the JSON Schema.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Format::Id => "id",
            Format::Label => "label",
            Format::Name => "name",
            Format::DateTime => "date-time",
            Format::Address => "socket-address",
            Format::DurationUpToHour => "span-1h",
            Format::DurationUpToDay => "span-24h",
            Format::Sha256 => "sha256-hex",
            Format::Path => "url-path",
        }
    }

    /// What the format allows, for fault messages.
    pub(crate) fn allowed(self) -> &'static str {
        match self {
            Format::Id => "1 to 64 characters of a-z, 0-9, '-', '_', '.'",
            Format::Label => "1 to 128 characters, none of them a control character",
            Format::Name => "1 to 128 printable ASCII characters without spaces",
            Format::DateTime => "RFC 3339 in UTC, such as 2027-03-01T14:00:00Z",
            Format::Address => "an IP address and a port, such as 127.0.0.1:8080",
            Format::DurationUpToHour => "above 0 and up to 1h with its unit, such as 250ms, 2s or 15m",
            Format::DurationUpToDay => "above 0 and up to 24h with its unit, such as 250ms, 2s or 15m",
            Format::Sha256 => "64 lower-case hex digits",
            Format::Path => "'/' and up to 1023 printable ASCII characters without '?' and '#'; '*' only at the end",
        }
    }

    /// Addition to the fault message for a number or boolean in place of text.
    pub(crate) fn mismatch_hint(self) -> &'static str {
        match self {
            Format::DurationUpToHour | Format::DurationUpToDay => " without a unit",
            _ => "",
        }
    }

    /// Whether an unquoted number or boolean is accepted, as the text that it is written with.
    pub(crate) fn accepts_numbers(self) -> bool {
        matches!(self, Format::Id | Format::Label | Format::Name | Format::Sha256)
    }

    /// A value in the format, which replaces a faulty one.
    pub(crate) fn placeholder(self) -> &'static str {
        match self {
            Format::Id | Format::Label | Format::Name => "x",
            Format::DateTime => "2027-01-01T00:00:00Z",
            Format::Address => "127.0.0.1:1",
            Format::DurationUpToHour | Format::DurationUpToDay => "1s",
            Format::Sha256 => "0000000000000000000000000000000000000000000000000000000000000000",
            Format::Path => "/",
        }
    }

    /// What is wrong with `text`, if anything.
    pub(crate) fn fault(self, text: &str) -> Option<String> {
        match self {
            Format::Id => chars_fault(text, MAX_ID_CHARS, is_id_char),
            Format::Label => chars_fault(text, MAX_NAME_CHARS, |c| !c.is_control()),
            Format::Name => chars_fault(text, MAX_NAME_CHARS, |c| c.is_ascii_graphic()),
            Format::DateTime => date_time_fault(text),
            Format::Address => address_fault(text),
            Format::DurationUpToHour => duration_fault(text, HOUR),
            Format::DurationUpToDay => duration_fault(text, DAY),
            Format::Sha256 => sha256_fault(text),
            Format::Path => path_fault(text),
        }
    }
}

fn is_id_char(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.')
}

fn chars_fault(text: &str, max: usize, allow: impl Fn(char) -> bool) -> Option<String> {
    if text.is_empty() {
        return Some("must not be empty".to_owned());
    }
    let count = text.chars().count();
    if count > max {
        return Some(format!("has {count} characters, more than {max}"));
    }
    let bad = text.chars().find(|c| !allow(*c))?;
    Some(format!("contains {bad:?}"))
}

fn date_time_fault(text: &str) -> Option<String> {
    match humantime::parse_rfc3339(text) {
        Ok(_) => None,
        Err(_) => Some(format!("{text:?} is not a point in time")),
    }
}

fn address_fault(text: &str) -> Option<String> {
    match text.parse::<SocketAddr>() {
        Ok(_) => None,
        Err(_) => Some(format!("{text:?} is not an address")),
    }
}

fn duration_fault(text: &str, max: Duration) -> Option<String> {
    let Ok(duration) = humantime::parse_duration(text) else {
        return Some(format!("{text:?} is not a span of time"));
    };
    if duration.is_zero() {
        return Some(format!("{text:?} is zero"));
    }
    (duration > max).then(|| format!("{text:?} is too long"))
}

fn sha256_fault(text: &str) -> Option<String> {
    let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.len() == SHA256_HEX_CHARS && text.chars().all(is_hex) {
        return None;
    }
    Some("is not a SHA-256 in hex".to_owned())
}

fn path_fault(text: &str) -> Option<String> {
    if !text.starts_with('/') {
        return Some(format!("{text:?} does not start with '/'"));
    }
    let prefix = text.strip_suffix('*').unwrap_or(text);
    let is_path_char = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '*');
    chars_fault(prefix, MAX_PATH_CHARS, is_path_char)
}
