//! Offers of documents for the audit trail, in a bounded queue that the daemon drains.

use std::collections::VecDeque;

use celerytide_types::{Version, data};

use crate::view::Document;

const MAX_EVENTS: usize = 256;

data! {
    /// One document that was put in force or rejected.
    pub struct DocumentEvent {
        /// Kind of document.
        pub about: Document,
        /// Whether it is now in force.
        pub applied: bool,
        /// Stable cause, for example `older-version`.
        pub cause: String,
        /// Source: `service` or the peer's id.
        pub origin: String,
        /// Offered version.
        pub version: Version,
    }
}

/// Keeps the latest events; a repetition of the last one is dropped.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: VecDeque<DocumentEvent>,
    last: Option<DocumentEvent>,
}

impl EventQueue {
    pub(crate) fn push(&mut self, event: DocumentEvent) {
        if self.last.as_ref() == Some(&event) {
            return;
        }
        self.last = Some(event.clone());
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    pub(crate) fn drain(&mut self) -> Vec<DocumentEvent> {
        self.events.drain(..).collect()
    }
}
