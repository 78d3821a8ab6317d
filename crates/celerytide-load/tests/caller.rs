//! The caller tells complete responses from broken ones.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::spawn;

use celerytide_http::client::{Client, Options};
use celerytide_load::caller::{self, CallOutcome, CallerRequest};
use celerytide_standin::{launch::Process, probe};
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio_util::sync::CancellationToken;

fn send_chat(addr: SocketAddr, tokens: usize) -> (CallOutcome, String) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let client = Client::new(Options::default());
        let mut text = String::new();
        let req = CallerRequest::chat(addr, "key", "r-1", "m", "hello", Some(tokens));
        let outcome = caller::send(&client, &req, &CancellationToken::new(), |token| text.push_str(token)).await;
        (outcome, text)
    })
}

#[test]
fn broken_response_is_not_reported_as_complete() {
    struct Case {
        name: &'static str,
        fault: &'static str,
        want: (u16, bool, usize),
    }
    let cases = [
        Case {
            name: "complete",
            fault: r#"{"kind":"none"}"#,
            want: (200, true, 5),
        },
        Case {
            name: "stream cut after three tokens",
            fault: r#"{"kind":"cut-mid-answer","after":3}"#,
            want: (200, false, 3),
        },
        Case {
            name: "connection reset",
            fault: r#"{"kind":"reset"}"#,
            want: (0, false, 0),
        },
        Case {
            name: "status 503",
            fault: r#"{"kind":"status","code":503}"#,
            want: (503, true, 0),
        },
    ];
    let engine =
        Process::standin("engine", &["--id", "e", "--decode-ms", "1"]).expect("build celerytide-standin first");
    for case in &cases {
        probe::set_fault(engine.addr(), case.fault).expect(case.name);
        let (outcome, text) = send_chat(engine.addr(), 5);
        assert_eq!(
            (outcome.status, outcome.is_complete, outcome.tokens),
            case.want,
            "{}: {outcome:?}",
            case.name
        );
        assert_eq!(outcome.is_done(), case.name == "complete", "{}", case.name);
        let want: String = (0..case.want.2).map(|i| format!("w{i} ")).collect();
        assert_eq!(text, want, "{}", case.name);
        assert_eq!(outcome.gaps.len(), case.want.2.saturating_sub(1), "{}", case.name);
    }
}

/// Responses that aren't whole HTTP responses.
const RAW: [&str; 7] = [
    "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent Length: 2\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nno colon\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nno colon\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nok",
];

/// Starts an endpoint that sends this response to each request.
fn raw_endpoint(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for mut peer in listener.incoming().flatten() {
            let _ = peer.read(&mut [0; 4096]);
            let _ = peer.write_all(response.as_bytes());
        }
    });
    addr
}

/// Guards against: the load tool counts a request as served whose response is no whole HTTP response.
#[test]
fn bytes_that_are_no_response_are_counted_as_served() {
    for response in RAW {
        let (outcome, _) = send_chat(raw_endpoint(response), 1);
        assert!(!outcome.is_complete && !outcome.is_done(), "{response:?}: {outcome:?}");
        assert!(!outcome.cause.is_empty(), "{response:?}: {outcome:?}");
    }
}
