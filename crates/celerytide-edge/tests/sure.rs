//! What a new process waits for: the version of another instance, and the first page of the store's list.

use std::time::Duration;

use celerytide_edge::edge::ConfigFreshness;
use celerytide_edge::follow::first_page_timeout;
use celerytide_types::BootTime;

/// What a process learns from other instances, and from when it may serve and deny requests.
struct Case {
    name: &'static str,
    learn: fn(&mut ConfigFreshness),
    serves_ms: u64,
    denies_ms: u64,
}

/// The configuration is learned at 1,000 ms; a restore of the store happens at 5,000 ms.
const CASES: [Case; 6] = [
    Case {
        name: "nothing",
        learn: |_| {},
        serves_ms: 1_300,
        denies_ms: 1_300,
    },
    Case {
        name: "an instance with the same version",
        learn: |freshness| freshness.note_compared(ms(1_050)),
        serves_ms: 1_050,
        denies_ms: 1_050,
    },
    Case {
        name: "an instance with the same version, before the configuration was learned",
        learn: |freshness| freshness.note_compared(ms(900)),
        serves_ms: 1_300,
        denies_ms: 1_300,
    },
    Case {
        name: "one new instance",
        learn: ConfigFreshness::note_new_peer,
        serves_ms: 1_300,
        denies_ms: 1_300,
    },
    Case {
        name: "two new instances",
        learn: |freshness| (0..2).for_each(|_| freshness.note_new_peer()),
        serves_ms: 1_000,
        denies_ms: 1_000,
    },
    Case {
        name: "a restore of the store, and no instance replies",
        learn: |freshness| freshness.note_restored(ms(5_000)),
        serves_ms: 1_300,
        denies_ms: 5_300,
    },
];

fn ms(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(ms))
}

#[test]
fn a_new_process_serves_and_denies_only_once_its_configuration_is_confirmed() {
    for case in &CASES {
        let mut freshness = ConfigFreshness::default();
        assert!(!freshness.may_serve(ms(1_000)), "{}: nothing is known", case.name);
        freshness.note_learned(ms(1_000));
        (case.learn)(&mut freshness);
        for (at, what) in [(case.serves_ms, "serves"), (case.denies_ms, "denies")] {
            let may = |at| {
                if what == "serves" {
                    freshness.may_serve(ms(at))
                } else {
                    freshness.may_deny(ms(at))
                }
            };
            assert!(may(at), "{}: {what}", case.name);
            assert!(at <= 1_100 || !may(at - 50), "{}: {what} too early", case.name);
        }
    }
}

#[test]
fn after_a_restore_one_reply_of_another_instance_is_enough_to_deny() {
    let mut freshness = ConfigFreshness::default();
    freshness.note_learned(ms(1_000));
    freshness.note_restored(ms(5_000));
    assert!(freshness.may_serve(ms(5_000)) && !freshness.may_deny(ms(5_100)));
    freshness.note_compared(ms(5_100));
    assert!(freshness.may_deny(ms(5_100)));
}

#[test]
fn one_in_three_first_pages_has_the_long_time_limit() {
    let timeouts: Vec<Duration> = (0..6).map(first_page_timeout).collect();
    assert_eq!(timeouts[..3], timeouts[3..], "the turns repeat");
    assert!(
        timeouts[0] > timeouts[1] && timeouts[1] == timeouts[2],
        "one in three is long: {timeouts:?}"
    );
}
