//! The building blocks of a pool, each on its own: fair queue, ramp, lengths, drain rate, retry budget, placement,
//! limits.

mod common;

use std::time::Duration;

use arbtest::arbtest;
use celerytide_policy::budget::{self, Pressure, RetryBudget};
use celerytide_policy::drain::{self, DrainRate};
use celerytide_policy::fair::FairQueue;
use celerytide_policy::lengths::Lengths;
use celerytide_policy::limits::{
    CustomerRate, EvenSplit, Limit, Limits, Location, ObservedSplit, OwnerSplit, Split, Verdict,
};
use celerytide_policy::placement::PrefixIndex;
use celerytide_policy::ramp::Ramp;
use common::at_ms;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn fair_queue_serves_by_weight() {
    let mut queue = FairQueue::default();
    for item in 0..300_u32 {
        queue.push("large", 1, item);
        queue.push("heavy", 3, 1000 + item);
    }
    queue.push("small", 1, 5000);
    let served: Vec<u32> = (0..101).filter_map(|_| queue.pop(10)).collect();
    let heavy = served.iter().filter(|item| (1000..2000).contains(*item)).count();
    assert!(
        served[..5].contains(&5000),
        "the small customer must not wait behind the large one"
    );
    assert!((74..=76).contains(&heavy), "{heavy} of 100");
}

#[test]
fn fair_queue_replaces_an_estimated_cost_by_the_actual_one() {
    let mut queue = FairQueue::default();
    for item in 0..20_u32 {
        queue.push("a", 1, item);
        queue.push("b", 1, 100 + item);
    }
    assert_eq!(queue.pop(10), Some(0));
    queue.correct("a", 1, 10, 50);
    let served: Vec<u32> = (0..5).filter_map(|_| queue.pop(10)).collect();
    assert_eq!(served, [100, 101, 102, 103, 104]);
}

#[test]
fn fair_queue_agrees_with_a_simple_model() {
    for number in 0..100_u64 {
        arbtest(|u| {
            let mut queue: FairQueue<u32> = FairQueue::default();
            let mut model: Vec<(String, u32)> = Vec::new();
            for item in 0..200 {
                let customer = format!("c{}", u.int_in_range(0..=5)?);
                match u.int_in_range(0..=4)? {
                    0 | 1 => {
                        queue.push(&customer, u.int_in_range(0..=4)?, item);
                        model.push((customer, item));
                    }
                    2 => {
                        let popped = queue.pop(u.int_in_range(0..=100)?);
                        assert_eq!(popped.is_some(), !model.is_empty());
                        model.retain(|(_, held)| Some(*held) != popped);
                    }
                    3 if !model.is_empty() => {
                        let (customer, item) = model.swap_remove(u.choose_index(model.len())?);
                        assert!(queue.remove(&customer, &item));
                    }
                    _ => queue.correct(&customer, 1, u.int_in_range(0..=50)?, u.int_in_range(0..=50)?),
                }
                assert_eq!(queue.len(), model.len());
                let mut items: Vec<u32> = queue.items().collect();
                let mut want: Vec<u32> = model.iter().map(|(_, item)| *item).collect();
                items.sort_unstable();
                want.sort_unstable();
                assert_eq!(items, want);
            }
            Ok(())
        })
        .seed((number << 32) | 4096);
    }
}

#[test]
fn ramp_ignores_answers_from_earlier_epochs() {
    let mut ramp = Ramp::new(16, 2, 1);
    let before = ramp.epoch();
    ramp.record_success(before);
    ramp.record_success(before);
    ramp.record_success(before);
    assert_eq!((ramp.limit(), ramp.is_cold()), (3, false));
    ramp.mark_cold();
    for _ in 0..10 {
        ramp.record_success(before);
    }
    assert_eq!((ramp.limit(), ramp.is_cold()), (2, true));
}

