//! What several instances together start at cold endpoints, under random partitions, restarts and changes of the store.
//!
//! Counted is what an instance starts at an endpoint that it can know to be cold. It can't know of changes that it hasn't
//! read yet, and a process doesn't know which zones were taken back before it started.

mod cold_fleet;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_seeds::each_seed;
use cold_fleet::{ENDPOINTS, Instance, Kind, MAX_READ_MS, STEP_MS, Starts, Store, fleet, restart, step, violation};

/// Length of a simulation; longer than an instance that isn't heard shares the rates of cold endpoints.
const LENGTH_MS: u64 = 120_000;
/// Time from which all instances have been running for long.
const CALM_MS: u64 = 10_000;
/// Time after its start within which a process that isn't cut off has heard of all others.
const KNOWS_ALL_MS: u64 = 15_000;
/// Longest time between two changes, in most cases and in some.
const SHORT_MS: u64 = 6000;
const LONG_MS: u64 = 60_000;
const MAX_INSTANCES: usize = 20;
/// Instances up to which low rates are simulated, see `many_groups_send_their_first_requests_at_once`.
const SMALL_FLEET: usize = 9;

/// A random change of the fleet or the store. A process starts only while all hear each other, and no link is cut before
/// it has heard of the others.
fn change(all: &mut [Instance], store: &mut Store, ms: u64, u: &mut Unstructured<'_>) -> Result<()> {
    let n = u.int_in_range(0..=all.len() - 1)?;
    let endpoint = u.int_in_range(0..=ENDPOINTS - 1)?;
    let is_silent = store.endpoints[endpoint].is_silent;
    let may_cut = all.iter().all(|i| i.group == 0 && ms >= i.started_ms + KNOWS_ALL_MS);
    match u.int_in_range(0..=15)? {
        0..=2 if may_cut => {
            let groups = u.int_in_range(2..=all.len().max(2))?;
            for instance in all.iter_mut() {
                instance.group = u.int_in_range(0..=groups - 1)?;
            }
        }
        3 => heal(all),
        4 => all[n].sees_store ^= true,
        5 => all.iter_mut().for_each(|i| i.sees_store = true),
        6 => {
            heal(all);
            restart(all, n, ms);
        }
        7 => {
            heal(all);
            (0..all.len()).for_each(|n| restart(all, n, ms));
        }
        8 | 9 if !is_silent => store.silence(endpoint),
        8..=10 if is_silent => store.write(endpoint, Kind::BackAfterSilence, ms),
        10 | 11 => store.write(endpoint, Kind::ColdAgain, ms),
        12 | 13 => store.turn_zone(endpoint % 2, ms),
        _ => store.write(endpoint, Kind::Started, ms),
    }
    Ok(())
}

fn heal(all: &mut [Instance]) {
    all.iter_mut().for_each(|i| i.group = 0);
}

fn check(u: &mut Unstructured<'_>) -> Result<()> {
    let count = u.int_in_range(1..=MAX_INSTANCES)?;
    let rates: &[f64] = if count <= SMALL_FLEET {
        &[6.0, 20.0, 60.0]
    } else {
        &[20.0, 60.0]
    };
    let period_ms = *u.choose(&[1500, 4000, 20_000])?;
    let mut store = Store::new(*u.choose(rates)?, period_ms);
    let mut all = fleet(count, |_| Ok(u.int_in_range(1..=MAX_READ_MS / STEP_MS)? * STEP_MS))?;
    let mut next_change = CALM_MS;
    let mut starts = Starts::default();
    for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        if ms >= next_change {
            change(&mut all, &mut store, ms, u)?;
            let longest = if u.ratio(1, 8)? { LONG_MS } else { SHORT_MS };
            next_change = ms + u.int_in_range(1..=longest / STEP_MS)? * STEP_MS;
        }
        step(&mut all, &mut store, ms, &mut starts);
    }
    let broken = violation(&starts, &store);
    assert!(broken.is_none(), "{count} instances, {broken:?}");
    Ok(())
}

/// Guards against: instances that differ in what they know of each other start more at a cold endpoint than it takes.
#[test]
fn instances_together_overload_no_cold_endpoint() {
    each_seed(2000, 8, check);
}

/// An endpoint becomes cold while the instances are cut off from each other in groups.
struct CutCase {
    name: &'static str,
    instances: usize,
    groups: usize,
    /// Whether all start again when the links are cut.
    start_again: bool,
    cold_rate: f64,
}

/// Time from the cut to the endpoint's start; longer than silent instances share its rate.
const CUT_MS: u64 = 50_000;
/// Time from the endpoint's start to the next one, behind the same cut.
const AGAIN_MS: u64 = 10_000;

/// What breaks the bound in each case.
fn play(cases: &[CutCase]) -> Vec<String> {
    let mut broken = Vec::new();
    for case in cases {
        let mut store = Store::new(case.cold_rate, 4000);
        let mut all = fleet(case.instances, |_| Ok(STEP_MS)).expect("a fleet");
        let mut starts = Starts::default();
        for ms in (0..CALM_MS + CUT_MS + AGAIN_MS + 6000).step_by(STEP_MS as usize) {
            if ms == CALM_MS {
                for n in 0..all.len() {
                    all[n].group = n % case.groups;
                    if case.start_again {
                        restart(&mut all, n, ms);
                    }
                }
            }
            if [CALM_MS + CUT_MS, CALM_MS + CUT_MS + AGAIN_MS].contains(&ms) {
                store.write(0, Kind::Started, ms);
            }
            step(&mut all, &mut store, ms, &mut starts);
        }
        assert!(!starts.is_empty(), "{}: none was started", case.name);
        broken.extend(violation(&starts, &store).map(|v| format!("{}: {v}", case.name)));
    }
    broken
}

/// Guards against: in each of several groups that hear only themselves, all selected instances send at the same moment.
#[test]
fn many_groups_send_their_first_requests_at_once() {
    let case = |name, instances, groups, cold_rate| CutCase {
        name,
        instances,
        groups,
        start_again: false,
        cold_rate,
    };
    let broken = play(&[
        case("nine alone, 1 a second", 9, 9, 1.0),
        case("24 in six groups, 6 a second", 24, 6, 6.0),
        case("60 in fifteen groups, 20 a second", 60, 15, 20.0),
    ]);
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against: processes that start while they hear nobody know only the seeds, and each takes the part of one of few.
#[test]
fn processes_that_start_cut_off_take_too_large_a_part() {
    let case = |name, instances, groups| CutCase {
        name,
        instances,
        groups,
        start_again: true,
        cold_rate: 20.0,
    };
    let broken = play(&[
        case("nine", 9, 9),
        case("24", 24, 24),
        case("60", 60, 60),
        case("24 in pairs", 24, 12),
        case("60 in three groups with a seed each", 60, 3),
        case("60 in six groups, three with a seed", 60, 6),
    ]);
    assert!(broken.is_empty(), "{broken:#?}");
}
