//! How instances agree on what is withheld, and the bounds of what they keep; the cases are in `quarantine_cases`.

use std::time::Duration;

use celerytide_edge::quarantine::{
    BreakOff, Checkpoints, MIN_CRASHES, MIN_CRASHES_OF_ANY, Progress, Quarantine, Reached, Releases, Releasing,
    Subject, SubjectStatus, is_crash,
};
use celerytide_http::client::Cause;
use celerytide_http::validate::ProtocolError;
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

const WIDE: Subject = Subject::Block(1);
const CUSTOMER: Subject = Subject::Block(2);
const CRASHING: Subject = Subject::Block(3);
const OTHER: Subject = Subject::Block(4);
/// A block of prompts that engines answer.
const SOUND: Subject = Subject::Block(5);
const SERVICE: u32 = 1;
const BEGUN: Progress = Progress::Begun;
/// A request, and another one with the same blocks.
const REQUEST: Subject = Subject::Request(1);
const NEIGHBOUR: Subject = Subject::Request(2);

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(ms))
}

fn withheld(quarantine: &mut Quarantine, now: BootTime) -> Vec<Subject> {
    // The service answers other prompts.
    quarantine.record_good(SERVICE, &[SOUND], Reached::End, now);
    let subjects = [WIDE, CUSTOMER, CRASHING, OTHER, REQUEST, NEIGHBOUR].into_iter();
    subjects
        .filter(|subject| quarantine.withheld([*subject].into_iter(), now).is_some())
        .collect()
}

/// Tells all that `from` knows to `to`.
fn tell(from: &mut Quarantine, to: &mut Quarantine, now: BootTime) {
    let told = from.entries(now);
    to.learn(&told, now.after(Duration::from_millis(2)));
}

#[test]
fn instances_that_see_one_crash_each_agree_on_what_is_withheld() {
    let mut instances = [(); 5].map(|()| Quarantine::default());
    for n in 0..MIN_CRASHES {
        let now = at(1000 + 400 * n as u64);
        instances[n].record_crash(SERVICE, &[WIDE, CRASHING], (n as u32, BEGUN), now);
        for other in 0..5 {
            if other != n {
                let (mut from, mut to) = (std::mem::take(&mut instances[n]), std::mem::take(&mut instances[other]));
                tell(&mut from, &mut to, now);
                (instances[n], instances[other]) = (from, to);
            }
        }
        // Only one instance serves the other block.
        instances[4].record_good(SERVICE, &[WIDE], Reached::End, now.after(Duration::from_millis(100)));
    }
    let now = at(3000);
    let (mut last, mut serves) = (std::mem::take(&mut instances[0]), std::mem::take(&mut instances[4]));
    tell(&mut serves, &mut last, now);
    assert_eq!(withheld(&mut last, now), [CRASHING]);
    assert_eq!(withheld(&mut serves, now), [CRASHING]);
}

#[test]
fn an_instance_that_starts_later_learns_crashes_of_before_its_machine_booted() {
    let mut knows = Quarantine::default();
    for n in 0..MIN_CRASHES as u32 {
        knows.record_crash(SERVICE, &[CRASHING], (n, BEGUN), at(10_000 + 500 * u64::from(n)));
    }
    knows.record_good(SERVICE, &[SOUND], Reached::End, at(12_000));
    let told = knows.entries(at(100_000));
    let mut new = Quarantine::default();
    let changes = new.learn(&told, at(50));
    assert_eq!(
        changes.iter().map(|c| c.status).collect::<Vec<_>>(),
        [SubjectStatus::Withheld]
    );
    assert_eq!(withheld(&mut new, at(60)), [CRASHING]);
}

#[test]
fn instances_that_see_one_crash_each_before_the_head_agree_on_what_is_withheld() {
    let mut instances = [(); MIN_CRASHES_OF_ANY].map(|()| Quarantine::default());
    for (n, instance) in instances.iter_mut().enumerate() {
        let request = Subject::Request(10 + n as u64);
        let crash = (n as u32, Progress::BeforeHead);
        instance.record_crash(SERVICE, &[CRASHING, request], crash, at(1000 + 400 * n as u64));
    }
    let now = at(3000);
    let mut told: Vec<_> = instances.iter_mut().map(|from| from.entries(now)).collect();
    for to in &mut instances {
        told.rotate_left(1);
        for entries in &told {
            to.learn(entries, now);
        }
        assert_eq!(withheld(to, now), [CRASHING]);
    }
}

