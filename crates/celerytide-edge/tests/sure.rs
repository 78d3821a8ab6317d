//! What a new process waits for: the word of another instance, and the first page of the store's list.

use std::time::Duration;

use celerytide_edge::edge::Sure;
use celerytide_edge::follow::first_page;
use celerytide_types::BootTime;

/// What a process heard, and from when on it may serve, and deny.
struct Heard {
    name: &'static str,
    hear: fn(&mut Sure),
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
        hear: |sure| sure.compared(ms(1_050)),
        serves_ms: 1_050,
        denies_ms: 1_050,
    },
    Heard {
        name: "one that knew as much before",
        hear: |sure| sure.compared(ms(900)),
        serves_ms: 1_300,
        denies_ms: 1_300,
    },
    Heard {
        name: "one new one",
        hear: Sure::met_new,
        serves_ms: 1_300,
        denies_ms: 1_300,
    },
    Heard {
        name: "new ones only",
        hear: |sure| (0..2).for_each(|_| sure.met_new()),
        serves_ms: 1_000,
        denies_ms: 1_000,
    },
    Heard {
        name: "the store came back, and nobody answers",
        hear: |sure| sure.restored(ms(5_000)),
        serves_ms: 1_300,
        denies_ms: 5_300,
    },
];

fn ms(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(ms))
}

#[test]
fn a_new_process_serves_and_denies_by_what_others_say() {
    for heard in &HEARD {
        let mut sure = Sure::default();
        assert!(!sure.serves(ms(1_000)), "{}: nothing is known", heard.name);
        sure.learned(ms(1_000));
        (heard.hear)(&mut sure);
        for (at, what) in [(heard.serves_ms, "serves"), (heard.denies_ms, "denies")] {
            let may = |at| {
                if what == "serves" {
                    sure.serves(ms(at))
                } else {
                    sure.denies(ms(at))
                }
            };
            assert!(may(at), "{}: {what}", heard.name);
            assert!(at <= 1_100 || !may(at - 50), "{}: {what} too early", heard.name);
        }
    }
}

#[test]
fn after_a_restore_one_answer_is_enough_to_deny() {
    let mut sure = Sure::default();
    sure.learned(ms(1_000));
    sure.restored(ms(5_000));
    assert!(sure.serves(ms(5_000)) && !sure.denies(ms(5_100)));
    sure.compared(ms(5_100));
    assert!(sure.denies(ms(5_100)));
}

#[test]
fn turns_of_the_wait_for_a_first_page_differ() {
    let waits: Vec<Duration> = (0..6).map(first_page).collect();
    assert_eq!(waits[..3], waits[3..], "they come again");
    assert!(
        waits[0] > waits[1] && waits[1] == waits[2],
        "one in three is long: {waits:?}"
    );
}
