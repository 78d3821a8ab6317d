//! Streams that break off while engines of several versions serve, on real processes.
//!
//! Two versions give different texts to one prompt. A stream that goes on at an engine of another version would be joined
//! from two texts. Engines name their version in each event. The stream may go on at an engine of its own version.

use std::collections::BTreeSet;
use std::io::Read;
use std::time::Duration;

use celerytide_faults::{Harness, HarnessOptions};
use celerytide_load::caller::CallerRequest;
use celerytide_standin::probe;
use serde_json::{Value, json};

/// Tokens after which each engine breaks its first stream off.
const TOKENS_BEFORE_CUT: usize = 3;
const TOKENS: usize = 20;
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// End of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

struct Case {
    name: &'static str,
    versions: [Option<&'static str>; 2],
    /// Whether both engines may serve the stream.
    may_join: bool,
}

const CASES: [Case; 4] = [
    Case {
        name: "two versions",
        versions: [Some("v1"), Some("v2")],
        may_join: false,
    },
    Case {
        name: "one names none",
        versions: [Some("v1"), None],
        may_join: false,
    },
    Case {
        name: "one version",
        versions: [Some("v1"), Some("v1")],
        may_join: true,
    },
    Case {
        name: "none is named",
        versions: [None, None],
        may_join: true,
    },
];

fn start(case: &Case) -> Harness {
    let harness = Harness::start(&HarnessOptions::default()).expect("deployment");
    for (engine, version) in harness.fleet.engines.iter().zip(case.versions) {
        let addr = engine.process.addr();
        let cut = json!({ "kind": "cut-mid-answer", "after": TOKENS_BEFORE_CUT });
        probe::set_fault(addr, &cut.to_string()).expect("fault");
        if let Some(name) = version {
            let version = json!({ "kind": "version", "name": name });
            probe::set_fault(addr, &version.to_string()).expect("version");
        }
    }
    harness
}

/// The events of a stream up to its end.
fn read_events(harness: &Harness, id: &str) -> Vec<String> {
    let req = CallerRequest::chat(
        harness.entry(0),
        &harness.key(),
        id,
        &harness.model(),
        "hello",
        Some(TOKENS),
    );
    let mut stream = harness.hold(&req).expect("entry");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
    let (mut bytes, mut buf) = (Vec::new(), [0; 4096]);
    while !bytes.ends_with(LAST_CHUNK) {
        let n = stream.read(&mut buf).expect("the stream ends");
        assert_ne!(n, 0, "cut");
        bytes.extend_from_slice(&buf[..n]);
    }
    let text = String::from_utf8_lossy(&bytes);
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    events.map(str::to_owned).collect()
}

/// The versions that events with text name.
fn versions(events: &[String]) -> BTreeSet<String> {
    let events = events.iter().filter(|event| event.contains("\"content\":\"w"));
    let version = |event: &String| -> String {
        let event: Value = serde_json::from_str(event).expect("event");
        event["system_fingerprint"].as_str().unwrap_or_default().to_owned()
    };
    events.map(version).collect()
}

#[test]
fn a_stream_is_not_joined_from_two_versions() {
    for case in CASES {
        let harness = start(&case);
        let name = case.name;
        let events = read_events(&harness, "broken");
        assert_eq!(versions(&events).len(), 1, "{name}: {events:?}");
        let is_done = events.last().is_some_and(|event| event == "[DONE]");
        assert!(is_done || !case.may_join, "{name}: {events:?}");
        Harness::block_on(async {
            let after = harness.chat(0, "after", TOKENS).await;
            assert!(after.is_done(), "{name}: {after:?}");
        });
    }
}
