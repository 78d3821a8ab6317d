//! Tests of `celerytide check`.

mod support;

use std::path::PathBuf;

use celerytide_cli::Exit;
use serde_json::Value;
use support::run;

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
    /// Lines of output; `FILE` stands for the file's name.
    out: &'static [&'static str],
    err: &'static [&'static str],
}

const ROUTER: &[u8] =
    b"instance: r1\nzone: z1\ncallers: 127.0.0.1:8080\nreadiness: 127.0.0.1:8081\nstore: 127.0.0.1:7000\nrack: b4\n";

const CASES: [Case; 13] = [
    Case {
        name: "manifest",
        text: MANIFEST.as_bytes(),
        kind: None,
        exit: Exit::Fine,
        out: &["FILE: fine; manifest 3, DIGEST"],
        err: &[],
    },
    Case {
        name: "entry",
        text: ENTRY.as_bytes(),
        kind: None,
        exit: Exit::Fine,
        out: &["FILE: fine; entry settings"],
        err: &[],
    },
    Case {
        name: "dispatch",
        text: DISPATCH.as_bytes(),
        kind: None,
        exit: Exit::Fine,
        out: &["FILE: fine; dispatch settings"],
        err: &[],
    },
    Case {
        name: "router",
        text: ROUTER,
        kind: None,
        exit: Exit::Fine,
        out: &["FILE: fine; router settings"],
        err: &[],
    },
    Case {
        name: "router with a value out of range",
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
        name: "router with a host name",
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
        name: "kind given",
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
        name: "not yaml",
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
        name: "something else",
        text: b"colour: red\n",
        kind: None,
        exit: Exit::Usage,
        out: &[],
        err: &["FILE: no field of a manifest or of settings; give --kind"],
    },
    Case {
        name: "something else of a given kind",
        text: b"colour: red\n",
        kind: Some("gateway"),
        exit: Exit::Usage,
        out: &[],
        err: &[
            "Error parsing option '--kind' with value 'gateway': a kind is manifest, section, entry, dispatch or router",
        ],
    },
    Case {
        name: "not text",
        text: b"format: \xff\n",
        kind: None,
        exit: Exit::Usage,
        out: &[],
        err: &["FILE: the file is not UTF-8 text"],
    },
    Case {
        name: "empty",
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

/// A file of its own in the tests' folder.
fn file(name: &str, text: &[u8]) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{}.yaml", name.replace(' ', "-")));
    std::fs::write(&path, text).expect("a file");
    path.to_str().expect("a readable path").to_owned()
}

fn lines(text: &str, path: &str, digest: &str) -> Vec<String> {
    text.lines()
        .map(|line| line.replace(path, "FILE").replace(digest, "DIGEST"))
        .collect()
}

#[test]
fn output_and_exit_codes() {
    for case in CASES {
        let path = file(case.name, case.text);
        let mut args = vec!["check", path.as_str()];
        if let Some(kind) = case.kind {
            args.extend(["--kind", kind]);
        }
        let ran = run(&args);
        let digest = celerytide_manifest::hash_key(&String::from_utf8_lossy(case.text));
        assert_eq!(lines(&ran.out, &path, &digest), case.out, "{}", case.name);
        assert_eq!(lines(&ran.err, &path, &digest), case.err, "{}", case.name);
        assert_eq!(ran.exit, case.exit, "{}", case.name);
    }
}

#[test]
fn the_worst_of_several_files_decides() {
    let (fine, faulty) = (file("fine", MANIFEST.as_bytes()), file("faulty", b"format: 2\n"));
    assert_eq!(run(&["check", &fine, &faulty]).exit, Exit::Findings);
    let ran = run(&["check", &faulty, "no-such-file.yaml", &fine]);
    assert_eq!(ran.exit, Exit::Usage);
    assert!(ran.err.starts_with("no-such-file.yaml: "), "{}", ran.err);
    assert!(ran.out.contains(&format!("{fine}: fine")), "{}", ran.out);
}

#[test]
fn too_long_a_file_is_refused_without_reading_it_whole() {
    let mut text = MANIFEST.as_bytes().to_vec();
    text.resize(3 * 1024 * 1024, b'#');
    let path = file("long", &text);
    let ran = run(&["check", &path]);
    assert_eq!(ran.exit, Exit::Findings);
    assert!(
        ran.out
            .contains("the document has 1048577 bytes (allowed: at most 1048576 bytes)"),
        "{}",
        ran.out
    );
}

#[test]
fn json_names_every_file_and_fault() {
    let (fine, faulty) = (
        file("json-fine", MANIFEST.as_bytes()),
        file("json-faulty", b"format: 2\nversion: x\n"),
    );
    let ran = run(&["check", "--json", &fine, &faulty, "no-such-file.yaml"]);
    let reports: Value = serde_json::from_str(&ran.out).expect("JSON");
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
    assert_eq!(ran.exit, Exit::Usage);
}

#[test]
fn the_examples_are_told_apart() {
    for folder in ["fondo-andino", "peachline"] {
        for kind in ["manifest", "entry", "dispatch"] {
            let path = format!("{EXAMPLES}/{folder}/{kind}.yaml");
            let ran = run(&["check", "--json", &path]);
            let reports: Value = serde_json::from_str(&ran.out).expect("JSON");
            assert_eq!(reports[0]["kind"], kind, "{path}");
            assert_eq!(ran.exit, Exit::Fine, "{path}");
        }
    }
}

#[test]
fn a_manifest_is_checked_with_the_sections_beside_it() {
    let text = MANIFEST.replace(
        "customers: []\n",
        "customers: [{id: a, key_sha256: \"KEY\", requests_per_second: 1, burst: 1}]\n",
    );
    let whole = file(
        "whole",
        text.replace("KEY", &celerytide_manifest::hash_key("a")).as_bytes(),
    );
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("split");
    let ran = run(&["split", &whole, "--out", out.to_str().expect("a readable path")]);
    assert_eq!((ran.exit, ran.err.as_str()), (Exit::Fine, ""));
    let manifest = out.join("manifest.yaml");
    let manifest = manifest.to_str().expect("a readable path");
    let fine = run(&["check", manifest]);
    assert_eq!(fine.exit, Exit::Fine, "{}{}", fine.out, fine.err);
    let sections = std::fs::read_dir(out.join("customers")).expect("a folder");
    let paths: Vec<PathBuf> = sections.map(|entry| entry.expect("a section").path()).collect();
    let [section] = &paths[..] else { panic!("{paths:?}") };
    let path = section.to_str().expect("a readable path");
    assert!(run(&["check", path]).out.contains("fine; section of 1 customers, "));
    let digest = section.file_name().and_then(|name| name.to_str()).expect("a digest");
    std::fs::write(section, "format: 1\n").expect("written");
    let damaged = run(&["check", manifest]);
    let found = celerytide_manifest::hash_key("format: 1\n");
    let fault = format!("{path}:1:1: the text's digest is {found} (allowed: {digest})");
    assert_eq!(
        (damaged.exit, damaged.out.lines().next()),
        (Exit::Findings, Some(&fault[..]))
    );
    std::fs::remove_dir_all(out.join("customers")).expect("removed");
    let missing = run(&["check", manifest]);
    assert_eq!(missing.exit, Exit::Usage);
    assert!(
        missing.err.contains(&format!("its section {path}: ")),
        "{}",
        missing.err
    );
}
