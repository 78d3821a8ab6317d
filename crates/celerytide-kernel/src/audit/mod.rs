//! The audit trail: every configuration, zone, endpoint and ownership change and every order, in memory.
//!
//! Instances have no disks, so the trail is a bounded ring that operators read over `/audit`; each record is logged as
//! well, so that the platform's log collection keeps what the ring drops.

use std::cell::RefCell;
use std::collections::VecDeque;

use celerytide_types::{Version, data, now_unix_ms};

/// Records kept by default.
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
        /// A zone went in or out of service.
        ZoneChanged,
        /// An endpoint changed its state.
        EndpointChanged,
        /// A pool changed its owner or standing.
        OwnershipChanged,
        /// An order was given or refused.
        Order,
        /// The list of instances changed.
        InstancesChanged,
        /// A view was distrusted or trusted again.
        FreshnessChanged,
        /// An answer that did not match its request.
        AnswerMismatch,
        /// The process started, became ready, or stops.
        Process,
    }

    /// One record.
    pub struct Record {
        /// Position in the trail; grows by one.
        pub seq: u64,
        /// Wall time, milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// What it is about.
        pub kind: Kind,
        /// The thing that changed.
        pub subject: String,
        /// Why.
        pub cause: String,
        /// The configuration or list version in force.
        pub version: Version,
    }
}

/// The trail of one process.
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
    /// A trail that keeps the last `capacity` records.
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

    /// Records after position `seq`, oldest first.
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