#[test]
fn engines_that_crash_under_every_prompt_withhold_no_block() {
    let mut quarantine = Quarantine::default();
    let mut crash = |n: u32| quarantine.record_crash(SERVICE, &[WIDE, CRASHING], (n, BEGUN), at(500 * u64::from(n)));
    for n in 0..10 {
        crash(n);
    }
    // Another service answers; this one doesn't.
    quarantine.record_good(SERVICE + 1, &[SOUND], Reached::End, at(6000));
    assert_eq!(quarantine.all_withheld().count(), 0);
    quarantine.record_good(SERVICE, &[SOUND], Reached::End, at(6100));
    assert_eq!(withheld(&mut quarantine, at(6100)), [CRASHING]);
}

#[test]
fn engines_that_crash_late_under_every_prompt_withhold_no_block() {
    let mut quarantine = Quarantine::default();
    for n in 0..10_u32 {
        let crash = (n, Progress::GoneOn(15));
        quarantine.record_crash(SERVICE, &[WIDE, CRASHING], crash, at(500 * u64::from(n)));
        quarantine.record_good(SERVICE, &[SOUND], Reached::Time(10), at(500 * u64::from(n) + 100));
    }
    assert_eq!(quarantine.all_withheld().count(), 0);
}

#[test]
fn a_withheld_block_is_kept_while_requests_with_it_come() {
    let mut quarantine = Quarantine::default();
    for n in 0..MIN_CRASHES as u32 {
        quarantine.record_crash(SERVICE, &[CRASHING], (n, BEGUN), at(500 * u64::from(n)));
    }
    assert_eq!(withheld(&mut quarantine, at(2000)), [CRASHING]);
    const HOUR_MS: u64 = 3_600_000;
    for hour in (20..200).step_by(20) {
        quarantine.sweep(at(hour * HOUR_MS));
        assert_eq!(withheld(&mut quarantine, at(hour * HOUR_MS)), [CRASHING], "{hour}");
    }
    let changes = quarantine.sweep(at(300 * HOUR_MS));
    assert_eq!(changes.first().map(|c| c.status), Some(SubjectStatus::Released));
}

#[test]
fn a_suspected_request_is_not_repeated_where_one_more_crash_would_withhold_it() {
    let mut quarantine = Quarantine::default();
    let blocks = || [WIDE, CRASHING].into_iter();
    for n in 0..MIN_CRASHES {
        assert_eq!(quarantine.allows_repeat(blocks()), n + 1 < MIN_CRASHES, "{n}");
        quarantine.record_crash(SERVICE, &[CRASHING], (n as u32, BEGUN), at(500 * n as u64));
    }
    assert!(quarantine.allows_repeat([WIDE].into_iter()));
}

#[test]
fn what_a_break_off_tells_depends_on_how_far_the_response_had_come() {
    struct Begun {
        head_ms: Option<u64>,
        has_events: bool,
        progress: Option<Progress>,
    }
    let begun = |head_ms, has_events, progress| Begun {
        head_ms,
        has_events,
        progress,
    };
    for case in [
        begun(None, false, Some(Progress::BeforeHead)),
        begun(Some(10), false, Some(BEGUN)),
        begun(Some(900), false, Some(BEGUN)),
        begun(Some(10), true, Some(BEGUN)),
        begun(Some(290), true, Some(BEGUN)),
        begun(Some(300), true, Some(Progress::GoneOn(3))),
        begun(Some(900), true, Some(Progress::GoneOn(9))),
        begun(Some(2100), false, Some(Progress::GoneOn(21))),
        begun(Some(15_990), true, Some(Progress::GoneOn(159))),
        begun(Some(16_000), true, None),
    ] {
        let at = BreakOff {
            endpoint: 1,
            head_age: case.head_ms.map(Duration::from_millis),
            has_events: case.has_events,
        };
        assert_eq!(at.progress(), case.progress, "{at:?}");
    }
}

#[test]
fn a_response_passes_each_checkpoint_once() {
    let mut checkpoints = Checkpoints::default();
    let passed = [900, 1000, 1900, 4100, 4200, 17_000, 40_000].map(|ms| checkpoints.pass(Duration::from_millis(ms)));
    let time = |tenths| Some(Reached::Time(tenths));
    assert_eq!(passed, [None, time(10), None, time(40), None, time(160), None]);
}

#[test]
fn silence_and_invalid_bytes_are_no_crash() {
    let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let causes = [
        (Cause::Closed, true),
        (Cause::Read { source: reset }, true),
        (Cause::FirstByteTimeout, false),
        (Cause::BetweenBytesTimeout, false),
        (Cause::TotalTimeout, false),
        (Cause::TooLarge, false),
        (ProtocolError::Chunk.into(), false),
    ];
    for (cause, expected) in causes {
        assert_eq!(is_crash(&cause), expected, "{cause:?}");
    }
}

