//! The whole path on real processes: what a request sees, and what the processes are.

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
        let (outcome, ()) = futures::join!(join_all(calls), watched);
        assert!(outcome.iter().all(|t| t.is_done()), "{outcome:?}");
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

struct BadCase {
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
fn bad_requests_get_a_clear_answer_and_run_nothing() {
    let chat_body = r#"{"model":"demo-model","messages":[{"role":"user","content":"x"}]}"#;
    let cases = [
        BadCase {
            name: "no key",
            method: "POST",
            path: CHAT,
            headers: &[],
            body: chat_body,
            status: 401,
            cause: "missing-key",
        },
        BadCase {
            name: "unknown key",
            method: "POST",
            path: CHAT,
            headers: &[("authorization", "Bearer nobody")],
            body: chat_body,
            status: 401,
            cause: "unknown-key",
        },
        BadCase {
            name: "not JSON",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: "hello",
            status: 400,
            cause: "bad-json",
        },
        BadCase {
            name: "JSON, no object",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: "[1]",
            status: 400,
            cause: "bad-json",
        },
        BadCase {
            name: "no model",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: r#"{"messages":[]}"#,
            status: 400,
            cause: "missing-field",
        },
        BadCase {
            name: "no messages",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: r#"{"model":"demo-model"}"#,
            status: 400,
            cause: "missing-field",
        },
        BadCase {
            name: "unknown model",
            method: "POST",
            path: CHAT,
            headers: &[KEY],
            body: r#"{"model":"nothing","messages":[]}"#,
            status: 404,
            cause: "unknown-model",
        },
        BadCase {
            name: "unknown class",
            method: "POST",
            path: CHAT,
            headers: &[KEY, ("celerytide-class", "nothing")],
            body: chat_body,
            status: 400,
            cause: "unknown-class",
        },
        BadCase {
            name: "wrong method",
            method: "GET",
            path: CHAT,
            headers: &[KEY],
            body: "",
            status: 405,
            cause: "method-not-allowed",
        },
        BadCase {
            name: "unknown path",
            method: "GET",
            path: "/nothing",
            headers: &[KEY],
            body: "",
            status: 404,
            cause: "unknown-path",
        },
        BadCase {
            name: "unknown service",
            method: "GET",
            path: "/services/none/x",
            headers: &[KEY],
            body: "",
            status: 404,
            cause: "unknown-service",
        },
        BadCase {
            name: "protected without a ticket",
            method: "POST",
            path: "/services/forms/submit",
            headers: &[KEY],
            body: "{}",
            status: 428,
            cause: "ticket-required",
        },
        BadCase {
            name: "plain key on an endpoint that doesn't refuse duplicates",
            method: "POST",
            path: "/services/forms/submit",
            headers: &[KEY, ("idempotency-key", "k1")],
            body: "{}",
            status: 428,
            cause: "ticket-required",
        },
        BadCase {
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
fn a_caller_that_leaves_cancels_the_engines_work() {
    let harness = Harness::start(&HarnessOptions {
        decode_ms: 20.0,
        ..HarnessOptions::default()
    })
    .expect("deployment");
    Harness::block_on(async {
        let ask = CallerRequest::chat(
            harness.entry(0),
            &harness.key(),
            "leaver",
            &harness.model(),
            "hello",
            Some(2000),
        );
        let still_held = monoio::time::timeout(Duration::from_millis(300), harness.send(&ask)).await;
        assert!(still_held.is_err(), "the answer takes longer than that");
        let engines = harness.fleet.engines.iter().map(|e| e.process.addr());
        let engines: Vec<_> = engines.collect();
        let idle = || {
            engines.iter().all(|addr| {
                let load: serde_json::Value = probe::get_json(*addr, "/load").unwrap_or_default();
                load["running"] == 0
            })
        };
        assert!(
            wait_until(Duration::from_secs(3), idle).await,
            "an engine goes on with the cancelled call"
        );
        let held = || harness.entry_status(0)["requests"]["permits_held"] == 0;
        assert!(
            wait_until(Duration::from_secs(3), held).await,
            "the permit is still held"
        );
    });
}
