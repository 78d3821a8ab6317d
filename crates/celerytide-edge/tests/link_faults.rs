//! Faults of one instance's own links withhold nothing: the endpoints go on serving other instances.

use std::time::Duration;

use celerytide_edge::quarantine::{MIN_CRASHES_OF_ANY, Progress, Quarantine, Reached, Subject};
use celerytide_types::BootTime;

const SERVICE: u32 = 1;
/// A block of all prompts.
const WIDE: Subject = Subject::Block(1);
/// A block of one session's prompts.
const SESSION: Subject = Subject::Block(2);
/// Interval between digests.
const TICK: Duration = Duration::from_millis(25);
/// Ticks between two requests of the session.
const GAP_TICKS: u32 = 20;
/// Ticks in which the links of one instance reset all connections.
const FAULT_TICKS: u32 = GAP_TICKS * MIN_CRASHES_OF_ANY as u32;
/// Ticks after the fault.
const AFTER_TICKS: u32 = 2400;

fn at(tick: u32) -> BootTime {
    BootTime::from_start(Duration::from_secs(1) + TICK * tick)
}

/// An instance whose links to all endpoints reset connections for two seconds had each endpoint counted as crashed. The
/// block of a session that sends a request each half second was refused by all instances, and nothing ended that.
#[test]
fn resets_on_the_links_of_one_instance_withhold_a_block_everywhere() {
    let mut cut_off = Quarantine::default();
    let mut sound = Quarantine::default();
    for tick in 0..FAULT_TICKS + AFTER_TICKS {
        let now = at(tick);
        let number = u64::from(tick);
        if tick < FAULT_TICKS && tick % GAP_TICKS == 0 {
            let subjects = [WIDE, SESSION, Subject::Request(number)];
            cut_off.record_crash(SERVICE, &subjects, (tick / GAP_TICKS, Progress::BeforeHead), now);
        }
        // Endpoints answer the other instance all the time.
        for endpoint in 0..MIN_CRASHES_OF_ANY as u32 {
            sound.record_answer(endpoint, now);
        }
        sound.record_good(SERVICE, &[WIDE, Subject::Request(10_000 + number)], Reached::End, now);
        let told = cut_off.entries(now);
        sound.learn(&told, now);
        let told = sound.entries(now);
        cut_off.learn(&told, now);
    }
    let withheld = [&cut_off, &sound].map(|of| of.all_withheld().collect::<Vec<Subject>>());
    assert_eq!(withheld, [vec![], vec![]], "a minute after the fault");
}

/// A verdict on a block that only waited at endpoints which crashed had no end as long as it was asked for.
#[test]
fn a_verdict_on_a_block_that_only_waited_has_no_end() {
    let at = |seconds: u32| BootTime::from_start(Duration::from_secs(u64::from(seconds)));
    let mut quarantine = Quarantine::default();
    for endpoint in 0..MIN_CRASHES_OF_ANY as u32 {
        quarantine.record_crash(SERVICE, &[SESSION], (endpoint, Progress::BeforeHead), at(1 + endpoint));
        quarantine.record_good(SERVICE, &[WIDE], Reached::End, at(1 + endpoint));
    }
    for (seconds, expected) in [(10, true), (300, true), (590, true), (610, false)] {
        quarantine.sweep(at(seconds));
        let is_withheld = quarantine.withheld([SESSION].into_iter(), at(seconds)).is_some();
        assert_eq!(is_withheld, expected, "after {seconds} s");
    }
}
