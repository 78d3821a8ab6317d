//! Tests of arguments, help texts and exit codes.

mod support;

use std::net::TcpListener;
use std::process::Command;

use celerytide_cli::Exit;
use support::run_command;

struct Case {
    args: &'static [&'static str],
    exit: Exit,
    out: &'static str,
    err: &'static str,
}

#[test]
fn a_wrong_command_line_is_explained() {
    let version = env!("CARGO_PKG_VERSION");
    assert_eq!(run_command(&["version"]).out, format!("celerytide {version}\n"));
    let cases = [
        Case {
            args: &["version", "--json"],
            exit: Exit::Fine,
            out: "\"name\": \"celerytide\"",
            err: "",
        },
        Case {
            args: &["--help"],
            exit: Exit::Fine,
            out: "Exit codes: 0 fine, 1 findings, 2 usage, 3 unreachable",
            err: "",
        },
        Case {
            args: &["check", "--help"],
            exit: Exit::Fine,
            out: "--kind",
            err: "",
        },
        Case {
            args: &[],
            exit: Exit::Usage,
            out: "",
            err: "check",
        },
        Case {
            args: &["start"],
            exit: Exit::Usage,
            out: "",
            err: "start",
        },
        Case {
            args: &["check"],
            exit: Exit::Usage,
            out: "",
            err: "check needs a file",
        },
        Case {
            args: &["status"],
            exit: Exit::Usage,
            out: "",
            err: "status needs an address",
        },
        Case {
            args: &["status", "localhost:1"],
            exit: Exit::Usage,
            out: "",
            err: "invalid socket address syntax",
        },
        Case {
            args: &["audit"],
            exit: Exit::Usage,
            out: "",
            err: "address",
        },
        Case {
            args: &["audit", "127.0.0.1:1", "--follow", "maybe"],
            exit: Exit::Usage,
            out: "",
            err: "follow is yes or no",
        },
        Case {
            args: &["explain", "req-1"],
            exit: Exit::Usage,
            out: "",
            err: "explain needs --at with an address",
        },
    ];
    for case in cases {
        let output = run_command(case.args);
        assert_eq!(output.exit, case.exit, "{:?}", case.args);
        assert!(output.out.contains(case.out), "{:?}: {}", case.args, output.out);
        assert!(output.err.contains(case.err), "{:?}: {}", case.args, output.err);
        assert_eq!(
            output.err.is_empty(),
            case.err.is_empty(),
            "{:?}: {}",
            case.args,
            output.err
        );
    }
}

#[test]
fn the_process_exits_with_the_code_of_the_command() {
    let code = |args: &[&str]| {
        let done = Command::new(env!("CARGO_BIN_EXE_celerytide")).args(args).output();
        done.expect("the command runs").status.code()
    };
    assert_eq!(code(&["version"]), Some(0));
    assert_eq!(
        code(&["check", env!("CARGO_MANIFEST_PATH"), "--kind", "manifest"]),
        Some(1)
    );
    assert_eq!(code(&["check", "no-such-file.yaml"]), Some(2));
    let unused_address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    assert_eq!(code(&["status", &unused_address.expect("a port").to_string()]), Some(3));
}
