//! The pages of one list.

use celerytide_catalog::{Change, Era, Position, Revision, Snapshot};

use crate::source::Page;

/// A list that is being read.
#[derive(Debug, Default)]
pub struct Listing {
    position: Option<Position>,
    changes: Vec<Change>,
    after: Option<String>,
}

/// What a page made of a list.
#[derive(Debug, PartialEq)]
pub enum Added {
    /// More pages follow.
    More,
    /// The list is whole.
    Whole(Snapshot),
    /// The page is of another era than those before, which are dropped.
    Anew,
}

impl Listing {
    /// The key behind which the next page begins; `None` for the first page.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Adds a page that was read in `era`. Pages are no snapshot: the list rests on the revision of its first page, so
    /// that a watch tells what changed while the others were read.
    pub fn add(&mut self, era: Era, page: Page) -> Added {
        let read_to = page.revision;
        let first = Position {
            era,
            revision: page.revision,
        };
        let position = *self.position.get_or_insert(first);
        if position.era != era {
            *self = Listing::default();
            return Added::Anew;
        }
        self.changes.extend(page.changes);
        self.after = page.next;
        if self.after.is_some() {
            return Added::More;
        }
        Added::Whole(snapshot(position, read_to, std::mem::take(&mut self.changes)))
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
