//! Endpoints that crash for reasons of their own withhold nothing, whatever waits or runs there.

use std::ops::RangeInclusive;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_edge::quarantine::{BreakOff, Checkpoints, Quarantine, Reached, Subject};
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

const SERVICE: u32 = 1;
const TICK: Duration = Duration::from_millis(50);
const TICKS: u32 = 500;
/// Blocks of the widest kind, of kinds of requests and of customers.
const KINDS: u64 = 3;
const CUSTOMERS: u64 = 20;

/// Milliseconds that responses take.
struct Times {
    /// To the head.
    to_head: RangeInclusive<u64>,
    /// From the head to the end.
    length: RangeInclusive<u64>,
}

const SHORT: Times = Times {
    to_head: 30..=600,
    length: 300..=4000,
};
/// Long prompts, or engines at which requests wait.
const LONG: Times = Times {
    to_head: 500..=4000,
    length: 1000..=8000,
};

/// A request in flight.
struct Running {
    endpoint: usize,
    sent_at: BootTime,
    /// Time to the head of the response.
    to_head: Duration,
    /// Time from the head to the end.
    length: Duration,
    checkpoints: Checkpoints,
    subjects: [Subject; 4],
}

impl Running {
    fn draw(u: &mut Unstructured<'_>, id: u64, endpoint: usize, now: BootTime, times: &Times) -> Result<Running> {
        let kind = u.int_in_range(0..=KINDS - 1)?;
        let customer = u
            .int_in_range(0..=CUSTOMERS - 1)?
            .min(u.int_in_range(0..=CUSTOMERS - 1)?);
        Ok(Running {
            endpoint,
            sent_at: now,
            to_head: Duration::from_millis(u.int_in_range(times.to_head.clone())?),
            length: Duration::from_millis(u.int_in_range(times.length.clone())?),
            checkpoints: Checkpoints::default(),
            subjects: [
                Subject::Block(1),
                Subject::Block(100 + kind),
                Subject::Block(1000 + 100 * kind + customer),
                Subject::Request(id),
            ],
        })
    }

    /// Time since the head; `None` before it.
    fn head_age(&self, now: BootTime) -> Option<Duration> {
        now.since(self.sent_at).checked_sub(self.to_head)
    }

    /// Records that the response goes on, and tells whether it has ended.
    fn go_on(&mut self, quarantine: &mut Quarantine, now: BootTime) -> bool {
        let Some(age) = self.head_age(now) else {
            return false;
        };
        let has_ended = age >= self.length;
        let passed = self.checkpoints.pass(age);
        if let Some(reached) = if has_ended { Some(Reached::End) } else { passed } {
            quarantine.record_good(SERVICE, &self.subjects, reached, now);
        }
        has_ended
    }

    fn break_off(&self, quarantine: &mut Quarantine, endpoint: u32, now: BootTime) {
        let head_age = self.head_age(now);
        let at = BreakOff {
            endpoint,
            head_age,
            has_events: head_age.is_some(),
        };
        if let Some(progress) = at.progress() {
            quarantine.record_crash(SERVICE, &self.subjects, (endpoint, progress), now);
        }
    }
}

/// Plays series of crashes by chance.
fn play(times: &Times) {
    each_seed(16_384, 40, |u| {
        let endpoints = u.int_in_range(6..=12)?;
        let per_tick = u.int_in_range(10..=40)?;
        let gap_ticks = u.int_in_range(20..=120)?;
        let mut quarantine = Quarantine::default();
        let mut running: Vec<Running> = Vec::new();
        let mut starts = vec![0_u32; endpoints];
        for tick in 0..TICKS {
            let now = BootTime::from_start(Duration::from_secs(1) + TICK * tick);
            running.retain_mut(|request| !request.go_on(&mut quarantine, now));
            if u.ratio(per_tick, 20_u32.max(per_tick))? {
                let endpoint = u.choose_index(endpoints)?;
                running.push(Running::draw(u, u64::from(tick), endpoint, now, times)?);
            }
            if u.ratio(1, gap_ticks)? {
                let crashed = u.choose_index(endpoints)?;
                starts[crashed] += 1;
                let endpoint = crashed as u32 + 100 * starts[crashed];
                let broken = running.extract_if(.., |request| request.endpoint == crashed);
                broken.for_each(|request| request.break_off(&mut quarantine, endpoint, now));
            }
            let withheld: Vec<Subject> = quarantine.all_withheld().collect();
            assert!(
                withheld.is_empty(),
                "{withheld:?} at {tick} with {endpoints} endpoints, one crash in {gap_ticks} ticks"
            );
        }
        Ok(())
    });
}

/// Guards against verdicts on blocks that waited or ran at endpoints which crashed by chance.
#[test]
fn crashes_of_endpoints_by_themselves_withhold_nothing() {
    play(&SHORT);
}

/// Blocks that waited for seconds at four endpoints, with no response that ended in between, were withheld.
#[test]
fn crashes_of_endpoints_with_long_waits_withhold_a_block() {
    play(&LONG);
}
