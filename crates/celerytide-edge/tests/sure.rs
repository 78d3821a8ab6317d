//! What a new process waits for: the word of another instance, and the first page of the store's list.

use std::time::Duration;

use celerytide_edge::edge::ConfigFreshness;
use celerytide_edge::follow::first_page_timeout;
use celerytide_types::Boot;

/// What a process heard, and from when on it may serve, and deny.
struct Heard {
    name: &'static str,
    hear: fn(&mut ConfigFreshness),
    serves_ms: u64,
    denies_ms: u64,
}

/// A configuration is learned at 1,000 ms; where the store comes back, it does so at 5,000 ms.
const HEARD: [Heard; 6] = [
    Heard {
        name: "nothing",
        hear: |_| {},
        serves_ms: 1_300,
        denies_ms: 1_300,
    },
    Heard {
        name: "one that knows as much",
        hear: |freshness| freshness.note_compared(ms(1_050)),
        serves_ms: 1_050,
        denies_ms: 1_050,
    },
    Heard {
        name: "one that knew as much before",
        hear: |freshness| freshness.note_compared(ms(900)),
        serves_ms: 1_300,
        denies_ms: 1_300,
    },
    Heard {
        name: "one new one",
        hear: ConfigFreshness::note_new_peer,
        serves_ms: 1_300,
        denies_ms: 1_300,
    },
    Heard {
        name: "new ones only",
        hear: |freshness| (0..2).for_each(|_| freshness.note_new_peer()),
        serves_ms: 1_000,
        denies_ms: 1_000,
    },
    Heard {
        name: "the store came back, and nobody answers",
        hear: |freshness| freshness.note_restored(ms(5_000)),
        serves_ms: 1_300,
        denies_ms: 5_300,
    },
];

fn ms(ms: u64) -> Boot {
    Boot::from_start(Duration::from_millis(ms))
}

#[test]
fn a_new_process_serves_and_denies_by_what_others_say() {
    for heard in &HEARD {
        let mut freshness = ConfigFreshness::default();
        assert!(!freshness.may_serve(ms(1_000)), "{}: nothing is known", heard.name);
        freshness.note_learned(ms(1_000));
        (heard.hear)(&mut freshness);
        for (at, what) in [(heard.serves_ms, "serves"), (heard.denies_ms, "denies")] {
            let may = |at| {
                if what == "serves" {
                    freshness.may_serve(ms(at))
                } else {
                    freshness.may_deny(ms(at))
                }
            };
            assert!(may(at), "{}: {what}", heard.name);
            assert!(at <= 1_100 || !may(at - 50), "{}: {what} too early", heard.name);
        }
    }
}

#[test]
fn after_a_restore_one_answer_is_enough_to_deny() {
    let mut freshness = ConfigFreshness::default();
    freshness.note_learned(ms(1_000));
    freshness.note_restored(ms(5_000));
    assert!(freshness.may_serve(ms(5_000)) && !freshness.may_deny(ms(5_100)));
    freshness.note_compared(ms(5_100));
    assert!(freshness.may_deny(ms(5_100)));
}

#[test]
fn turns_of_the_wait_for_a_first_page_differ() {
    let waits: Vec<Duration> = (0..6).map(first_page_timeout).collect();
    assert_eq!(waits[..3], waits[3..], "they come again");
    assert!(
        waits[0] > waits[1] && waits[1] == waits[2],
        "one in three is long: {waits:?}"
    );
}
