//! Tests of the commands that ask daemons.

mod daemon;
mod support;

use celerytide_cli::Exit;
use daemon::{Reply, daemon, nobody};
use serde_json::Value;
use support::run;

const ENTRY_STATUS: Reply = Reply {
    path: "/status",
    status: 200,
    body: r#"{"process":"entry","instance":"lima-a-1","incarnation":"00f3a51b22c4d7e9","zone":"lima-a","ready":true,
        "manifest":{"version":7,"digest":"abc","age_ms":1200,"source":"peer"},"list":{"version":9,"age_ms":80},
        "requests":{"running":3,"by_class":{"drafts":2}},"later\u001b[31m":[{"id":"x"},1]}"#,
};
const DISPATCH_STATUS: Reply = Reply {
    path: "/status",
    status: 200,
    body: r#"{"process":"dispatch","instance":"lima-a-1","incarnation":5,"zone":"lima-a","ready":true,
        "manifest":{"version":7,"digest":"abc","age_ms":900},"list":{"version":9,"age_ms":80},
        "pools":[{"id":"redactor-llm/0","endpoints":[{"id":"runner-01"},{"id":"runner-02"}],"tiers":{"1":[]}},
        {"id":"tramite-app/0","endpoints":[]}],"orders":[]}"#,
};
const OLD_STATUS: Reply = Reply {
    path: "/status",
    status: 200,
    body: r#"{"process":"entry","ready":true,"manifest":{"version":6,"digest":"abb"}}"#,
};
const NOT_READY: Reply = Reply {
    path: "/status",
    status: 200,
    body: r#"{"process":"entry","ready":false}"#,
};
const BROKEN: Reply = Reply {
    path: "/status",
    status: 200,
    body: "<html>",
};
const FAILING: Reply = Reply {
    path: "/status",
    status: 500,
    body: "{}",
};

struct StatusCase {
    name: &'static str,
    replies: &'static [Reply],
    exit: Exit,
    out: &'static str,
    err: &'static str,
}

const STATUS_CASES: [StatusCase; 6] = [
    StatusCase {
        name: "both processes of an instance",
        replies: &[ENTRY_STATUS, DISPATCH_STATUS],
        exit: Exit::Fine,
        out: "\
A0: entry on lima-a-1, zone lima-a, ready
  incarnation: 00f3a51b22c4d7e9
  manifest: version 7, digest abc, age 1200 ms
    source: peer
  list: version 9, age 80 ms
  later\u{fffd}[31m:
    - id x
    - 1
  requests:
    by_class: drafts 2
    running: 3
A1: dispatch on lima-a-1, zone lima-a, ready
  incarnation: 5
  manifest: version 7, digest abc, age 900 ms
  list: version 9, age 80 ms
  orders: none
  pools:
    - endpoints:
        - id runner-01
        - id runner-02
      id: redactor-llm/0
      tiers: 1 none
    - endpoints none, id tramite-app/0
",
        err: "",
    },
    StatusCase {
        name: "two manifests",
        replies: &[DISPATCH_STATUS, OLD_STATUS],
        exit: Exit::Findings,
        out: "\
A0: dispatch on lima-a-1, zone lima-a, ready
  incarnation: 5
  manifest: version 7, digest abc, age 900 ms
  list: version 9, age 80 ms
  orders: none
  pools:
    - endpoints:
        - id runner-01
        - id runner-02
      id: redactor-llm/0
      tiers: 1 none
    - endpoints none, id tramite-app/0
A1: entry on , zone , ready
  incarnation: -
  manifest: version 6, digest abb
  list: none
the manifests in force differ
",
        err: "",
    },
    StatusCase {
        name: "not ready",
        replies: &[NOT_READY],
        exit: Exit::Findings,
        out: "A0: entry on , zone , not ready\n  incarnation: -\n  manifest: none\n  list: none\n",
        err: "",
    },
    StatusCase {
        name: "not JSON",
        replies: &[BROKEN],
        exit: Exit::Unreachable,
        out: "",
        err: "A0: the answer can't be read: expected value at line 1 column 1\n",
    },
    StatusCase {
        name: "failing",
        replies: &[FAILING],
        exit: Exit::Unreachable,
        out: "",
        err: "A0: the answer has status 500 Internal Server Error\n",
    },
    StatusCase {
        name: "no such page",
        replies: &[AUDIT],
        exit: Exit::Unreachable,
        out: "",
        err: "A0: unknown there\n",
    },
];

const AUDIT: Reply = Reply {
    path: "/audit?since=0",
    status: 200,
    body: r#"[{"seq":1,"at_unix_ms":1798761600000,"kind":"manifest","subject":"version 7","cause":"applied","version":7},
        {"seq":2,"at_unix_ms":1798761600250,"kind":"zone","subject":"lima-b","cause":"out","version":7,"by":"watch"}]"#,
};
const AUDIT_LATER: Reply = Reply {
    path: "/audit?since=2",
    status: 200,
    body: "[]",
};

