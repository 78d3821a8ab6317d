//! Which software a stream may go on at, by what instances know together.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Endpoint, KnownEndpoint};
use celerytide_edge::software::{Doubt, History, Knowledge, Replies, Software, Streams, decide, software, stream_name};
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

const SERVICE: &str = "engines";
/// Time before a take-up within which its stream can have begun, with the time for which others lag.
const WINDOW: Duration = Duration::from_secs(16);
/// Longest life of a stream in the random schedules.
const LIFE_MS: u64 = 6000;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(ms))
}

fn endpoint(id: &str, version: &str) -> KnownEndpoint {
    KnownEndpoint::new(Rc::new(Endpoint {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9100)),
        zone: "z1".to_owned(),
        slots: 8,
        leaving: false,
        cold_remaining: Duration::ZERO,
        start: Some(1),
        version: version.to_owned(),
        sequence: None,
    }))
}

fn software_of(version: &str) -> Software {
    software(&endpoint("e", version).endpoint)
}

struct Case {
    name: &'static str,
    own: Knowledge,
    others: &'static [Knowledge],
    /// Other instances that were asked and didn't reply.
    silent: usize,
    decided: Result<Software, Doubt>,
}

const CASES: [Case; 13] = [
    Case {
        name: "begun here",
        own: Knowledge::Begun(1),
        others: &[],
        silent: 0,
        decided: Ok(1),
    },
    Case {
        name: "told to another",
        own: Knowledge::Several,
        others: &[Knowledge::Several, Knowledge::Begun(1)],
        silent: 0,
        decided: Ok(1),
    },
    Case {
        name: "told in two ways",
        own: Knowledge::Several,
        others: &[Knowledge::Begun(1), Knowledge::Begun(2)],
        silent: 0,
        decided: Err(Doubt::Several),
    },
    Case {
        name: "several versions, and nobody knows the stream",
        own: Knowledge::Several,
        others: &[Knowledge::Unsure],
        silent: 0,
        decided: Err(Doubt::Several),
    },
    Case {
        name: "alone here, several elsewhere",
        own: Knowledge::Sole(1),
        others: &[Knowledge::Several],
        silent: 0,
        decided: Err(Doubt::Several),
    },
    Case {
        name: "alone here, and there is nobody else",
        own: Knowledge::Sole(1),
        others: &[],
        silent: 0,
        decided: Ok(1),
    },
    Case {
        name: "alone here, and nobody replies",
        own: Knowledge::Sole(1),
        others: &[],
        silent: 1,
        decided: Err(Doubt::Unsure),
    },
    Case {
        name: "alone here, and most are silent",
        own: Knowledge::Sole(1),
        others: &[Knowledge::Sole(1)],
        silent: 2,
        decided: Err(Doubt::Unsure),
    },
    Case {
        name: "alone here, and as many reply as are silent",
        own: Knowledge::Sole(1),
        others: &[Knowledge::Sole(1)],
        silent: 1,
        decided: Ok(1),
    },
    Case {
        name: "begun here, and nobody replies",
        own: Knowledge::Begun(1),
        others: &[],
        silent: 3,
        decided: Ok(1),
    },
    Case {
        name: "just started, another has seen it alone",
        own: Knowledge::Unsure,
        others: &[Knowledge::Unsure, Knowledge::Sole(1)],
        silent: 0,
        decided: Ok(1),
    },
    Case {
        name: "two that have seen another one alone",
        own: Knowledge::Sole(1),
        others: &[Knowledge::Sole(2)],
        silent: 0,
        decided: Err(Doubt::Several),
    },
    Case {
        name: "all have just started",
        own: Knowledge::Unsure,
        others: &[Knowledge::Unsure],
        silent: 0,
        decided: Err(Doubt::Unsure),
    },
];

#[test]
fn in_doubt_a_stream_does_not_go_on() {
    for case in &CASES {
        let others = Replies {
            known: case.others.to_vec(),
            silent: case.silent,
        };
        assert_eq!(decide(case.own, &others), case.decided, "{}", case.name);
    }
}