#[test]
fn a_release_holds_against_others_and_moves_the_verdict_to_no_wider_block() {
    let mut instances = [(); 2].map(|()| Quarantine::default());
    for n in 0..MIN_CRASHES as u32 {
        instances[0].record_crash(SERVICE, &[WIDE, CRASHING], (n, BEGUN), at(500 * u64::from(n)));
        instances[0].record_crash(SERVICE, &[OTHER], (10 + n, BEGUN), at(500 * u64::from(n)));
    }
    let [mut operated, mut peer] = instances;
    assert_eq!(withheld(&mut operated, at(2000)), [CRASHING, OTHER]);
    tell(&mut operated, &mut peer, at(2000));
    assert_eq!(withheld(&mut peer, at(2100)), [CRASHING, OTHER]);
    operated.release(CRASHING, at(2200));
    tell(&mut peer, &mut operated, at(2300));
    assert_eq!(withheld(&mut operated, at(2400)), [OTHER]);
    tell(&mut operated, &mut peer, at(2400));
    assert_eq!(withheld(&mut peer, at(2500)), [OTHER]);
    for n in 20..20 + MIN_CRASHES as u32 {
        peer.record_crash(SERVICE, &[WIDE, CRASHING], (n, BEGUN), at(3000 + 500 * u64::from(n)));
    }
    assert_eq!(withheld(&mut peer, at(15_000)), [CRASHING, OTHER], "armed again");
}

#[test]
fn a_listed_subject_is_released_once() {
    let mut quarantine = Quarantine::default();
    for n in 0..MIN_CRASHES as u32 {
        quarantine.record_crash(SERVICE, &[CRASHING], (n, BEGUN), at(500 * u64::from(n)));
    }
    let mut releases = Releases::at_start([CRASHING]);
    let reloads: [(&[Subject], &[Releasing]); 8] = [
        (&[CRASHING], &[Releasing::Done]),
        (&[], &[]),
        (&[CRASHING], &[Releasing::NotWithheld]),
        (&[OTHER, CRASHING], &[Releasing::NotWithheld, Releasing::Done]),
        (&[], &[]),
        (&[CRASHING], &[Releasing::Due]),
        (&[CRASHING], &[Releasing::Done]),
        (&[OTHER], &[Releasing::NotWithheld]),
    ];
    for (n, (listed, expected)) in reloads.into_iter().enumerate() {
        if n == 3 {
            withheld(&mut quarantine, at(3000));
        }
        let decided = releases.reload(listed, &quarantine);
        let decided: Vec<Releasing> = decided.into_iter().map(|(_, releasing)| releasing).collect();
        assert_eq!(decided, expected, "{n}");
    }
}

/// Guards against decisions that depend on the order in which instances tell each other, and against tables that grow.
#[test]
fn all_instances_agree_in_the_end_and_stay_bounded() {
    play_schedules(2048, 120, 400);
}

/// The same with more crashes than are kept.
#[test]
fn all_instances_agree_on_many_crashes_in_the_end() {
    play_schedules(16_384, 600, 40);
}

/// Schedules of crashes, responses and digests, drawn from so many bytes.
fn play_schedules(bytes: u32, max_events: u32, max_gap_ms: u64) {
    each_seed(bytes, 12, |u| {
        let mut instances = [(); 4].map(|()| Quarantine::default());
        let mut now = at(1000);
        for n in 0..u.int_in_range(20..=max_events)? {
            now = now.after(Duration::from_millis(u.int_in_range(0..=max_gap_ms)?));
            let who: usize = u.int_in_range(0..=3)?;
            match u.int_in_range(0..=5)? {
                0 => {
                    let progress =
                        *u.choose(&[Progress::BeforeHead, BEGUN, Progress::GoneOn(7), Progress::GoneOn(50)])?;
                    instances[who].record_crash(
                        SERVICE,
                        &[WIDE, Subject::Block(u.int_in_range(2..=4)?), REQUEST],
                        (n, progress),
                        now,
                    );
                }
                1 => {
                    let reached = *u.choose(&[Reached::Time(10), Reached::Time(20), Reached::End])?;
                    instances[who].record_good(SERVICE, &[WIDE, OTHER, NEIGHBOUR], reached, now);
                }
                _ => {
                    let to: usize = u.int_in_range(0..=3)?;
                    let told = instances[who].entries(now);
                    instances[to].learn(&told, now);
                }
            }
        }
        for round in 0..20 {
            now = now.after(Duration::from_millis(1100));
            for from in 0..4 {
                let told = instances[from].entries(now);
                for to in (0..4).filter(|to| *to != from) {
                    instances[to].learn(&told, now);
                }
            }
            let decisions: Vec<Vec<Subject>> = instances.iter_mut().map(|i| withheld(i, now)).collect();
            let agree = decisions.windows(2).all(|pair| pair[0] == pair[1]);
            assert!(agree || round < 19, "{decisions:?}");
        }
        Ok(())
    });
}

