//! The request path on real processes: valid and invalid requests, cancellation, and properties of processes and sources.

use std::fs;
use std::time::Duration;

use celerytide_faults::{Harness, HarnessOptions, wait_until};
use celerytide_load::caller::CallerRequest;
use celerytide_standin::probe;
use futures::future::join_all;
use http::Method;

#[test]
fn requests_are_served_through_every_entry() {
    let harness = Harness::start(&HarnessOptions::default()).expect("deployment");
    Harness::block_on(async {
        for entry in 0..2 {
            let outcome = harness.chat(entry, &format!("chat-{entry}"), 20).await;
            assert!(outcome.is_done(), "{outcome:?}");
            assert_eq!((outcome.tokens, outcome.word.as_str()), (20, "done"));
            let outcome = harness
                .plain(entry, &format!("plain-{entry}"), Method::GET, "/services/forms/hello")
                .await;
            assert_eq!((outcome.status, outcome.word.as_str()), (200, "done"), "{outcome:?}");
        }
    });
}

#[test]
fn daemons_use_epoll_and_have_no_children() {
    let harness = Harness::start(&HarnessOptions::default()).expect("deployment");
    Harness::block_on(async {
        let calls = (0..16).map(|i| {
            let request = format!("load-{i}");
            let harness = &harness;
            async move { harness.chat(i % 2, &request, 40).await }
        });
        let watched = async {
            monoio::time::sleep(Duration::from_millis(50)).await;
            for instance in &harness.fleet.instances {
                for pid in [instance.entry.pid(), instance.dispatch.pid()] {
                    check_process(pid);
                }
            }
        };
        let (outcomes, ()) = futures::join!(join_all(calls), watched);
        assert!(outcomes.iter().all(|t| t.is_done()), "{outcomes:?}");
    });
}

fn check_process(pid: u32) {
    let mut epoll = 0;
    for entry in fs::read_dir(format!("/proc/{pid}/fd")).expect("descriptors") {
        let path = entry.expect("descriptor").path();
        let target = fs::read_link(&path)
            .map(|t| t.display().to_string())
            .unwrap_or_default();
        assert!(!target.contains("io_uring"), "pid {pid}: {target}");
        epoll += usize::from(target.contains("eventpoll"));
    }
    assert!(epoll > 0, "pid {pid} has no epoll descriptor");
    for task in fs::read_dir(format!("/proc/{pid}/task")).expect("tasks") {
        let children = task.expect("task").path().join("children");
        let children = fs::read_to_string(children).unwrap_or_default();
        assert_eq!(children.trim(), "", "pid {pid} has children");
    }
}

#[test]
fn no_dyn_on_the_request_path() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
    for name in ["entry", "dispatch", "http", "wire", "policy", "once"] {
        let src = format!("{root}/celerytide-{name}/src");
        check_no_dyn(src.as_ref());
    }
}

fn check_no_dyn(folder: &std::path::Path) {
    for entry in fs::read_dir(folder).expect("folder") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            check_no_dyn(&path);
            continue;
        }
        let text = fs::read_to_string(&path).expect("source");
        let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
        for line in code {
            let found = line
                .split(|c: char| !c.is_alphanumeric() && c != '_')
                .any(|word| word == "dyn");
            assert!(!found, "{}: {line}", path.display());
        }
    }
}

struct BadRequestCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    cause: &'static str,
}

const KEY: (&str, &str) = ("authorization", "Bearer key-acme");
const CHAT: &str = "/v1/chat/completions";

