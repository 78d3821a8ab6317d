//! Requests that crash the engines that begin them, on real processes.
//!
//! Each engine closes all its connections and starts again when it begins a prompt with a certain text. The request must
//! not be tried at one engine after another, neither by itself nor by its caller's repetitions, and other requests of the
//! same customer must be served all the while.

use bytes::Bytes;
use celerytide_faults::{CallOutcome, Harness, HarnessOptions};
use celerytide_load::caller::{CHAT_PATH, CallerRequest};
use celerytide_standin::probe;
use http::Method;
use serde_json::json;

const ENGINES: usize = 8;
const DEADLY_TEXT: &str = "crash-text";
/// Engines that one request may crash.
const MAX_CRASHES_PER_REQUEST: usize = 2;
/// Engines that a content may crash: three until it is withheld, and one by the second attempt of the request under which
/// the second one crashed.
const MAX_CRASHES: usize = 4;
/// Times that a caller repeats its request.
const REPETITIONS: usize = 8;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    path: &'static str,
    stream: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "streamed chat",
        path: CHAT_PATH,
        stream: true,
    },
    Case {
        name: "buffered chat",
        path: CHAT_PATH,
        stream: false,
    },
    Case {
        name: "buffered completion",
        path: "/v1/completions",
        stream: false,
    },
];

fn start() -> Harness {
    let opts = HarnessOptions {
        engines: ENGINES,
        ..HarnessOptions::default()
    };
    let harness = Harness::start(&opts).expect("deployment");
    let fault = json!({ "kind": "deadly", "text": DEADLY_TEXT }).to_string();
    for engine in &harness.fleet.engines {
        probe::set_fault(engine.process.addr(), &fault).expect("fault");
    }
    harness
}

async fn send(harness: &Harness, case: Case, entry: usize, id: &str, text: &str) -> CallOutcome {
    let body = json!({ "model": harness.model(), "max_tokens": 2, "stream": case.stream, "prompt": text });
    let req = CallerRequest {
        body: Bytes::from(body.to_string()),
        ..CallerRequest::plain(harness.entry(entry), &harness.key(), id, Method::POST, case.path)
    };
    harness.send(&req).await
}

fn crashes(harness: &Harness) -> usize {
    let engines = harness.fleet.engines.iter();
    let of = |addr| probe::get_json::<usize>(addr, "/__falls").expect("crashes");
    engines.map(|engine| of(engine.process.addr())).sum()
}

#[test]
fn a_request_that_crashes_engines_is_withheld_after_a_few() {
    for case in CASES {
        let harness = start();
        Harness::block_on(async {
            let name = case.name;
            let first = send(&harness, case, 0, "first", DEADLY_TEXT).await;
            assert_eq!(first.word, "unknown", "{name}: {}", first.cause);
            let of_one = crashes(&harness);
            assert!(
                of_one <= MAX_CRASHES_PER_REQUEST,
                "{name}: one request crashed {of_one}"
            );
            for i in 0..REPETITIONS {
                send(&harness, case, i % 2, &format!("again-{i}"), DEADLY_TEXT).await;
                let other = send(&harness, case, i % 2, &format!("other-{i}"), "harmless").await;
                assert!(other.is_done(), "{name}: another prompt: {}", other.cause);
            }
            let all = crashes(&harness);
            assert!(all <= MAX_CRASHES, "{name}: {all} crashes");
            for entry in 0..2 {
                let withheld = send(&harness, case, entry, &format!("last-{entry}"), DEADLY_TEXT).await;
                let told = (withheld.word.as_str(), withheld.cause.as_str());
                assert_eq!(told, ("not-run", "crashes-endpoints"), "{name}");
            }
        });
    }
}
