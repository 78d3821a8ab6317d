//! Views of a store: the same content, with other addresses of runners.
//!
//! Each router of a test reads a view of its own, so that its connections to runners pass through links of its own.

use std::net::SocketAddr;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::Value;

/// Lists in the answers of a store whose items have values.
const LISTS: [&str; 2] = ["items", "events"];

/// Addresses that a reader gets in place of others.
#[derive(Debug, Clone, Default)]
pub(super) struct View {
    /// JSON texts of addresses, in values and for the reader.
    replaced: Vec<(String, String)>,
}

impl View {
    pub(super) fn new(replaced: &[(SocketAddr, SocketAddr)]) -> View {
        let text = |addr: &SocketAddr| format!("\"{addr}\"");
        View {
            replaced: replaced.iter().map(|(from, to)| (text(from), text(to))).collect(),
        }
    }

    /// Replaces addresses in all values of an answer.
    pub(super) fn apply(&self, body: &mut Value) {
        if self.replaced.is_empty() {
            return;
        }
        for name in LISTS {
            let items = body.get_mut(name).and_then(Value::as_array_mut);
            let values = items.into_iter().flatten().filter_map(|item| item.get_mut("value"));
            values.for_each(|value| self.apply_to_value(value));
        }
    }

    fn apply_to_value(&self, value: &mut Value) {
        let decoded = value.as_str().and_then(|text| BASE64_STANDARD.decode(text).ok());
        let Some(mut text) = decoded.and_then(|bytes| String::from_utf8(bytes).ok()) else {
            return;
        };
        for (from, to) in &self.replaced {
            text = text.replace(from, to);
        }
        *value = BASE64_STANDARD.encode(text).into();
    }
}
