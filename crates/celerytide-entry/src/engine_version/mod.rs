//! The version of the engine that a stream comes from.
//!
//! Engines of different software or weights give different texts to one prompt, so a stream may be resumed only at an
//! engine of the version that it began with. An engine names its version as `system_fingerprint` in the events of a stream.
//! One that names none is taken for another version than one that does; among engines of which none does nothing tells
//! versions apart.

use serde::Deserialize;

/// Version named by an event, if any.
type Named = Option<String>;

#[derive(Deserialize)]
struct Fields {
    system_fingerprint: Option<String>,
}

/// The version from which the caller has received text.
#[derive(Debug, Default)]
pub struct StreamVersion {
    bound: Option<Named>,
}

impl StreamVersion {
    /// Whether a stream that begins with this event may follow the `tokens` tokens sent so far. Before the first token any
    /// may, and the stream is bound to its version.
    pub fn admits(&mut self, first_event: &[u8], tokens: u32) -> bool {
        let named = version_of(first_event);
        if tokens == 0 {
            self.bound = Some(named);
            return true;
        }
        self.bound.as_ref() == Some(&named)
    }
}

fn version_of(event: &[u8]) -> Named {
    let fields: Option<Fields> = serde_json::from_slice(event).ok();
    fields.and_then(|fields| fields.system_fingerprint)
}
