//! Tests of `celerytide check`: output, JSON, exit codes, detection of kinds, sections.

mod support;

use std::path::PathBuf;

use celerytide_cli::Exit;
use serde_json::Value;
use support::run_command;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
const DISPATCH: &str = "instance: d\nzone: z\nregion: r\noperator_address: 127.0.0.1:2\n\
                        peer_address: 127.0.0.1:3\nplatform: {config_service: [127.0.0.1:1]}\n";
const ENTRY: &str = "caller_address: 127.0.0.1:4\ninstance: d\nzone: z\nregion: r\n\
                     operator_address: 127.0.0.1:2\npeer_address: 127.0.0.1:3\n\
                     platform: {config_service: [127.0.0.1:1]}\n";
const MANIFEST: &str = "format: 1\nversion: 3\nevent: {name: e, start: 2027-01-01T00:00:00Z}\nzones: []\n\
                        services: []\nclasses: []\ncustomers: []\n";

struct Case {
    name: &'static str,
    text: &'static [u8],
    kind: Option<&'static str>,
    exit: Exit,
    /// Lines of output, with `FILE` for the path and `DIGEST` for the text's digest.
    out: &'static [&'static str],
    err: &'static [&'static str],
}

const ROUTER: &[u8] =
    b"instance: r1\nzone: z1\ncallers: 127.0.0.1:8080\nreadiness: 127.0.0.1:8081\nstore: 127.0.0.1:7000\nrack: b4\n";

const CASES: [Case; 14] = [
    Case {
        name: "manifest without faults",
        text: MANIFEST.as_bytes(),
        kind: None,
        exit: Exit::Fine,
        out: &["FILE: fine; manifest 3, DIGEST"],
        err: &[],
    },
    Case {
        name: "entry settings without faults",
        text: ENTRY.as_bytes(),
        kind: None,
        exit: Exit::Fine,
        out: &["FILE: fine; entry settings"],
        err: &[],
    },
    Case {
        name: "dispatch settings without faults",
        text: DISPATCH.as_bytes(),
        kind: None,
        exit: Exit::Fine,
        out: &["FILE: fine; dispatch settings"],
        err: &[],
    },
    Case {
        name: "router settings without faults",
        text: ROUTER,
        kind: None,
        exit: Exit::Fine,
        out: &["FILE: fine; router settings"],
        err: &[],
    },
    Case {
        name: "router settings with a value out of range",
        text: b"instance: r1\nzone: z1\ncallers: 127.0.0.1:8080\nreadiness: 127.0.0.1:8081\nstore: 127.0.0.1:7000\n\
                bounds:\n  apply_ms: 0\n",
        kind: None,
        exit: Exit::Findings,
        out: &[
            "FILE:7:1: bounds.apply_ms: is not positive (allowed: what docs/SETTINGS.md says)",
            "FILE: 1 fault; read as router",
        ],
        err: &[],
    },
    Case {
        name: "router settings with a host name as address",
        text: b"instance: r1\nzone: z1\ncallers: localhost:8080\nreadiness: 127.0.0.1:8081\nstore: 127.0.0.1:7000\n",
        kind: Some("router"),
        exit: Exit::Findings,
        out: &[
            "FILE:3:10: callers: invalid socket address syntax (allowed: the fields of docs/SETTINGS.md)",
            "FILE: 1 fault; read as router",
        ],
        err: &[],
    },
    Case {
        name: "router settings that release what has no kind",
        text: b"instance: r1\nzone: z1\ncallers: 127.0.0.1:8080\nreadiness: 127.0.0.1:8081\nstore: 127.0.0.1:7000\n\
                release: [block/1f, prompt/1f]\n",
        kind: None,
        exit: Exit::Findings,
        out: &[
            "FILE:6:1: release: prompt/1f has a kind other than block and request (allowed: block/ID or request/ID)",
            "FILE: 1 fault; read as router",
        ],
        err: &[],
    },
    Case {
        name: "kind given on the command line",
        text: DISPATCH.as_bytes(),
        kind: Some("entry"),
        exit: Exit::Findings,
        out: &[
            "FILE:1:1: caller_address: missing (allowed: an IP address and a port, such as 127.0.0.1:8080)",
            "FILE: 1 fault; read as entry",
        ],
        err: &[],
    },
    Case {
        name: "two faults",
        text: b"format: 1\nversion: 0\nevent: {name: e, start: 2027-01-01T00:00:00Z}\nzones: []\n\
                services: []\nclasses: []\ncustomers: 3\n",
        kind: None,
        exit: Exit::Findings,
        out: &[
            "FILE:2:10: version: 0 is out of range (allowed: a whole number of at least 1)",
            "FILE:7:12: customers: found the number 3 (allowed: a list)",
            "FILE: 2 faults; read as manifest",
        ],
        err: &[],
    },
    Case {
        name: "invalid YAML",
        text: b"format: \"1\nversion: 3\n",
        kind: None,
        exit: Exit::Findings,
        out: &[
            "FILE:1:9: unclosed quote (allowed: one YAML document)",
            "FILE: 1 fault; read as manifest",
        ],
        err: &[],
    },
    Case {
        name: "document of no known kind",
        text: b"colour: red\n",
        kind: None,
        exit: Exit::Usage,
        out: &[],
        err: &["FILE: no field of a manifest or of settings; give --kind"],
    },
    Case {
        name: "unknown kind given",
        text: b"colour: red\n",
        kind: Some("gateway"),
        exit: Exit::Usage,
        out: &[],
        err: &[
            "Error parsing option '--kind' with value 'gateway': a kind is manifest, section, entry, dispatch or router",
        ],
    },
    Case {
        name: "not UTF-8",
        text: b"format: \xff\n",
        kind: None,
        exit: Exit::Usage,
        out: &[],
        err: &["FILE: the file is not UTF-8 text"],
    },
    Case {
        name: "empty file",
        text: b"",
        kind: Some("manifest"),
        exit: Exit::Findings,
        out: &[
            "FILE:1:1: found nothing (allowed: a block with the fields classes, customer_sections, customers, event, format, orders, services, version, zones)",
            "FILE: 1 fault; read as manifest",
        ],
        err: &[],
    },
];

