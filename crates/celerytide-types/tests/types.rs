//! Tests of ids, outcomes and clocks.

use std::time::Duration;

use celerytide_types::{BootTime, ExecutionStatus, new_request_id, now_boot, rendezvous_weight};

struct StatusCase {
    status: ExecutionStatus,
    text: &'static str,
}

#[test]
fn execution_statuses_keep_their_text() {
    let cases = [
        StatusCase {
            status: ExecutionStatus::Done,
            text: "done",
        },
        StatusCase {
            status: ExecutionStatus::NotRun,
            text: "not-run",
        },
        StatusCase {
            status: ExecutionStatus::Unknown,
            text: "unknown",
        },
    ];
    for case in cases {
        assert_eq!(case.status.as_str(), case.text);
    }
}

#[test]
fn request_ids_differ() {
    assert_ne!(new_request_id(), new_request_id());
}

#[test]
fn boot_time_never_decreases() {
    let before = now_boot();
    let after = now_boot();
    assert!(after >= before);
    assert_eq!(BootTime::from_start(Duration::ZERO).since(after), Duration::ZERO);
}

#[test]
fn removing_a_node_moves_only_its_keys() {
    let nodes: Vec<String> = (0..9).map(|n| format!("entry-{n}")).collect();
    let owner = |key: &str, skip: usize| {
        let mut best = (0, usize::MAX);
        for (i, node) in nodes.iter().enumerate() {
            let weight = rendezvous_weight(key, node);
            if i != skip && weight > best.0 {
                best = (weight, i);
            }
        }
        best.1
    };
    for k in 0..500 {
        let key = format!("pool/{k}");
        let before = owner(&key, usize::MAX);
        let after = owner(&key, 3);
        assert!(before == after || before == 3, "{key} moved from {before} to {after}");
    }
}
