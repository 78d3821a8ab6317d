//! Tests of the commands that query daemons: `status`, `audit` and `explain`.

mod fake_daemon;
mod support;

use celerytide_cli::Exit;
use fake_daemon::{CannedResponse, start_fake_daemon, unused_address};
use serde_json::Value;
use support::run_command;

const ENTRY_STATUS: CannedResponse = CannedResponse {
    path: "/status",
    status: 200,
    body: r#"{"process":"entry","instance":"lima-a-1","incarnation":"00f3a51b22c4d7e9","zone":"lima-a","ready":true,
        "manifest":{"version":7,"digest":"abc","age_ms":1200,"source":"peer"},"list":{"version":9,"age_ms":80},
        "requests":{"running":3,"by_class":{"drafts":2}},"later\u001b[31m":[{"id":"x"},1]}"#,
};
const DISPATCH_STATUS: CannedResponse = CannedResponse {
    path: "/status",
    status: 200,
    body: r#"{"process":"dispatch","instance":"lima-a-1","incarnation":5,"zone":"lima-a","ready":true,
        "manifest":{"version":7,"digest":"abc","age_ms":900},"list":{"version":9,"age_ms":80},
        "pools":[{"id":"redactor-llm/0","endpoints":[{"id":"runner-01"},{"id":"runner-02"}],"tiers":{"1":[]}},
        {"id":"tramite-app/0","endpoints":[]}],"orders":[]}"#,
};
const OLD_STATUS: CannedResponse = CannedResponse {
    path: "/status",
    status: 200,
    body: r#"{"process":"entry","ready":true,"manifest":{"version":6,"digest":"abb"}}"#,
};
const NOT_READY: CannedResponse = CannedResponse {
    path: "/status",
    status: 200,
    body: r#"{"process":"entry","ready":false}"#,
};
const NOT_JSON: CannedResponse = CannedResponse {
    path: "/status",
    status: 200,
    body: "<html>",
};
const NO_STATUS: CannedResponse = CannedResponse {
    path: "/status",
    status: 600,
    body: "{}",
};
const FAILING: CannedResponse = CannedResponse {
    path: "/status",
    status: 500,
    body: "{}",
};

struct StatusCase {
    name: &'static str,
    responses: &'static [CannedResponse],
    exit: Exit,
    out: &'static str,
    err: &'static str,
}

const STATUS_CASES: [StatusCase; 7] = [
    StatusCase {
        name: "both processes of an instance",
        responses: &[ENTRY_STATUS, DISPATCH_STATUS],
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
        name: "different manifests in force",
        responses: &[DISPATCH_STATUS, OLD_STATUS],
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
        responses: &[NOT_READY],
        exit: Exit::Findings,
        out: "A0: entry on , zone , not ready\n  incarnation: -\n  manifest: none\n  list: none\n",
        err: "",
    },
    StatusCase {
        name: "response is not JSON",
        responses: &[NOT_JSON],
        exit: Exit::Unreachable,
        out: "",
        err: "A0: the answer can't be read: expected value at line 1 column 1\n",
    },
    StatusCase {
        name: "response has status 600",
        responses: &[NO_STATUS],
        exit: Exit::Unreachable,
        out: "",
        err: "A0: no answer: request failed (Written): the status is outside 100 to 599\n",
    },
    StatusCase {
        name: "response has status 500",
        responses: &[FAILING],
        exit: Exit::Unreachable,
        out: "",
        err: "A0: the answer has status 500 Internal Server Error\n",
    },
    StatusCase {
        name: "response has status 404",
        responses: &[AUDIT],
        exit: Exit::Unreachable,
        out: "",
        err: "A0: unknown there\n",
    },
];

const AUDIT: CannedResponse = CannedResponse {
    path: "/audit?since=0",
    status: 200,
    body: r#"[{"seq":1,"at_unix_ms":1798761600000,"kind":"manifest","subject":"version 7","cause":"applied","version":7},
        {"seq":2,"at_unix_ms":1798761600250,"kind":"zone","subject":"lima-b","cause":"out","version":7,"by":"watch"}]"#,
};
const AUDIT_LATER: CannedResponse = CannedResponse {
    path: "/audit?since=2",
    status: 200,
    body: "[]",
};