/// Writes a file for one case into the tests' temporary folder.
fn write_file(name: &str, text: &[u8]) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{}.yaml", name.replace(' ', "-")));
    std::fs::write(&path, text).expect("a file");
    path.to_str().expect("a readable path").to_owned()
}

fn normalized_lines(text: &str, path: &str, digest: &str) -> Vec<String> {
    text.lines()
        .map(|line| line.replace(path, "FILE").replace(digest, "DIGEST"))
        .collect()
}

#[test]
fn files_of_each_kind_get_the_expected_output_and_exit_code() {
    for case in CASES {
        let path = write_file(case.name, case.text);
        let mut args = vec!["check", path.as_str()];
        if let Some(kind) = case.kind {
            args.extend(["--kind", kind]);
        }
        let output = run_command(&args);
        let digest = celerytide_manifest::hash_key(&String::from_utf8_lossy(case.text));
        assert_eq!(normalized_lines(&output.out, &path, &digest), case.out, "{}", case.name);
        assert_eq!(normalized_lines(&output.err, &path, &digest), case.err, "{}", case.name);
        assert_eq!(output.exit, case.exit, "{}", case.name);
    }
}

#[test]
fn the_worst_result_of_several_files_decides_the_exit_code() {
    let (fine, faulty) = (
        write_file("fine", MANIFEST.as_bytes()),
        write_file("faulty", b"format: 2\n"),
    );
    assert_eq!(run_command(&["check", &fine, &faulty]).exit, Exit::Findings);
    let output = run_command(&["check", &faulty, "no-such-file.yaml", &fine]);
    assert_eq!(output.exit, Exit::Usage);
    assert!(output.err.starts_with("no-such-file.yaml: "), "{}", output.err);
    assert!(output.out.contains(&format!("{fine}: fine")), "{}", output.out);
}

