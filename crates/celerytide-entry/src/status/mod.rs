//! What `/status` tells of an entry.

use std::rc::Rc;

use celerytide_operator::StatusSource;
use serde_json::{Value, json};

use crate::entry::Entry;

/// The entry's status.
pub struct EntryStatus(pub Rc<Entry>);

impl StatusSource for EntryStatus {
    fn status(&self) -> Value {
        let entry = &self.0;
        let mut status = entry.node.status("entry");
        if let Value::Object(fields) = &mut status {
            fields.insert(String::from("requests"), requests(entry));
            fields.insert(String::from("tickets"), tickets(entry));
        }
        status
    }

    fn update_gauges(&self) {
        let entry = &self.0;
        let tickets = entry.home.sizes().tickets;
        entry
            .metrics
            .levels(entry.acquire.leases().count(), entry.busy.count(), tickets);
    }
}

fn requests(entry: &Entry) -> Value {
    json!({
        "accepted": entry.metrics.requests_so_far(),
        "running": entry.busy.count(),
        "permits_held": entry.acquire.leases().count(),
    })
}

fn tickets(entry: &Entry) -> Value {
    let sizes = entry.home.sizes();
    json!({
        "held": sizes.tickets,
        "running": sizes.running,
        "answer_bytes": sizes.answer_bytes,
        "copies": entry.copies.len(),
    })
}
