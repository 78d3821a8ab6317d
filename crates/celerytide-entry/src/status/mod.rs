//! The entry's part of `/status`, and the gauges of `/metrics`.

use std::rc::Rc;

use celerytide_operator::StatusSource;
use serde_json::{Value, json};

use crate::entry::Entry;

/// Reports an entry's status and gauges to operators.
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
        let tickets = entry.tickets.sizes().tickets;
        entry
            .metrics
            .set_gauges(entry.permits.leases().count(), entry.in_flight.count(), tickets);
    }
}

fn requests(entry: &Entry) -> Value {
    json!({
        "accepted": entry.metrics.request_count(),
        "running": entry.in_flight.count(),
        "permits_held": entry.permits.leases().count(),
    })
}

fn tickets(entry: &Entry) -> Value {
    let sizes = entry.tickets.sizes();
    json!({
        "held": sizes.tickets,
        "running": sizes.running,
        "answer_bytes": sizes.response_bytes,
        "copies": entry.copies.len(),
    })
}