const EXPLAIN_ENTRY: Reply = Reply {
    path: "/explain/req-1",
    status: 200,
    body: r#"{"steps":[{"at_unix_ms":1798761600000,"step":"accepted","detail":"class drafts"},
        {"at_unix_ms":1798761600020,"step":"done","detail":null}],"word":"done","cause":"","class":"drafts"}"#,
};
const EXPLAIN_DISPATCH: Reply = Reply {
    path: "/explain/req-1",
    status: 200,
    body: r#"{"request":"req-1","steps":[{"at_unix_ms":1798761600010,"step":"granted","detail":{"endpoint":"runner-01"}}]}"#,
};

#[test]
fn status_prints_every_field_and_tells_disagreement() {
    for case in STATUS_CASES {
        let addresses: Vec<String> = case
            .replies
            .iter()
            .map(|reply| daemon(std::slice::from_ref(reply)).to_string())
            .collect();
        let mut args = vec!["status"];
        args.extend(addresses.iter().map(String::as_str));
        let ran = run(&args);
        let named = |text: &str| {
            let numbered = addresses.iter().enumerate();
            numbered.fold(text.to_owned(), |text, (i, address)| {
                text.replace(address, &format!("A{i}"))
            })
        };
        assert_eq!(named(&ran.out), case.out, "{}", case.name);
        assert_eq!(named(&ran.err), case.err, "{}", case.name);
        assert_eq!(ran.exit, case.exit, "{}", case.name);
    }
}

#[test]
fn status_shows_who_answers_beside_who_does_not() {
    let (there, gone) = (daemon(&[DISPATCH_STATUS]).to_string(), nobody().to_string());
    let ran = run(&["status", &gone, &there]);
    assert!(ran.out.starts_with(&format!("{there}: dispatch")), "{}", ran.out);
    assert!(ran.err.starts_with(&format!("{gone}: no answer")), "{}", ran.err);
    assert_eq!(ran.exit, Exit::Unreachable);
}

#[test]
fn status_as_json_keeps_what_the_daemon_said() {
    let (there, gone) = (daemon(&[ENTRY_STATUS]).to_string(), nobody().to_string());
    let ran = run(&["status", "--json", &there, &gone]);
    let answers: Value = serde_json::from_str(&ran.out).expect("JSON");
    let said: Value = serde_json::from_str(ENTRY_STATUS.body).expect("JSON");
    assert_eq!(answers[0]["status"], said);
    assert_eq!(answers[1]["address"], gone);
    assert!(answers[1]["error"].is_string());
    assert_eq!(ran.exit, Exit::Unreachable);
}

#[test]
fn audit_prints_changes() {
    let address = daemon(&[AUDIT, AUDIT_LATER]).to_string();
    let ran = run(&["audit", &address, "--follow", "no"]);
    let want = "\
2027-01-01T00:00:00.000Z #1 manifest version 7: applied (version 7)
2027-01-01T00:00:00.250Z #2 zone lima-b: out (version 7) [by watch]
";
    assert_eq!(ran.out, want);
    assert_eq!(ran.exit, Exit::Fine);
    let later = run(&["audit", &address, "--since", "2"]);
    assert_eq!((later.out.as_str(), later.exit), ("", Exit::Fine));
    let json = run(&["audit", &address, "--json"]);
    let said: Value = serde_json::from_str(AUDIT.body).expect("JSON");
    assert_eq!(serde_json::from_str::<Value>(&json.out).expect("JSON"), said);
}

#[test]
fn audit_tells_a_silent_daemon() {
    let ran = run(&["audit", &nobody().to_string()]);
    assert_eq!(ran.exit, Exit::Unreachable);
    assert!(ran.err.contains("no answer"), "{}", ran.err);
}

