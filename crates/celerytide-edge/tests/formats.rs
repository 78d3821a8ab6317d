//! Splitting of event streams, and validation of settings.

use celerytide_edge::events::EventSplitter;
use celerytide_edge::settings;
use celerytide_seeds::each_seed;

/// Guards against events that are lost or changed when a read ends in the middle of one.
#[test]
fn events_do_not_depend_on_how_they_arrive() {
    each_seed(512, 20, |u| {
        let count = u.int_in_range(1..=12)?;
        let mut text = String::new();
        let mut ends = Vec::new();
        for n in 1..=count {
            let end = *u.choose(&["\r\n", "\n", "\r"])?;
            text.push_str(&format!(
                "id: {n}{end}data: {}{end}{end}",
                "x".repeat(u.int_in_range(0..=20)?)
            ));
            ends.push(text.len());
        }
        let cut = u.int_in_range(0..=text.len())?;
        let mut splitter = EventSplitter::default();
        let (mut out, mut last_id) = (Vec::new(), None);
        let mut sent = 0;
        while sent < cut {
            let next = (sent + u.int_in_range(1..=9)?).min(cut);
            assert!(splitter.push(&text.as_bytes()[sent..next]));
            sent = next;
            while let Some(event) = splitter.next_event() {
                out.extend_from_slice(&event.raw);
                last_id = event.id;
            }
        }
        let whole_count = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(out.len(), whole_count.checked_sub(1).map_or(0, |n| ends[n]));
        assert_eq!(out, &text.as_bytes()[..out.len()]);
        assert_eq!(
            last_id.as_deref(),
            (whole_count > 0)
                .then(|| whole_count.to_string())
                .as_deref()
                .map(str::as_bytes)
        );
        assert_eq!(splitter.rest_bytes(), cut - out.len());
        let is_whole = out.len() == cut;
        assert_eq!(splitter.check_end(false).is_ok(), is_whole);
        assert_eq!(splitter.check_end(true).is_ok(), is_whole && cut > 0);
        Ok(())
    });
}

/// A stream, and its events.
struct SplitCase {
    stream: &'static str,
    events: &'static [&'static str],
}

const SPLIT_CASES: [SplitCase; 6] = [
    SplitCase {
        stream: "data: 1\n\r\ndata: 2\r\n\n",
        events: &["data: 1\n\r\n", "data: 2\r\n\n"],
    },
    SplitCase {
        stream: "data: 1\r\rdata: 2\n\n",
        events: &["data: 1\r\r", "data: 2\n\n"],
    },
    SplitCase {
        stream: "data: 1\n\rdata: 2\r\n\rdata: 3",
        events: &["data: 1\n\r", "data: 2\r\n\r"],
    },
    SplitCase {
        stream: "data: 1\r\n\r",
        events: &[],
    },
    SplitCase {
        stream: "\ndata: 1\rid: 7\r\r",
        events: &["\n", "data: 1\rid: 7\r\r"],
    },
    SplitCase {
        stream: ": note\n\ndata",
        events: &[": note\n\n"],
    },
];

#[test]
fn each_kind_of_empty_line_ends_an_event() {
    for case in &SPLIT_CASES {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for byte in case.stream.bytes() {
            assert!(splitter.push(&[byte]));
            events.extend(std::iter::from_fn(|| splitter.next_event()).map(|event| event.raw));
        }
        assert_eq!(events, case.events, "{:?}", case.stream);
    }
}

const VALID: &str = "instance: a\nzone: z\ncallers: \"127.0.0.1:1\"\nreadiness: \"127.0.0.1:2\"\npeers: null\nmetrics:\nstore: \"127.0.0.1:3\"\n";

/// Text added to valid settings, and a word that the error must contain.
struct SettingsCase {
    name: &'static str,
    add: &'static str,
    error: Option<&'static str>,
}

const CASES: [SettingsCase; 16] = [
    SettingsCase {
        name: "minimal",
        add: "",
        error: None,
    },
    SettingsCase {
        name: "unknown field",
        add: "later: 1\n",
        error: None,
    },
    SettingsCase {
        name: "bounds without values",
        add: "bounds:\n  stop_s:\n  apply_ms:\n",
        error: None,
    },
    SettingsCase {
        name: "invalid address",
        add: "seeds: [\"here\"]\n",
        error: Some("seeds"),
    },
    SettingsCase {
        name: "time of zero",
        add: "bounds:\n  apply_ms: 0\n",
        error: Some("bounds.apply_ms"),
    },
    // A longer time than fits in a `Duration` ended the process.
    SettingsCase {
        name: "endless time to stop",
        add: "bounds:\n  stop_s: 1e300\n",
        error: Some("bounds.stop_s"),
    },
    SettingsCase {
        name: "endless window of retries",
        add: "bounds:\n  repeat_window_s: 1e300\n",
        error: Some("bounds.repeat_window_s"),
    },
    SettingsCase {
        name: "endless heartbeat",
        add: "bounds:\n  beat_ms: 18446744073709551615\n",
        error: Some("bounds.beat_ms"),
    },
    SettingsCase {
        name: "negative ratio",
        add: "bounds:\n  repeat_ratio: -1\n",
        error: Some("bounds.repeat_ratio"),
    },
    SettingsCase {
        name: "too few descriptors",
        add: "descriptors: 3\n",
        error: Some("descriptors"),
    },
    SettingsCase {
        name: "nothing to release",
        add: "release:\n",
        error: None,
    },
    SettingsCase {
        name: "subjects to release",
        add: "release: [block/bf75b2f1, request/900ba556c46c4bab]\n",
        error: None,
    },
    SettingsCase {
        name: "release without a kind",
        add: "release: [900ba556c46c4bab]\n",
        error: Some("kind/id"),
    },
    SettingsCase {
        name: "release of an unknown kind",
        add: "release: [part/1]\n",
        error: Some("other than block and request"),
    },
    SettingsCase {
        name: "release with an invalid id",
        add: "release: [block/xyz]\n",
        error: Some("hexadecimal"),
    },
    SettingsCase {
        name: "invalid YAML",
        add: "{{{\n",
        error: Some("settings"),
    },
];

#[test]
fn settings_are_checked_with_field_and_reason() {
    for case in &CASES {
        let read = settings::parse(&format!("{VALID}{}", case.add));
        match case.error {
            None => assert!(read.is_ok(), "{}: {:?}", case.name, read.err()),
            Some(word) => {
                let text = read.err().map(|e| e.to_string()).unwrap_or_default();
                assert!(text.contains(word), "{}: {text}", case.name);
            }
        }
    }
}