/// Of many crashes in a short time only the latest were kept, which are too few moments for a verdict.
#[test]
fn a_block_that_crashes_many_endpoints_a_second_is_withheld() {
    for (gap_ms, progress) in [
        (10, BEGUN),
        (30, BEGUN),
        (10, Progress::BeforeHead),
        (30, Progress::BeforeHead),
    ] {
        let mut quarantine = Quarantine::default();
        for n in 0..1000 / gap_ms {
            quarantine.record_crash(SERVICE, &[CRASHING], (n as u32, progress), at(gap_ms * n));
        }
        let found = withheld(&mut quarantine, at(1000));
        assert_eq!(found, [CRASHING], "{progress:?} each {gap_ms} ms");
    }
}

#[test]
fn tables_are_bounded() {
    let mut quarantine = Quarantine::default();
    for n in 0..MIN_CRASHES as u32 {
        quarantine.record_crash(SERVICE, &[CRASHING], (n, BEGUN), at(500 * u64::from(n)));
    }
    for n in 0..9_000_u64 {
        quarantine.record_crash(SERVICE, &[Subject::Request(1000 + n)], (n as u32, BEGUN), at(5000 + n));
        quarantine.record_good(SERVICE, &[Subject::Request(100_000 + n)], Reached::End, at(5000 + n));
    }
    assert_eq!(
        withheld(&mut quarantine, at(30_000)),
        [CRASHING],
        "the strongest evidence stays"
    );
    let told = quarantine.entries(at(40_000));
    assert!(
        told.len() <= 4 && told.iter().any(|entry| entry.subject == CRASHING),
        "{told:?}"
    );
}

/// Digests of an instance come this often.
const TELL_INTERVAL_MS: u64 = 100;

/// Crashes until no instance sends requests any more that crash endpoints; all instances start at once.
struct Restart {
    name: &'static str,
    instances: usize,
    /// Interval between two such requests in milliseconds.
    gap_ms: u64,
    progress: Progress,
    /// Whether all have the same content.
    is_one_request: bool,
    /// Most endpoints that crash.
    most: usize,
}

impl Restart {
    fn crashes(&self) -> usize {
        let mut fleet: Vec<Quarantine> = (0..self.instances).map(|_| Quarantine::default()).collect();
        let mut crashes = 0;
        for ms in 0..20_000_u64 {
            let now = at(1000 + ms);
            let sender = (ms / self.gap_ms) as usize % self.instances;
            let request = if self.is_one_request {
                REQUEST
            } else {
                Subject::Request(1000 + ms)
            };
            let block = if self.is_one_request { OTHER } else { CRASHING };
            let is_due = ms.is_multiple_of(self.gap_ms);
            if is_due && fleet[sender].withheld([block, request].into_iter(), now).is_none() {
                crashes += 1;
                fleet[sender].record_crash(SERVICE, &[WIDE, block, request], (ms as u32, self.progress), now);
            }
            if ms % TELL_INTERVAL_MS == 0 {
                let told: Vec<_> = fleet.iter_mut().flat_map(|from| from.entries(now)).collect();
                for to in &mut fleet {
                    // Other requests are served.
                    to.record_good(SERVICE, &[WIDE, SOUND], Reached::End, now);
                    to.learn(&told, now);
                }
            }
        }
        crashes
    }
}

/// A verdict is lost when all instances start at once. What that costs is bounded.
#[test]
fn a_fleet_that_starts_at_once_loses_few_endpoints_more() {
    let restart = |name, instances, gap_ms, progress, is_one_request, most| Restart {
        name,
        instances,
        gap_ms,
        progress,
        is_one_request,
        most,
    };
    for case in [
        restart("a block, seldom", 9, 1000, BEGUN, false, 3),
        restart(
            "a block before the head, seldom",
            9,
            1000,
            Progress::BeforeHead,
            false,
            4,
        ),
        restart("a block, often", 9, 100, BEGUN, false, 9),
        restart(
            "a block before the head, often",
            9,
            100,
            Progress::BeforeHead,
            false,
            12,
        ),
        restart("a request, seldom", 9, 1000, BEGUN, true, 3),
        restart("a request, often", 9, 100, BEGUN, true, 4),
        restart("a request, large fleet", 60, 100, BEGUN, true, 4),
        restart("a block, large fleet", 60, 100, BEGUN, false, 9),
    ] {
        let crashes = case.crashes();
        println!("{}: {crashes} crashes", case.name);
        assert!(crashes <= case.most, "{}: {crashes} crashes", case.name);
    }
}
