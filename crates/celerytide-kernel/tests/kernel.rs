//! Tests of the registry, audit log, request traces and readiness.

use std::rc::Rc;

use celerytide_kernel::audit::{Audit, Kind};
use celerytide_kernel::readiness::Readiness;
use celerytide_kernel::trace::TraceLog;
use celerytide_kernel::{Error, Kernel};
use celerytide_types::ExecutionStatus;

#[test]
fn services_are_found_by_name_and_type() {
    let kernel = Kernel::new();
    kernel.register("audit", Rc::new(Audit::default())).expect("free name");
    assert!(kernel.find::<Audit>("audit").is_ok());
    assert_eq!(
        kernel.find::<Readiness>("audit").err(),
        Some(Error::OtherType { name: "audit" })
    );
    assert_eq!(
        kernel.find::<Readiness>("ready").err(),
        Some(Error::Absent { name: "ready" })
    );
    let duplicate = kernel.register("audit", Rc::new(Audit::default()));
    assert_eq!(duplicate.err(), Some(Error::Taken { name: "audit" }));
}

#[test]
fn audit_keeps_the_last_records_in_order() {
    let audit = Audit::with_capacity(3);
    for version in 1..=5 {
        audit.record(Kind::ConfigurationApplied, "manifest", "published", version);
    }
    let versions: Vec<u64> = audit.since(0).iter().map(|r| r.version).collect();
    assert_eq!(versions, [3, 4, 5]);
    assert_eq!(audit.since(4).len(), 1);
}

#[test]
fn the_trace_log_is_bounded_and_keeps_the_outcome() {
    let traces = TraceLog::with_capacity(2);
    for id in ["a", "b", "c"] {
        traces.add_step(id, "accepted", "");
        traces.set_outcome(id, ExecutionStatus::Done, "answered");
    }
    assert!(traces.get("a").is_none());
    assert_eq!(traces.get("c").and_then(|s| s.status), Some(ExecutionStatus::Done));
}

#[test]
fn a_process_is_ready_only_if_every_condition_holds() {
    let ready = Readiness::default();
    ready.set("manifest", false);
    ready.set("listening", true);
    assert!(!ready.is_ready());
    assert_eq!(ready.missing(), ["manifest"]);
    ready.set("manifest", true);
    assert!(ready.is_ready());
}