const EXPLAIN_ENTRY: CannedResponse = CannedResponse {
    path: "/explain/req-1",
    status: 200,
    body: r#"{"steps":[{"at_unix_ms":1798761600000,"step":"accepted","detail":"class drafts"},
        {"at_unix_ms":1798761600020,"step":"done","detail":null}],"word":"done","cause":"","class":"drafts"}"#,
};
const EXPLAIN_DISPATCH: CannedResponse = CannedResponse {
    path: "/explain/req-1",
    status: 200,
    body: r#"{"request":"req-1","steps":[{"at_unix_ms":1798761600010,"step":"granted","detail":{"endpoint":"runner-01"}}]}"#,
};

#[test]
fn status_prints_every_field_and_reports_different_manifests() {
    for case in STATUS_CASES {
        let addresses: Vec<String> = case
            .responses
            .iter()
            .map(|response| start_fake_daemon(std::slice::from_ref(response)).to_string())
            .collect();
        let mut args = vec!["status"];
        args.extend(addresses.iter().map(String::as_str));
        let output = run_command(&args);
        let with_placeholders = |text: &str| {
            let numbered = addresses.iter().enumerate();
            numbered.fold(text.to_owned(), |text, (i, address)| {
                text.replace(address, &format!("A{i}"))
            })
        };
        assert_eq!(with_placeholders(&output.out), case.out, "{}", case.name);
        assert_eq!(with_placeholders(&output.err), case.err, "{}", case.name);
        assert_eq!(output.exit, case.exit, "{}", case.name);
    }
}

#[test]
fn status_prints_the_daemons_that_respond_when_another_does_not() {
    let (running, stopped) = (
        start_fake_daemon(&[DISPATCH_STATUS]).to_string(),
        unused_address().to_string(),
    );
    let output = run_command(&["status", &stopped, &running]);
    assert!(
        output.out.starts_with(&format!("{running}: dispatch")),
        "{}",
        output.out
    );
    assert!(
        output.err.starts_with(&format!("{stopped}: no answer")),
        "{}",
        output.err
    );
    assert_eq!(output.exit, Exit::Unreachable);
}

#[test]
fn status_as_json_keeps_all_fields_of_the_daemon() {
    let (running, stopped) = (
        start_fake_daemon(&[ENTRY_STATUS]).to_string(),
        unused_address().to_string(),
    );
    let output = run_command(&["status", "--json", &running, &stopped]);
    let answers: Value = serde_json::from_str(&output.out).expect("JSON");
    let sent: Value = serde_json::from_str(ENTRY_STATUS.body).expect("JSON");
    assert_eq!(answers[0]["status"], sent);
    assert_eq!(answers[1]["address"], stopped);
    assert!(answers[1]["error"].is_string());
    assert_eq!(output.exit, Exit::Unreachable);
}

#[test]
fn audit_prints_the_changes_after_a_number() {
    let address = start_fake_daemon(&[AUDIT, AUDIT_LATER]).to_string();
    let output = run_command(&["audit", &address, "--follow", "no"]);
    let want = "\
2027-01-01T00:00:00.000Z #1 manifest version 7: applied (version 7)
2027-01-01T00:00:00.250Z #2 zone lima-b: out (version 7) [by watch]
";
    assert_eq!(output.out, want);
    assert_eq!(output.exit, Exit::Fine);
    let later = run_command(&["audit", &address, "--since", "2"]);
    assert_eq!((later.out.as_str(), later.exit), ("", Exit::Fine));
    let json = run_command(&["audit", &address, "--json"]);
    let sent: Value = serde_json::from_str(AUDIT.body).expect("JSON");
    assert_eq!(serde_json::from_str::<Value>(&json.out).expect("JSON"), sent);
}

#[test]
fn audit_reports_an_unreachable_daemon() {
    let output = run_command(&["audit", &unused_address().to_string()]);
    assert_eq!(output.exit, Exit::Unreachable);
    assert!(output.err.contains("no answer"), "{}", output.err);
}

