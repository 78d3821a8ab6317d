//! The choice of readers and followers in fleets of several sizes.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_edge::peers::readers::{ChangeSource, Readers};
use celerytide_types::BootTime;

/// Age of an instance that knows the whole fleet.
const ESTABLISHED_AGE: Duration = Duration::from_secs(60);

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

fn fleet(count: usize) -> Vec<SocketAddr> {
    let instance = |n: usize| SocketAddr::from(([10, 1, (n / 200) as u8, (n % 200) as u8], 8229));
    (0..count).map(instance).collect()
}

fn others(fleet: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
    fleet.iter().filter(|addr| **addr != own).copied().collect()
}

fn change_source(fleet: &[SocketAddr], own: SocketAddr, readers: &Readers, now: BootTime) -> ChangeSource {
    readers.change_source(own, &others(fleet, own), ESTABLISHED_AGE, now)
}

/// A fleet, and how many of its instances may read the store.
struct FleetCase {
    name: &'static str,
    size: usize,
    reading: std::ops::RangeInclusive<usize>,
}

const FLEETS: [FleetCase; 6] = [
    FleetCase {
        name: "with one relay",
        size: 64,
        reading: 6..=6,
    },
    FleetCase {
        name: "small",
        size: 9,
        reading: 9..=9,
    },
    FleetCase {
        name: "just large",
        size: 18,
        reading: 2..=2,
    },
    FleetCase {
        name: "large",
        size: 88,
        reading: 6..=6,
    },
    FleetCase {
        name: "planned size",
        size: 360,
        reading: 6..=6,
    },
    FleetCase {
        name: "beyond the planned size",
        size: 1000,
        reading: 6..=6,
    },
];

/// Instances between `own` and the store.
fn steps(fleet: &[SocketAddr], sources: &[ChangeSource], own: SocketAddr) -> usize {
    let mut at = own;
    for steps in 0..fleet.len() {
        let index = fleet.iter().position(|addr| *addr == at).expect("a live instance");
        match sources[index] {
            ChangeSource::Store => return steps,
            ChangeSource::Peer(next) => at = next,
        }
    }
    fleet.len()
}

#[test]
fn few_instances_read_the_store_and_all_others_reach_it_through_them() {
    for case in &FLEETS {
        let fleet = fleet(case.size);
        let readers = Readers::default();
        let sources: Vec<ChangeSource> = fleet
            .iter()
            .map(|own| change_source(&fleet, *own, &readers, at(0)))
            .collect();
        let reading: Vec<SocketAddr> = fleet
            .iter()
            .zip(&sources)
            .filter(|(_, change_source)| **change_source == ChangeSource::Store)
            .map(|(own, _)| *own)
            .collect();
        assert!(
            case.reading.contains(&reading.len()),
            "{}: {}",
            case.name,
            reading.len()
        );
        for (own, change_source) in fleet.iter().zip(&sources) {
            let steps = steps(&fleet, &sources, *own);
            assert!(
                steps <= 2,
                "{}: {own} is {steps} steps from the store by {change_source:?}",
                case.name
            );
        }
        let followers = |reader: &SocketAddr| sources.iter().filter(|o| **o == ChangeSource::Peer(*reader)).count();
        let most = fleet.iter().map(followers).max();
        assert!(most <= Some(30), "{}: {most:?} follow one reader", case.name);
    }
}

#[test]
fn an_instance_that_knows_few_others_reads_the_store() {
    let fleet = fleet(88);
    for own in &fleet {
        let few = others(&fleet[..10], *own);
        assert_eq!(
            Readers::default().change_source(*own, &few, ESTABLISHED_AGE, at(0)),
            ChangeSource::Store
        );
        let new = Readers::default().change_source(*own, &others(&fleet, *own), Duration::from_secs(1), at(0));
        assert_eq!(new, ChangeSource::Store, "it has just started");
    }
}

#[test]
fn a_failed_reader_is_left_at_once_and_avoided_for_a_while() {
    let fleet = fleet(88);
    for own in &fleet {
        let mut readers = Readers::default();
        let ChangeSource::Peer(first) = change_source(&fleet, *own, &readers, at(0)) else {
            continue;
        };
        readers.reader_failed(first, at(0));
        assert_eq!(change_source(&fleet, *own, &readers, at(0)), ChangeSource::Store);
        assert_eq!(change_source(&fleet, *own, &readers, at(1900)), ChangeSource::Store);
        let next = change_source(&fleet, *own, &readers, at(2100));
        assert!(matches!(next, ChangeSource::Peer(other) if other != first), "{next:?}");
        assert_eq!(
            change_source(&fleet, *own, &readers, at(9000)),
            ChangeSource::Peer(first)
        );
    }
}

#[test]
fn an_instance_with_a_follower_reads_the_store_and_is_soon_followed_again() {
    let fleet = fleet(88);
    let follows = |own: &&SocketAddr| {
        matches!(
            change_source(&fleet, **own, &Readers::default(), at(0)),
            ChangeSource::Peer(_)
        )
    };
    let asked = *fleet.iter().find(follows).expect("a follower");
    let mut readers = Readers::default();
    readers.note_follower(at(0));
    assert_eq!(change_source(&fleet, asked, &readers, at(3900)), ChangeSource::Store);
    assert_ne!(change_source(&fleet, asked, &readers, at(4100)), ChangeSource::Store);
    let mut waiting = Readers::default();
    let before = change_source(&fleet, asked, &waiting, at(0));
    waiting.reader_not_ready(at(0));
    assert_eq!(change_source(&fleet, asked, &waiting, at(900)), ChangeSource::Store);
    assert_eq!(
        change_source(&fleet, asked, &waiting, at(1100)),
        before,
        "the same one is asked again"
    );
}