#[test]
fn following_prints_what_is_new_until_the_daemon_is_gone() {
    const FAILED: Reply = Reply {
        path: "/audit?since=2",
        status: 503,
        body: "[]",
    };
    let address = daemon(&[DISPATCH_STATUS, AUDIT, FAILED]).to_string();
    let ran = run(&["audit", &address, "--follow", "yes", "--json"]);
    assert_eq!(ran.out.lines().count(), 2, "{}", ran.out);
    assert!(ran.err.contains("status 503"), "{}", ran.err);
    assert_eq!(ran.exit, Exit::Unreachable);
}

#[test]
fn explain_orders_the_steps_of_all_daemons() {
    let entry = daemon(&[EXPLAIN_ENTRY]).to_string();
    let dispatch = daemon(&[EXPLAIN_DISPATCH]).to_string();
    let ran = run(&["explain", "req-1", "--at", &entry, &dispatch]);
    let want = format!(
        "\
req-1 at {entry}: done
  class: drafts
req-1 at {dispatch}: no final word yet
  2027-01-01T00:00:00.000Z {entry} accepted: class drafts
  2027-01-01T00:00:00.010Z {dispatch} granted: endpoint runner-01
  2027-01-01T00:00:00.020Z {entry} done
"
    );
    assert_eq!(ran.out, want);
    assert_eq!(ran.exit, Exit::Fine);
    let json = run(&["explain", "req-1", "--at", &entry, "--json"]);
    let report: Value = serde_json::from_str(&json.out).expect("JSON");
    assert_eq!(report["request"], "req-1");
    assert_eq!(report["answers"][0]["explanation"]["word"], "done");
}

#[test]
fn following_a_daemon_that_started_anew_begins_again() {
    const SECOND_LIFE: Reply = Reply {
        path: "/status",
        status: 200,
        body: r#"{"incarnation":"00f3a51b22c4d7ea"}"#,
    };
    const FIRST_CHANGES: Reply = Reply {
        path: "/audit?since=0",
        status: 200,
        body: r#"[{"seq":4}]"#,
    };
    const SECOND_CHANGES: Reply = Reply {
        path: "/audit?since=0",
        status: 200,
        body: r#"[{"seq":1}]"#,
    };
    let address = daemon(&[DISPATCH_STATUS, SECOND_LIFE, FIRST_CHANGES, SECOND_CHANGES]).to_string();
    let ran = run(&["audit", &address, "--follow", "yes", "--json"]);
    let seqs: Vec<Value> = ran
        .out
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("JSON"))
        .collect();
    let seqs: Vec<u64> = seqs.iter().filter_map(|change| change["seq"].as_u64()).collect();
    assert_eq!(seqs, [4, 1]);
    assert_eq!(ran.exit, Exit::Unreachable);
}

struct ExplainCase {
    name: &'static str,
    request: &'static str,
    /// Answers of the daemons asked; none for an address where nobody listens.
    asked: &'static [Option<&'static [Reply]>],
    exit: Exit,
}

const EXPLAIN_CASES: [ExplainCase; 6] = [
    ExplainCase {
        name: "known and gone",
        request: "req-1",
        asked: &[None, Some(&[EXPLAIN_ENTRY])],
        exit: Exit::Fine,
    },
    ExplainCase {
        name: "unknown everywhere",
        request: "req-2",
        asked: &[Some(&[EXPLAIN_ENTRY]), Some(&[])],
        exit: Exit::Findings,
    },
    ExplainCase {
        name: "unknown or gone",
        request: "req-1",
        asked: &[Some(&[]), None],
        exit: Exit::Unreachable,
    },
    ExplainCase {
        name: "a path instead of an id",
        request: "../status",
        asked: &[Some(&[])],
        exit: Exit::Usage,
    },
    ExplainCase {
        name: "dots instead of an id",
        request: "..",
        asked: &[Some(&[])],
        exit: Exit::Usage,
    },
    ExplainCase {
        name: "an empty id",
        request: "",
        asked: &[Some(&[])],
        exit: Exit::Usage,
    },
];

#[test]
fn explain_tells_unknown_from_unreachable() {
    for case in EXPLAIN_CASES {
        let asked = case
            .asked
            .iter()
            .map(|replies| replies.map_or_else(nobody, daemon).to_string());
        let addresses: Vec<String> = asked.collect();
        let mut args = vec!["explain", case.request, "--at"];
        args.extend(addresses.iter().map(String::as_str));
        assert_eq!(run(&args).exit, case.exit, "{}", case.name);
    }
}
