//! Changes for the audit trail, in a bounded queue that the daemon drains.

use std::collections::VecDeque;

use celerytide_types::{Version, data};

use crate::view::Document;

const MAX_NEWS: usize = 256;

data! {
    /// One change or refusal.
    pub struct DocumentEvent {
        /// The document it concerns.
        pub about: Document,
        /// Whether it is in force now.
        pub applied: bool,
        /// Stable cause, for example `older-version`.
        pub cause: String,
        /// Where it came from: `service` or the peer's id.
        pub origin: String,
        /// The version that was offered.
        pub version: Version,
    }
}

/// Keeps the latest news; a repeat of the last one is kept once.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    news: VecDeque<DocumentEvent>,
    last: Option<DocumentEvent>,
}

impl Queue {
    pub(crate) fn push(&mut self, news: DocumentEvent) {
        if self.last.as_ref() == Some(&news) {
            return;
        }
        self.last = Some(news.clone());
        if self.news.len() == MAX_NEWS {
            self.news.pop_front();
        }
        self.news.push_back(news);
    }

    pub(crate) fn drain(&mut self) -> Vec<DocumentEvent> {
        self.news.drain(..).collect()
    }
}