#[test]
fn software_is_alone_only_when_the_other_has_been_gone_for_the_window() {
    let (old, new) = (endpoint("a", "v1"), endpoint("b", "v2"));
    let services = [SERVICE.to_owned()];
    let mut history = History::default();
    assert!(!history.covers(Duration::ZERO, at(0)), "nothing was seen yet");
    assert!(history.update([&old].into_iter(), at(1000)), "the first one is new");
    assert!(!history.update([&old].into_iter(), at(2000)));
    assert!(history.update([&old, &new].into_iter(), at(3000)));
    assert_eq!(history.within(&services, WINDOW, at(3000)).len(), 2);
    assert!(!history.update([&new].into_iter(), at(10_000)));
    assert_eq!(history.within(&services, WINDOW, at(25_000)).len(), 2, "gone for 15 s");
    assert_eq!(history.within(&services, WINDOW, at(26_000)), [software_of("v2")]);
    assert!(history.within(&["other".to_owned()], WINDOW, at(26_000)).is_empty());
    assert!(!history.covers(WINDOW, at(16_000)) && history.covers(WINDOW, at(17_000)));
}

#[test]
fn what_an_instance_heard_first_of_a_stream_holds_and_tables_are_bounded() {
    let stream = stream_name("request");
    let (mut begins, mut hears) = (Streams::default(), Streams::default());
    begins.begin(stream, 1, at(1000));
    begins.tell(stream, 2);
    let first = begins.take_untold(8, at(1010));
    assert_eq!(first.len(), 1);
    assert_eq!(begins.take_untold(8, at(1020)).len(), 1, "told twice");
    assert!(begins.take_untold(8, at(1030)).is_empty());
    hears.learn(&first, at(1012));
    hears.begin(stream, 2, at(2000));
    assert_eq!(hears.software(stream), Some(1));
    for n in 0..40_000_u64 {
        hears.begin(n, 1, at(3000 + n / 100));
    }
    assert!(hears.count() <= 16_384, "{}", hears.count());
    hears.begin(stream, 1, at(1_000_000));
    assert_eq!(hears.count(), 1, "old ones are forgotten");
}

/// An instance of the random schedules.
#[derive(Default)]
struct Instance {
    history: History,
    streams: Streams,
}

impl Instance {
    fn knowledge(&self, stream: u64, now: BootTime) -> Knowledge {
        if let Some(software) = self.streams.software(stream) {
            return Knowledge::Begun(software);
        }
        match self.history.within(&[SERVICE.to_owned()], WINDOW, now).as_slice() {
            [sole] if self.history.covers(WINDOW, now) => Knowledge::Sole(*sole),
            [] | [_] => Knowledge::Unsure,
            _ => Knowledge::Several,
        }
    }
}

/// Guards against streams that go on at the wrong software after any order of releases, deaths, lost words and take-ups.
#[test]
fn no_stream_goes_on_at_another_software() {
    each_seed(2048, 40, |u| {
        let versions = ["v1", "v2", "v3"];
        let mut published = vec![0_usize];
        let mut instances = [(); 4].map(|()| Instance::default());
        let mut begun: Vec<(u64, u64, Software)> = Vec::new();
        let mut now_ms = 1000_u64;
        for n in 0..u.int_in_range(40..=160)? {
            now_ms += u.int_in_range(0..=1500)?;
            let now = at(now_ms);
            let who: usize = u.int_in_range(0..=3)?;
            match u.int_in_range(0..=9)? {
                0 => published = vec![u.int_in_range(0..=2)?],
                1 => published = vec![u.int_in_range(0..=1)?, 2],
                2 => instances[who] = Instance::default(),
                3..=5 => {
                    // A release is heard of before a stream begins at it.
                    let version = versions[published[usize::from(u.arbitrary::<bool>()?) % published.len()]];
                    let software = software_of(version);
                    instances[who].streams.begin(n, software, now);
                    begun.push((n, now_ms, software));
                    let told = u.int_in_range(0..=3_usize)?;
                    instances[who].streams.tell(n, 1);
                    let entries = instances[who].streams.take_untold(64, now);
                    instances[told].streams.learn(&entries, now);
                }
                _ => {
                    let mut alive = begun.iter().filter(|(_, began, _)| now_ms - began < LIFE_MS);
                    let Some((stream, _, software)) = alive.next_back() else {
                        continue;
                    };
                    let own = instances[who].knowledge(*stream, now);
                    let asked: usize = u.int_in_range(0..=3)?;
                    let others = Replies {
                        known: vec![instances[asked].knowledge(*stream, now)],
                        silent: 0,
                    };
                    if let Ok(decided) = decide(own, &others) {
                        assert_eq!(decided, *software, "{own:?} {others:?}");
                    }
                }
            }
            let known: Vec<KnownEndpoint> = published.iter().map(|v| endpoint(versions[*v], versions[*v])).collect();
            for instance in &mut instances {
                instance.history.update(known.iter(), now);
            }
        }
        Ok(())
    });
}