#[test]
fn ramp_adapts_to_changed_slots() {
    let mut ramp = Ramp::new(1, 1, 1);
    ramp.resize(8, 2);
    assert_eq!(ramp.limit(), 2, "a cold endpoint is limited to its cold slots");
    for _ in 0..2 {
        ramp.record_success(ramp.epoch());
    }
    assert_eq!(
        (ramp.limit(), ramp.is_cold()),
        (2, false),
        "one answer for each of its cold slots"
    );
    for _ in 0..6 {
        ramp.record_success(ramp.epoch());
    }
    assert_eq!(ramp.limit(), 8, "it grows by one for each answer up to its new slots");
    ramp.resize(4, 2);
    ramp.resize(8, 2);
    assert_eq!(ramp.limit(), 4, "a limit grows only by answers");
}

#[test]
fn slow_ramp_halves_and_grows_back_by_rounds() {
    let mut ramp = Ramp::new(8, 1, 1);
    for _ in 0..8 {
        ramp.record_success(ramp.epoch());
    }
    assert_eq!(ramp.limit(), 8);
    ramp.record_slow();
    assert_eq!((ramp.limit(), ramp.is_slow()), (4, true));
    for _ in 0..4 {
        ramp.record_success(ramp.epoch());
    }
    assert_eq!(ramp.limit(), 5);
    for _ in 0..(5 + 6 + 7) {
        ramp.record_success(ramp.epoch());
    }
    assert_eq!((ramp.limit(), ramp.is_slow()), (8, false));
}

#[test]
fn lengths_predict_from_past_answers_and_from_tokens_so_far() {
    let mut lengths = Lengths::default();
    for _ in 0..900 {
        lengths.record(100);
    }
    for _ in 0..100 {
        lengths.record(2000);
    }
    assert_eq!(lengths.mean(None), 290);
    assert_eq!(lengths.mean(Some(50)), 50);
    assert_eq!(lengths.quantile(0.5, None), 100);
    assert!(lengths.quantile(0.95, None) >= 1980);
    assert_eq!(lengths.quantile_beyond(0.5, 0), 100);
    assert!(
        lengths.quantile_beyond(0.5, 150) >= 1980,
        "an answer longer than the short ones is a long one"
    );
    let per_token = Duration::from_millis(10);
    assert!(lengths.fits(0.5, None, per_token, Duration::from_secs(2)));
    assert!(!lengths.fits(0.95, None, per_token, Duration::from_secs(2)));
}

#[test]
fn lengths_forget_what_is_old() {
    let mut lengths = Lengths::default();
    for _ in 0..10_000 {
        lengths.record(100);
    }
    for _ in 0..20_000 {
        lengths.record(1000);
    }
    assert!(lengths.quantile(0.25, None) >= 990);
}

#[test]
fn retry_delays_spread_out_refused_clients() {
    let opts = drain::Options {
        floor: Duration::from_millis(100),
        ceiling: Duration::from_secs(120),
    };
    let mut drain = DrainRate::new(opts);
    let mut rng = SmallRng::seed_from_u64(1);
    drain.set_saturated(at_ms(0), true);
    for step in 0..128 {
        drain.record_end(at_ms(100 * step), Duration::from_secs(1));
    }
    let now = at_ms(12_700);
    let returns: Vec<Duration> = (0..500).map(|_| drain.retry_after(now, 100, 16, &mut rng)).collect();
    let mut windows = [0_u32; 1300];
    for wait in returns {
        windows[(wait.as_millis() / 100) as usize] += 1;
    }
    assert_eq!(windows.iter().sum::<u32>(), 500);
    assert!(
        windows.iter().all(|count| *count <= 8),
        "the drain rate is one request in 100 ms"
    );
    assert!(
        windows[..70].iter().all(|count| *count == 0),
        "the queue holds ten seconds of work"
    );
}

