//! Which failures of a request say that nothing came back from the endpoint.

use std::io;

use celerytide_http::client::{Cause, SendError, Stage};

struct Case {
    stage: Stage,
    cause: fn() -> Cause,
    is_silence: bool,
}

const fn case(stage: Stage, cause: fn() -> Cause, is_silence: bool) -> Case {
    Case {
        stage,
        cause,
        is_silence,
    }
}

fn read(kind: io::ErrorKind) -> Cause {
    Cause::Read { source: kind.into() }
}

fn write(kind: io::ErrorKind) -> Cause {
    Cause::Write { source: kind.into() }
}

const CASES: [Case; 13] = [
    case(Stage::Written, || Cause::FirstByteTimeout, true),
    case(Stage::Written, || Cause::HeadTimeout, true),
    case(Stage::Written, || Cause::WriteTimeout, true),
    case(Stage::Written, || read(io::ErrorKind::TimedOut), true),
    case(Stage::Written, || write(io::ErrorKind::HostUnreachable), true),
    case(Stage::Written, || read(io::ErrorKind::ConnectionReset), false),
    case(Stage::Written, || write(io::ErrorKind::BrokenPipe), false),
    case(Stage::Written, || Cause::Closed, false),
    case(Stage::Written, || Cause::BetweenBytesTimeout, false),
    case(Stage::Written, || Cause::RequestIdMismatch, false),
    case(Stage::Body, || read(io::ErrorKind::TimedOut), false),
    case(Stage::Connect, || Cause::ConnectTimeout, false),
    case(Stage::Connect, || Cause::Target, false),
];

/// Guards against: the end of a connection, or bytes that are no response, are taken for silence of the endpoint.
#[test]
fn only_silence_after_a_request_was_written_is_silence() {
    for case in &CASES {
        let error = SendError {
            stage: case.stage,
            source: (case.cause)(),
        };
        assert_eq!(error.is_silence(), case.is_silence, "{error:?}");
    }
}
