//! In-memory audit log of every configuration, zone, endpoint and ownership change and of every order.
//!
//! Instances have no disks, so the records are kept in a bounded ring buffer, which operators read over `/audit`. Each
//! record is also logged, so that the platform's log collection keeps the records that the ring buffer drops.

use std::cell::RefCell;
use std::collections::VecDeque;

use celerytide_types::{Version, data, now_unix_ms};

/// Default number of records kept.
pub const DEFAULT_CAPACITY: usize = 4096;

data! {
    /// What a record is about.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum Kind {
        /// A configuration was applied.
        ConfigurationApplied,
        /// A configuration was refused.
        ConfigurationRefused,
        /// A zone was taken into or out of service.
        ZoneChanged,
        /// An endpoint changed its state.
        EndpointChanged,
        /// A pool changed its owner, or the state of its ownership.
        OwnershipChanged,
        /// An order to an endpoint was accepted, refused or not delivered.
        Order,
        /// The list of instances changed.
        InstancesChanged,
        /// The views of the configuration became stale or fresh.
        FreshnessChanged,
        /// A response did not match its request.
        AnswerMismatch,
        /// The process started, became ready or is stopping.
        Process,
    }

    /// An audit record.
    pub struct Record {
        /// Sequence number, starting at 1 and without gaps.
        pub seq: u64,
        /// Wall-clock time in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// Kind of the change.
        pub kind: Kind,
        /// The thing that changed.
        pub subject: String,
        /// Cause of the change.
        pub cause: String,
        /// Version of the configuration or list in force.
        pub version: Version,
    }
}

/// The audit log of a process.
pub struct Audit {
    ring: RefCell<Ring>,
}

struct Ring {
    next: u64,
    capacity: usize,
    records: VecDeque<Record>,
}

impl Default for Audit {
    fn default() -> Audit {
        Audit::with_capacity(DEFAULT_CAPACITY)
    }
}

impl Audit {
    /// Creates an audit log that keeps the last `capacity` records, at least one.
    pub fn with_capacity(capacity: usize) -> Audit {
        let ring = Ring {
            next: 1,
            capacity: capacity.max(1),
            records: VecDeque::new(),
        };
        Audit {
            ring: RefCell::new(ring),
        }
    }

    /// Adds a record and logs it.
    pub fn record(&self, kind: Kind, subject: &str, cause: &str, version: Version) {
        tracing::info!(?kind, subject, cause, version, "audit: recorded");
        let mut ring = self.ring.borrow_mut();
        let seq = ring.next;
        ring.next += 1;
        if ring.records.len() == ring.capacity {
            ring.records.pop_front();
        }
        let (subject, cause) = (subject.to_owned(), cause.to_owned());
        ring.records.push_back(Record {
            seq,
            at_unix_ms: now_unix_ms(),
            kind,
            subject,
            cause,
            version,
        });
    }

    /// Returns the records after sequence number `seq`, oldest first.
    pub fn since(&self, seq: u64) -> Vec<Record> {
        self.ring
            .borrow()
            .records
            .iter()
            .filter(|r| r.seq > seq)
            .cloned()
            .collect()
    }
}
