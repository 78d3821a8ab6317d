//! Parsing and writing of server-sent events, with streams split at any byte.

use arbtest::arbtest;
use bytes::BytesMut;
use celerytide_http::sse::{DONE, Error, Event, Reader, write_event};

const MAX: usize = 64;

struct Case {
    name: &'static str,
    input: &'static [u8],
    /// Expected name and data of each event.
    want: &'static [(&'static str, &'static str)],
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "one", input: b"data: a\n\n", want: &[("", "a")] },
    Case { name: "CRLF", input: b"data: a\r\n\r\ndata: b\r\n\r\n", want: &[("", "a"), ("", "b")] },
    Case { name: "CR", input: b"data: a\r\rdata: b\r\r", want: &[("", "a"), ("", "b")] },
    Case { name: "no space, two spaces", input: b"data:a\n\ndata:  a\n\n", want: &[("", "a"), ("", " a")] },
    Case { name: "lines joined", input: b"data: a\ndata: b\ndata\n\n", want: &[("", "a\nb\n")] },
    Case { name: "named", input: b"event: x\ndata: a\n\ndata: b\n\n", want: &[("x", "a"), ("", "b")] },
    Case {
        name: "comments, other fields, empty events",
        input: b": ping\n\nid: 1\nretry: 5\n\nevent: x\n\ndata: a\n: c\n\n",
        want: &[("", "a")],
    },
    Case { name: "byte order mark", input: b"\xef\xbb\xbfdata: a\n\n", want: &[("", "a")] },
    Case { name: "incomplete event", input: b"data: a\n\ndata: b\n", want: &[("", "a")] },
    Case {
        name: "the end of a model's response",
        input: b"data: {}\n\ndata: [DONE]\n\n",
        want: &[("", "{}"), ("", "[DONE]")],
    },
];

fn read(parts: &[&[u8]]) -> Result<Vec<Event>, Error> {
    let mut reader = Reader::new(MAX);
    let mut events = Vec::new();
    for part in parts {
        reader.push(part);
        while let Some(event) = reader.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

fn event(name: &str, data: &str) -> Event {
    Event {
        name: name.to_owned().into(),
        data: data.to_owned().into(),
    }
}

#[test]
fn events_are_parsed_however_the_stream_is_split() {
    for case in CASES {
        let want: Vec<_> = case.want.iter().map(|(name, data)| event(name, data)).collect();
        let bytes: Vec<_> = case.input.chunks(1).collect();
        assert_eq!(read(&[case.input]), Ok(want.clone()), "{}", case.name);
        assert_eq!(read(&bytes), Ok(want.clone()), "{}, byte by byte", case.name);
        for at in 0..case.input.len() {
            let (a, b) = case.input.split_at(at);
            assert_eq!(read(&[a, b]), Ok(want.clone()), "{}, split at {at}", case.name);
        }
    }
}

#[test]
fn an_oversized_event_is_rejected_complete_or_not() {
    let long = "x".repeat(MAX);
    let lines = "data: x\n".repeat(MAX);
    for input in [format!("data: {long}"), format!("data: {long}\n\n"), lines] {
        assert_eq!(read(&[input.as_bytes()]), Err(Error::TooLarge));
    }
    let many = "data: x\n\n".repeat(MAX);
    assert_eq!(read(&[many.as_bytes()]).map(|events| events.len()), Ok(MAX));
}

#[test]
fn written_events_are_read_back() {
    for seed in 1..=200u64 {
        arbtest(|u| {
            let data: Vec<u8> = u.arbitrary()?;
            let data: Vec<u8> = data.into_iter().filter(|b| *b != b'\r').collect();
            let mut buf = BytesMut::new();
            write_event(&mut buf, Some("name"), &data);
            write_event(&mut buf, None, DONE);
            let mut reader = Reader::new(8 * 1024);
            reader.push(&buf);
            let first = reader.next_event().expect("event").expect("event");
            assert_eq!((&first.name[..], &first.data[..]), (&b"name"[..], &data[..]));
            let last = reader.next_event().expect("event").expect("event");
            assert_eq!((&last.name[..], &last.data[..]), (&b""[..], DONE));
            assert!(!reader.is_partial());
            Ok(())
        })
        .seed(seed << 32 | 300);
    }
}
