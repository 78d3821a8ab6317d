//! Splitting of event streams, and validation of settings.

use celerytide_edge::events::EventSplitter;
use celerytide_edge::settings;
use celerytide_seeds::each_seed;

/// However a stream is divided into reads, its events and bytes are the same.
#[test]
fn events_do_not_depend_on_how_they_arrive() {
    each_seed(512, 20, |u| {
        let count = u.int_in_range(1..=12)?;
        let mut text = String::new();
        let mut ends = Vec::new();
        for n in 1..=count {
            let end = if u.arbitrary()? { "\r\n" } else { "\n" };
            text.push_str(&format!(
                "id: {n}{end}data: {}{end}{end}",
                "x".repeat(u.int_in_range(0..=20)?)
            ));
            ends.push(text.len());
        }
        let cut = u.int_in_range(0..=text.len())?;
        let mut splitter = EventSplitter::default();
        let (mut out, mut last) = (Vec::new(), None);
        let mut sent = 0;
        while sent < cut {
            let next = (sent + u.int_in_range(1..=9)?).min(cut);
            assert!(splitter.push(&text.as_bytes()[sent..next]));
            sent = next;
            while let Some(event) = splitter.next_event() {
                out.extend_from_slice(&event.raw);
                last = event.id;
            }
        }
        let whole = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(out.len(), whole.checked_sub(1).map_or(0, |n| ends[n]));
        assert_eq!(out, &text.as_bytes()[..out.len()]);
        assert_eq!(
            last.as_deref(),
            (whole > 0).then(|| whole.to_string()).as_deref().map(str::as_bytes)
        );
        assert_eq!(splitter.take_rest(), &text.as_bytes()[out.len()..cut]);
        Ok(())
    });
}

const GOOD: &str = "instance: a\nzone: z\ncallers: \"127.0.0.1:1\"\nreadiness: \"127.0.0.1:2\"\npeers: null\nmetrics:\nstore: \"127.0.0.1:3\"\n";

/// Text added to valid settings, and a word that the error must contain.
struct Case {
    name: &'static str,
    add: &'static str,
    error: Option<&'static str>,
}

const CASES: [Case; 8] = [
    Case {
        name: "minimal",
        add: "",
        error: None,
    },
    Case {
        name: "unknown field",
        add: "later: 1\n",
        error: None,
    },
    Case {
        name: "bounds without values",
        add: "bounds:\n  stop_s:\n  apply_ms:\n",
        error: None,
    },
    Case {
        name: "invalid address",
        add: "seeds: [\"here\"]\n",
        error: Some("seeds"),
    },
    Case {
        name: "time of zero",
        add: "bounds:\n  apply_ms: 0\n",
        error: Some("bounds.apply_ms"),
    },
    Case {
        name: "negative ratio",
        add: "bounds:\n  repeat_ratio: -1\n",
        error: Some("bounds.repeat_ratio"),
    },
    Case {
        name: "too few descriptors",
        add: "descriptors: 3\n",
        error: Some("descriptors"),
    },
    Case {
        name: "invalid YAML",
        add: "{{{\n",
        error: Some("settings"),
    },
];

#[test]
fn settings_are_checked_with_field_and_reason() {
    for case in &CASES {
        let read = settings::parse(&format!("{GOOD}{}", case.add));
        match case.error {
            None => assert!(read.is_ok(), "{}: {:?}", case.name, read.err()),
            Some(word) => {
                let text = read.err().map(|e| e.to_string()).unwrap_or_default();
                assert!(text.contains(word), "{}: {text}", case.name);
            }
        }
    }
}
