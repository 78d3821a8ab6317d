//! Joins the pages of a list, the read of all records of the store, into a snapshot.

use celerytide_catalog::{Change, Era, Position, Revision, Snapshot};

use crate::source::Page;

/// A partly read list.
#[derive(Debug, Default)]
pub struct ListBuilder {
    position: Option<Position>,
    changes: Vec<Change>,
    after_key: Option<String>,
}

/// Result of adding a page.
#[derive(Debug, PartialEq)]
pub enum PageResult {
    /// More pages follow.
    More,
    /// The list is complete.
    Complete(Snapshot),
    /// The page belongs to another era than the earlier ones; all pages are dropped.
    Restarted,
}

impl ListBuilder {
    /// Key after which the next page starts; `None` for the first page.
    pub fn after_key(&self) -> Option<&str> {
        self.after_key.as_deref()
    }

    /// Adds a page read in `era`. The records change while the pages are read, so the snapshot gets the revision of its
    /// first page, and a watch from there reports what changed meanwhile.
    pub fn add(&mut self, era: Era, page: Page) -> PageResult {
        let read_to = page.revision;
        let first = Position {
            era,
            revision: page.revision,
        };
        let position = *self.position.get_or_insert(first);
        if position.era != era {
            *self = ListBuilder::default();
            return PageResult::Restarted;
        }
        self.changes.extend(page.changes);
        self.after_key = page.next;
        if self.after_key.is_some() {
            return PageResult::More;
        }
        PageResult::Complete(snapshot(position, read_to, std::mem::take(&mut self.changes)))
    }
}

fn snapshot(position: Position, read_to: Revision, changes: Vec<Change>) -> Snapshot {
    let mut snapshot = Snapshot {
        position,
        read_to,
        config: None,
        endpoints: Vec::new(),
        zones_out: Vec::new(),
    };
    for change in changes {
        match change {
            Change::Config(config) => snapshot.config = Some(config),
            Change::Endpoint(endpoint) => snapshot.endpoints.push(endpoint),
            Change::ZoneOut(zone) => snapshot.zones_out.push(zone),
            Change::EndpointGone(_) | Change::ZoneBack(_) => {}
        }
    }
    snapshot
}
