//! Joins the pages of one list.

use celerytide_catalog::{Change, Era, Position, Revision, Snapshot};

use crate::source::Page;

/// A partly read list.
#[derive(Debug, Default)]
pub struct ListBuilder {
    position: Option<Position>,
    changes: Vec<Change>,
    after: Option<String>,
}

/// Result of adding a page.
#[derive(Debug, PartialEq)]
pub enum PageResult {
    /// More pages follow.
    More,
    /// The list is complete.
    Whole(Snapshot),
    /// The page belongs to another era than those before, which are dropped.
    Restarted,
}

impl ListBuilder {
    /// Key after which the next page starts; `None` for the first page.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Adds a page read in `era`. Pages don't form a consistent snapshot: the list has the revision of its first page,
    /// so that a watch reports what changed while the others were read.
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
        self.after = page.next;
        if self.after.is_some() {
            return PageResult::More;
        }
        PageResult::Whole(snapshot(position, read_to, std::mem::take(&mut self.changes)))
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