#[test]
fn audit_follow_prints_new_changes_until_the_daemon_fails() {
    const FAILED: CannedResponse = CannedResponse {
        path: "/audit?since=2",
        status: 503,
        body: "[]",
    };
    let address = start_fake_daemon(&[DISPATCH_STATUS, AUDIT, FAILED]).to_string();
    let output = run_command(&["audit", &address, "--follow", "yes", "--json"]);
    assert_eq!(output.out.lines().count(), 2, "{}", output.out);
    assert!(output.err.contains("status 503"), "{}", output.err);
    assert_eq!(output.exit, Exit::Unreachable);
}

#[test]
fn explain_merges_the_steps_of_all_daemons_by_time() {
    let entry = start_fake_daemon(&[EXPLAIN_ENTRY]).to_string();
    let dispatch = start_fake_daemon(&[EXPLAIN_DISPATCH]).to_string();
    let output = run_command(&["explain", "req-1", "--at", &entry, &dispatch]);
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
    assert_eq!(output.out, want);
    assert_eq!(output.exit, Exit::Fine);
    let json = run_command(&["explain", "req-1", "--at", &entry, "--json"]);
    let report: Value = serde_json::from_str(&json.out).expect("JSON");
    assert_eq!(report["request"], "req-1");
    assert_eq!(report["answers"][0]["explanation"]["word"], "done");
}

#[test]
fn audit_follow_starts_over_after_a_restart() {
    const RESTARTED_STATUS: CannedResponse = CannedResponse {
        path: "/status",
        status: 200,
        body: r#"{"incarnation":"00f3a51b22c4d7ea"}"#,
    };
    const FIRST_CHANGES: CannedResponse = CannedResponse {
        path: "/audit?since=0",
        status: 200,
        body: r#"[{"seq":4}]"#,
    };
    const SECOND_CHANGES: CannedResponse = CannedResponse {
        path: "/audit?since=0",
        status: 200,
        body: r#"[{"seq":1}]"#,
    };
    let address = start_fake_daemon(&[DISPATCH_STATUS, RESTARTED_STATUS, FIRST_CHANGES, SECOND_CHANGES]).to_string();
    let output = run_command(&["audit", &address, "--follow", "yes", "--json"]);
    let seqs: Vec<Value> = output
        .out
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("JSON"))
        .collect();
    let seqs: Vec<u64> = seqs.iter().filter_map(|change| change["seq"].as_u64()).collect();
    assert_eq!(seqs, [4, 1]);
    assert_eq!(output.exit, Exit::Unreachable);
}

struct ExplainCase {
    name: &'static str,
    request: &'static str,
    /// Responses of each daemon; `None` for an address on which nothing listens.
    asked: &'static [Option<&'static [CannedResponse]>],
    exit: Exit,
}

const EXPLAIN_CASES: [ExplainCase; 6] = [
    ExplainCase {
        name: "known at one daemon, another unreachable",
        request: "req-1",
        asked: &[None, Some(&[EXPLAIN_ENTRY])],
        exit: Exit::Fine,
    },
    ExplainCase {
        name: "unknown to all daemons",
        request: "req-2",
        asked: &[Some(&[EXPLAIN_ENTRY]), Some(&[])],
        exit: Exit::Findings,
    },
    ExplainCase {
        name: "unknown at one daemon, another unreachable",
        request: "req-1",
        asked: &[Some(&[]), None],
        exit: Exit::Unreachable,
    },
    ExplainCase {
        name: "path in place of an id",
        request: "../status",
        asked: &[Some(&[])],
        exit: Exit::Usage,
    },
    ExplainCase {
        name: "dots in place of an id",
        request: "..",
        asked: &[Some(&[])],
        exit: Exit::Usage,
    },
    ExplainCase {
        name: "empty id",
        request: "",
        asked: &[Some(&[])],
        exit: Exit::Usage,
    },
];

#[test]
fn explain_distinguishes_unknown_requests_from_unreachable_daemons() {
    for case in EXPLAIN_CASES {
        let asked = case
            .asked
            .iter()
            .map(|responses| responses.map_or_else(unused_address, start_fake_daemon).to_string());
        let addresses: Vec<String> = asked.collect();
        let mut args = vec!["explain", case.request, "--at"];
        args.extend(addresses.iter().map(String::as_str));
        assert_eq!(run_command(&args).exit, case.exit, "{}", case.name);
    }
}