#[test]
fn bad_requests_get_their_error_and_run_nothing() {
    let chat_body = r#"{"model":"demo-model","messages":[{"role":"user","content":"x"}]}"#;
    let cases = [
        BadRequestCase {
            name: "no key",
            method: "POST",
            path: CHAT,
            headers: &[],
            body: chat_body,
            status: 401,
            cause: "missing-key",
        },
        BadRequestCase {
            name: "unknown key",
            method: "POST",
            path: CHAT,
            headers: &[("authorization", "Bearer nobody")],
            body: chat_body,
            status: 401,
            cause: "unknown-key",
        },
        BadRequestCase {
            name: "not JSON",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: "hello",
            status: 400,
            cause: "bad-json",
        },
        BadRequestCase {
            name: "JSON, no object",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: "[1]",
            status: 400,
            cause: "bad-json",
        },
        BadRequestCase {
            name: "no model",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: r#"{"messages":[]}"#,
            status: 400,
            cause: "missing-field",
        },
        BadRequestCase {
            name: "no messages",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: r#"{"model":"demo-model"}"#,
            status: 400,
            cause: "missing-field",
        },
        BadRequestCase {
            name: "unknown model",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: r#"{"model":"nothing","messages":[]}"#,
            status: 404,
            cause: "unknown-model",
        },
        BadRequestCase {
            name: "unknown class",
            method: "POST",
            path: CHAT,
            headers: &[KEY, ("celerytide-class", "nothing")],
            body: chat_body,
            status: 400,
            cause: "unknown-class",
        },
        BadRequestCase {
            name: "wrong method",
            method: "GET",
            path: CHAT,
            headers: &[KEY],
            body: "",
            status: 405,
            cause: "method-not-allowed",
        },
        BadRequestCase {
            name: "unknown path",
            method: "GET",
            path: "/nothing",
            headers: &[KEY],
            body: "",
            status: 404,
            cause: "unknown-path",
        },
        BadRequestCase {
            name: "unknown service",
            method: "GET",
            path: "/services/none/x",
            headers: &[KEY],
            body: "",
            status: 404,
            cause: "unknown-service",
        },
        BadRequestCase {
            name: "protected without a ticket",
            method: "POST",
            path: "/services/forms/submit",
            headers: &[KEY],
            body: "{}",
            status: 428,
            cause: "ticket-required",
        },
        BadRequestCase {
            name: "plain key on an endpoint that doesn't refuse duplicates",
            method: "POST",
            path: "/services/forms/submit",
            headers: &[KEY, ("idempotency-key", "k1")],
            body: "{}",
            status: 428,
            cause: "ticket-required",
        },
        BadRequestCase {
            name: "no ticket at all",
            method: "POST",
            path: "/services/forms/submit",
            headers: &[KEY, ("celerytide-ticket", "nonsense")],
            body: "{}",
            status: 400,
            cause: "bad-ticket",
        },
    ];
    let harness = Harness::start(&HarnessOptions {
        instances: 1,
        ..HarnessOptions::default()
    })
    .expect("deployment");
    for case in cases {
        let reply = probe::send(
            harness.entry(0),
            case.method,
            case.path,
            case.headers,
            case.body.as_bytes(),
        );
        let reply = reply.expect(case.name);
        assert_eq!(reply.status, case.status, "{}: {}", case.name, reply.text());
        assert_eq!(reply.header("celerytide-word"), Some("not-run"), "{}", case.name);
        assert_eq!(reply.header("celerytide-cause"), Some(case.cause), "{}", case.name);
        let body: serde_json::Value = serde_json::from_slice(&reply.body).expect(case.name);
        assert_eq!(body["error"]["code"], case.cause, "{}", case.name);
    }
    assert_eq!(harness.runs(), []);
}

#[test]
fn a_disconnected_caller_cancels_the_engines_work() {
    let harness = Harness::start(&HarnessOptions {
        decode_ms: 20.0,
        ..HarnessOptions::default()
    })
    .expect("deployment");
    Harness::block_on(async {
        let req = CallerRequest::chat(
            harness.entry(0),
            &harness.key(),
            "leaver",
            &harness.model(),
            "hello",
            Some(2000),
        );
        let result = monoio::time::timeout(Duration::from_millis(300), harness.send(&req)).await;
        assert!(result.is_err(), "the response takes longer than that");
        let engines = harness.fleet.engines.iter().map(|e| e.process.addr());
        let engines: Vec<_> = engines.collect();
        let is_idle = || {
            engines.iter().all(|addr| {
                let load: serde_json::Value = probe::get_json(*addr, "/load").unwrap_or_default();
                load["running"] == 0
            })
        };
        assert!(
            wait_until(Duration::from_secs(3), is_idle).await,
            "an engine goes on with the cancelled call"
        );
        let is_released = || harness.entry_status(0)["requests"]["permits_held"] == 0;
        assert!(
            wait_until(Duration::from_secs(3), is_released).await,
            "the permit is still held"
        );
    });
}