#[test]
fn a_file_over_the_size_limit_is_refused_without_reading_all_of_it() {
    let mut text = MANIFEST.as_bytes().to_vec();
    text.resize(3 * 1024 * 1024, b'#');
    let path = write_file("long", &text);
    let output = run_command(&["check", &path]);
    assert_eq!(output.exit, Exit::Findings);
    assert!(
        output
            .out
            .contains("the document has 1048577 bytes (allowed: at most 1048576 bytes)"),
        "{}",
        output.out
    );
}

#[test]
fn json_output_lists_every_file_and_fault() {
    let (fine, faulty) = (
        write_file("json-fine", MANIFEST.as_bytes()),
        write_file("json-faulty", b"format: 2\nversion: x\n"),
    );
    let output = run_command(&["check", "--json", &fine, &faulty, "no-such-file.yaml"]);
    let reports: Value = serde_json::from_str(&output.out).expect("JSON");
    assert_eq!(reports[0]["manifest"]["version"], 3);
    assert_eq!(reports[0]["faults"].as_array().map(Vec::len), Some(0));
    assert_eq!(reports[1]["kind"], "manifest");
    assert_eq!(reports[1]["faults"][0]["line"], 1);
    assert!(
        reports[1]["faults"]
            .as_array()
            .is_some_and(|faults| faults.iter().any(|f| f["field"] == "version"))
    );
    assert!(reports[2]["error"].is_string());
    assert_eq!(output.exit, Exit::Usage);
}

#[test]
fn kinds_of_the_example_documents_are_detected() {
    for folder in ["fondo-andino", "peachline"] {
        for kind in ["manifest", "entry", "dispatch"] {
            let path = format!("{EXAMPLES}/{folder}/{kind}.yaml");
            let output = run_command(&["check", "--json", &path]);
            let reports: Value = serde_json::from_str(&output.out).expect("JSON");
            assert_eq!(reports[0]["kind"], kind, "{path}");
            assert_eq!(output.exit, Exit::Fine, "{path}");
        }
    }
}

#[test]
fn a_manifest_is_checked_together_with_its_section_files() {
    let text = MANIFEST.replace(
        "customers: []\n",
        "customers: [{id: a, key_sha256: \"KEY\", requests_per_second: 1, burst: 1}]\n",
    );
    let whole = write_file(
        "whole",
        text.replace("KEY", &celerytide_manifest::hash_key("a")).as_bytes(),
    );
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("split");
    let output = run_command(&["split", &whole, "--out", out.to_str().expect("a readable path")]);
    assert_eq!((output.exit, output.err.as_str()), (Exit::Fine, ""));
    let manifest = out.join("manifest.yaml");
    let manifest = manifest.to_str().expect("a readable path");
    let fine = run_command(&["check", manifest]);
    assert_eq!(fine.exit, Exit::Fine, "{}{}", fine.out, fine.err);
    let sections = std::fs::read_dir(out.join("customers")).expect("a folder");
    let paths: Vec<PathBuf> = sections.map(|entry| entry.expect("a section").path()).collect();
    let [section] = &paths[..] else { panic!("{paths:?}") };
    let path = section.to_str().expect("a readable path");
    assert!(
        run_command(&["check", path])
            .out
            .contains("fine; section of 1 customers, ")
    );
    let digest = section.file_name().and_then(|name| name.to_str()).expect("a digest");
    std::fs::write(section, "format: 1\n").expect("written");
    let damaged = run_command(&["check", manifest]);
    let found = celerytide_manifest::hash_key("format: 1\n");
    let fault = format!("{path}:1:1: the text's digest is {found} (allowed: {digest})");
    assert_eq!(
        (damaged.exit, damaged.out.lines().next()),
        (Exit::Findings, Some(&fault[..]))
    );
    std::fs::remove_dir_all(out.join("customers")).expect("removed");
    let missing = run_command(&["check", manifest]);
    assert_eq!(missing.exit, Exit::Usage);
    assert!(
        missing.err.contains(&format!("its section {path}: ")),
        "{}",
        missing.err
    );
}
