//! Replies of a peer that serves a request for this instance, perhaps one of an older release.

use celerytide_edge::peers::handover::ProxyReply;
use celerytide_http::server::ResponsePart;

const SEAL: (&str, &str) = ("x-response-seal", "3e1b.07");

struct Case {
    status: u16,
    /// A header of the response.
    header: (&'static str, &'static str),
    is_response: bool,
}

const fn case(status: u16, header: (&'static str, &'static str), is_response: bool) -> Case {
    Case {
        status,
        header,
        is_response,
    }
}

const CASES: [Case; 14] = [
    case(200, SEAL, true),
    case(100, SEAL, false),
    case(199, SEAL, false),
    case(599, SEAL, true),
    case(0, SEAL, false),
    case(20, SEAL, false),
    case(99, SEAL, false),
    case(600, SEAL, false),
    case(999, SEAL, false),
    case(2000, SEAL, false),
    case(200, ("content length", "2"), false),
    case(200, ("content\u{1}length", "2"), false),
    case(200, ("", "2"), false),
    case(200, ("x-a", "b\u{0}c"), false),
];

/// Guards against: a peer of an older release passes on a status that is none, and this instance passes it on to the caller.
#[test]
fn a_reply_that_is_no_response_is_passed_on() {
    for case in &CASES {
        let (name, value) = case.header;
        let headers = vec![(name.to_owned(), value.as_bytes().to_vec())];
        let status = case.status;
        let whole = ProxyReply::Whole {
            status,
            headers: headers.clone(),
            body: b"body".to_vec(),
        };
        let head = ProxyReply::Head { status, headers };
        for reply in [whole, head] {
            let part = reply.into_part();
            let read = part.as_ref().map(|part| match part {
                ResponsePart::Whole { status, .. } | ResponsePart::Head { status, .. } => status.as_u16(),
                ResponsePart::Chunk(_) | ResponsePart::End => 0,
            });
            assert_eq!(read, case.is_response.then_some(status), "{status} {:?}", case.header);
        }
    }
}