#[test]
fn idle_time_does_not_lower_the_drain_rate() {
    let opts = drain::Options {
        floor: Duration::from_millis(100),
        ceiling: Duration::from_secs(60),
    };
    let mut drain = DrainRate::new(opts);
    for step in 0..100 {
        drain.record_end(at_ms(10_000 * step), Duration::from_secs(1));
    }
    let rate = drain.per_second(at_ms(1_000_000), 20).expect("enough requests ended");
    assert!((19.0..21.0).contains(&rate), "{rate}");
}

#[test]
fn budget_bounds_retries_and_allows_none_at_the_peak() {
    let mut budget = RetryBudget::new(budget::Options::default());
    let calm = Pressure {
        queued: 0,
        in_flight: 5,
        capacity: 100,
    };
    let mut made = 0;
    for _ in 0..1000 {
        budget.record_first_try();
        made += u32::from(budget.take_retry(calm));
    }
    assert!((100..=110).contains(&made), "{made}");
    for peak in [Pressure { queued: 1, ..calm }, Pressure { in_flight: 95, ..calm }] {
        let mut budget = RetryBudget::new(budget::Options::default());
        assert!(!budget.take_retry(peak));
    }
}

#[test]
fn prefix_index_finds_the_longest_match() {
    let mut index = PrefixIndex::default();
    index.record(&[1, 2, 3, 4], 7);
    index.record(&[1, 2], 9);
    let found: Vec<(usize, usize)> = index
        .longest_match(&[1, 2, 3, 99])
        .map(|held| (held.endpoint, held.blocks))
        .collect();
    assert_eq!(found, [(7, 3)]);
    let found: Vec<(usize, usize)> = index
        .longest_match(&[1, 2, 88])
        .map(|held| (held.endpoint, held.blocks))
        .collect();
    assert_eq!(found, [(9, 2), (7, 2)]);
    assert_eq!(index.longest_match(&[5]).count(), 0);
    for block in 100..200_000 {
        index.record(&[block], 1);
    }
    assert!(index.len() <= 64 * 1024, "{}", index.len());
}

const LIMIT: Limit = Limit {
    per_second: 10.0,
    burst: 10.0,
};

/// Number of requests within the limit when a customer sends five times its limit for ten seconds.
fn admitted<S: Split>(split: S) -> u32 {
    let mut limits = Limits::new(split);
    let verdicts = (0..500).map(|step| limits.check(at_ms(20 * step), "c", LIMIT));
    verdicts.map(|verdict| u32::from(verdict == Verdict::Admitted)).sum()
}

#[test]
fn each_split_admits_its_part_of_the_limit() {
    assert!((24..=27).contains(&admitted(EvenSplit { entries: 4 })));
    let own = "a".to_owned();
    let entries = vec![own.clone()];
    assert!((108..=110).contains(&admitted(OwnerSplit { own, entries })));
    let alone = admitted(ObservedSplit::new(4));
    assert!(
        (85..=110).contains(&alone),
        "no other entry observed the customer: {alone}"
    );
}

#[test]
fn owner_split_names_one_owner_on_every_entry() {
    let entries: Vec<String> = (0..8).map(|at| format!("entry-{at}")).collect();
    for customer in 0..100 {
        let customer = format!("customer-{customer}");
        let location = |own: &String| {
            let split = OwnerSplit {
                own: own.clone(),
                entries: entries.clone(),
            };
            split.locate(at_ms(0), &customer)
        };
        let here = entries
            .iter()
            .filter(|own| location(own) == Location::Local { share: 1.0 })
            .count();
        assert_eq!(here, 1, "{customer}");
    }
}

#[test]
fn observed_split_follows_the_rates_of_peers() {
    let mut split = ObservedSplit::new(2);
    for step in 0..100 {
        split.record_request(at_ms(100 * step), "c");
    }
    let others = [CustomerRate {
        customer: "c".to_owned(),
        per_second: 30.0,
    }];
    split.update_peers(2, others);
    let Location::Local { share } = split.locate(at_ms(10_000), "c") else {
        panic!("the limit is enforced at another entry")
    };
    assert!((0.25..0.32).contains(&share), "{share}");
}
