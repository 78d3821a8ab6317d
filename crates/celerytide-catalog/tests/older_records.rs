//! Records of an endpoint that reach a view although a newer one was known: by a late write, a list, or a relay.

mod records;

use std::time::Duration;

use celerytide_catalog::{Change, Endpoint, Snapshot, View};
use records::*;

/// A known record, and what follows.
struct OlderCase {
    name: &'static str,
    known: fn() -> Endpoint,
    steps: &'static [Step],
}

const CASES: [OlderCase; 28] = [
    OlderCase {
        name: "watch: an older heartbeat after the report of a departure, until the next heartbeat",
        known: || ready(1, 3),
        steps: &[
            step(1000, Event::Changes(|| written(leaving(1, 18))), None),
            step(4000, Event::Changes(|| written(ready(1, 17))), None),
            step(5000, Event::Changes(|| written(leaving(1, 21))), None),
            step(20_000, UNCHANGED, None),
        ],
    },
    OlderCase {
        name: "watch: the same, until the record is deleted",
        known: || ready(1, 3),
        steps: &[
            step(1000, Event::Changes(|| written(leaving(1, 18))), None),
            step(4000, Event::Changes(|| written(ready(1, 17))), None),
            step(8000, Event::Changes(gone), None),
            step(20_000, UNCHANGED, None),
        ],
    },
    OlderCase {
        name: "watch: two older heartbeats in a row",
        known: || leaving(1, 18),
        steps: &[
            step(1000, Event::Changes(|| written(ready(1, 16))), None),
            step(2000, Event::Changes(|| written(ready(1, 17))), None),
            step(3000, UNCHANGED, None),
        ],
    },
    OlderCase {
        name: "watch: an older report of a departure that the endpoint took back",
        known: || leaving(1, 17),
        steps: &[
            step(1000, Event::Changes(|| written(ready(1, 18))), Some(1)),
            step(2000, Event::Changes(|| written(leaving(1, 17))), Some(1)),
        ],
    },
    OlderCase {
        name: "watch: a record with the same sequence doesn't end a departure",
        known: || leaving(1, 18),
        steps: &[step(1000, Event::Changes(|| written(ready(1, 18))), None)],
    },
    OlderCase {
        name: "watch: an older record that the store keeps, so that a live endpoint renews it",
        known: || leaving(1, 18),
        steps: &[
            step(1000, Event::Changes(|| written(ready(1, 16))), None),
            step(5700, UNCHANGED, None),
            step(5800, UNCHANGED, Some(1)),
        ],
    },
    OlderCase {
        name: "watch: the store is silent when the older record could hold",
        known: || leaving(1, 18),
        steps: &[
            step(1000, Event::Changes(|| written(ready(1, 16))), None),
            step(9000, Event::Silence, None),
            step(9100, Event::AfterOutage(Vec::new), None),
            step(10_900, UNCHANGED, None),
            step(13_800, UNCHANGED, None),
            step(13_900, UNCHANGED, Some(1)),
        ],
    },
    OlderCase {
        name: "list: an older heartbeat after the report",
        known: || leaving(1, 18),
        steps: &[
            step(1000, Event::List(|| vec![ready(1, 16)]), None),
            step(3000, Event::List(|| vec![ready(1, 16)]), None),
            step(4000, Event::List(|| vec![leaving(1, 20)]), None),
        ],
    },
    OlderCase {
        name: "list: repeated lists don't put off the proof",
        known: || leaving(1, 18),
        steps: &[
            step(1000, Event::List(|| vec![ready(1, 16)]), None),
            step(5000, Event::List(|| vec![ready(1, 16)]), None),
            step(5800, UNCHANGED, Some(1)),
        ],
    },
    OlderCase {
        name: "relay: an older heartbeat by the word of an earlier release",
        known: || leaving(1, 18),
        steps: &[step(1000, Event::Changes(|| written(untold(ready(1, 16)))), None)],
    },
    OlderCase {
        name: "relay: the report by the word of an earlier release, then an older heartbeat",
        known: || ready(1, 3),
        steps: &[
            step(1000, Event::Changes(|| written(untold(leaving(1, 18)))), None),
            step(4000, Event::Changes(|| written(ready(1, 17))), None),
        ],
    },
    OlderCase {
        name: "relay: neither record has a sequence, so the store's order counts",
        known: || untold(leaving(1, 1)),
        steps: &[step(1000, Event::Changes(|| written(untold(ready(1, 1)))), Some(1))],
    },
    OlderCase {
        name: "restored list: an older heartbeat, and a late one after it",
        known: || leaving(1, 18),
        steps: &[
            step(1000, Event::RestoredList(|| vec![ready(1, 3)]), None),
            step(2000, Event::Changes(|| written(ready(1, 17))), None),
            step(3000, Event::Changes(|| written(leaving(1, 19))), None),
        ],
    },
    OlderCase {
        name: "restored list: an earlier start, and a late write of it",
        known: || ready(5, 2),
        steps: &[
            step(1000, Event::RestoredList(|| vec![leaving(1, 30)]), Some(5)),
            step(1500, Event::Changes(|| written(leaving(1, 31))), Some(5)),
            step(2500, Event::Changes(|| written(ready(5, 4))), Some(5)),
        ],
    },
    OlderCase {
        name: "removed after its report: an older heartbeat brings the record back until it lapses",
        known: || leaving(1, 18),
        steps: &[
            step(1000, Event::Changes(gone), None),
            step(2000, Event::Changes(|| written(ready(1, 17))), None),
            step(5600, Event::Changes(gone), None),
            step(20_000, UNCHANGED, None),
        ],
    },
    OlderCase {
        name: "removed without a report: a heartbeat that is newer than the published one",
        known: || ready(1, 3),
        steps: &[
            step(1000, Event::Changes(gone), None),
            step(2000, Event::Changes(|| written(ready(1, 19))), None),
            step(3000, Event::Changes(|| written(ready(1, 20))), None),
            step(5600, Event::Changes(gone), None),
            step(20_000, UNCHANGED, None),
        ],
    },
    OlderCase {
        name: "removed: a list has the record again",
        known: || ready(1, 3),
        steps: &[
            step(1000, Event::List(Vec::new), None),
            step(2000, Event::List(|| vec![ready(1, 19)]), None),
            step(5600, Event::List(Vec::new), None),
        ],
    },
    OlderCase {
        name: "removed: a live endpoint returns",
        known: || ready(1, 3),
        steps: &[
            step(1000, Event::Changes(gone), None),
            step(2000, Event::Changes(|| written(ready(1, 19))), None),
            step(6700, UNCHANGED, None),
            step(6800, UNCHANGED, Some(1)),
        ],
    },
    OlderCase {
        name: "removed: the store is silent when the record's time ends",
        known: || ready(1, 3),
        steps: &[
            step(1000, Event::Changes(gone), None),
            step(2000, Event::Changes(|| written(ready(1, 19))), None),
            step(9000, Event::Silence, None),
            step(9100, Event::AfterOutage(gone), None),
        ],
    },
    OlderCase {
        name: "removed and written by another start: its own",
        known: || leaving(1, 18),
        steps: &[
            step(1000, Event::Changes(gone), None),
            step(2000, Event::Changes(|| written(ready(2, 1))), Some(2)),
            step(3000, Event::Changes(|| written(ready(1, 17))), Some(2)),
        ],
    },
    OlderCase {
        name: "lapsed in an outage: back by a newer heartbeat",
        known: || ready(1, 3),
        steps: &[
            step(9000, Event::AfterOutage(gone), Some(1)),
            step(9800, Event::Changes(|| written(ready(1, 12))), Some(1)),
            step(20_000, UNCHANGED, Some(1)),
        ],
    },
    OlderCase {
        name: "lapsed in an outage: an older heartbeat doesn't show that it lives",
        known: || ready(1, 12),
        steps: &[
            step(9000, Event::AfterOutage(gone), Some(1)),
            step(9800, Event::Changes(|| written(ready(1, 11))), None),
            step(13_400, Event::Changes(gone), None),
            step(20_000, UNCHANGED, None),
        ],
    },
    OlderCase {
        name: "restart: a heartbeat of the start before",
        known: || ready(1, 18),
        steps: &[
            step(1000, Event::Changes(|| written(ready(2, 1))), Some(2)),
            step(2000, Event::Changes(|| written(ready(1, 19))), Some(2)),
            step(3000, Event::Changes(|| written(ready(2, 3))), Some(2)),
        ],
    },
    OlderCase {
        name: "restart: the report of the start before doesn't take out the new one, nor the reverse",
        known: || ready(1, 18),
        steps: &[
            step(1000, Event::Changes(|| written(ready(2, 1))), Some(2)),
            step(2000, Event::Changes(|| written(leaving(1, 19))), Some(2)),
            step(3000, Event::Changes(|| written(leaving(2, 3))), None),
            step(4000, Event::Changes(|| written(ready(1, 17))), None),
            step(5000, Event::List(|| vec![ready(1, 17)]), None),
        ],
    },
    OlderCase {
        name: "restart: both starts are gone, and a heartbeat of the earlier one is late",
        known: || ready(1, 18),
        steps: &[
            step(1000, Event::Changes(|| written(ready(2, 1))), Some(2)),
            step(2000, Event::Changes(gone), None),
            step(3000, Event::Changes(|| written(ready(1, 19))), None),
            step(6600, Event::Changes(gone), None),
        ],
    },
    OlderCase {
        name: "restart: the new start lapsed in an outage, and a heartbeat of the earlier one is late",
        known: || ready(5, 3),
        steps: &[
            step(9000, Event::AfterOutage(gone), Some(5)),
            step(9500, Event::Changes(|| written(ready(1, 19))), Some(5)),
            step(10_800, UNCHANGED, None),
            step(15_500, UNCHANGED, None),
            step(15_600, UNCHANGED, Some(1)),
        ],
    },
    OlderCase {
        name: "restart: a clock that was set back, so that the new start counts as the earlier one",
        known: || ready(5, 18),
        steps: &[
            step(1000, Event::Changes(|| written(ready(4, 1))), Some(5)),
            step(5700, UNCHANGED, Some(5)),
            step(5800, UNCHANGED, Some(4)),
        ],
    },
    OlderCase {
        name: "a leaving endpoint that says later that it is ready",
        known: || leaving(1, 18),
        steps: &[step(1000, Event::Changes(|| written(ready(1, 19))), Some(1))],
    },
];

/// Guards against: an older record of an endpoint that reaches a view undoes a departure, a removal or a restart.
#[test]
fn an_older_record_undoes_no_newer_one() {
    let mut failed = Vec::new();
    for case in &CASES {
        let mut feed = Feed::new((case.known)());
        for step in case.steps {
            feed.play(step.event, step.at_ms);
            let used = used(&feed.view, step.at_ms);
            if used != step.used {
                failed.push(format!("{}: {used:?} after {} ms", case.name, step.at_ms));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against: a report in the last page of a list is undone by the heartbeat before it, which the watch from the
/// first page repeats.
#[test]
fn repeated_changes_undo_no_report_of_a_later_page() {
    let mut view = View::new(RECORD_TTL);
    let listed = Snapshot {
        read_to: 105,
        ..list(pos(1, 100), vec![leaving(1, 18)])
    };
    view.replace(listed, Duration::ZERO, at(0));
    let repeated = [ready(1, 17), leaving(1, 18)].map(Change::Endpoint).to_vec();
    view.apply(repeated, pos(1, 110), Duration::ZERO, at(1000));
    assert_eq!(used(&view, 1000), None);
    view.apply(Vec::new(), pos(1, 110), Duration::ZERO, at(9000));
    assert_eq!(used(&view, 9000), None, "the store doesn't hold the older record");
}

/// Guards against: changes that the view knew are repeated, and an endpoint that was replaced meanwhile counts as one that
/// came back after its removal.
#[test]
fn a_repeated_removal_leaves_the_record_behind_it_in_use() {
    let mut feed = Feed::new(ready(1, 3));
    feed.changes(gone(), Duration::ZERO, 1000);
    feed.changes(written(ready(2, 1)), Duration::ZERO, 2000);
    feed.changes(Vec::new(), Duration::ZERO, 5100);
    let repeated = gone().into_iter().chain(written(ready(2, 1))).collect();
    let update = feed.view.apply(repeated, pos(1, 110), Duration::ZERO, at(5200));
    assert_eq!(update, Default::default());
    assert_eq!(used(&feed.view, 5200), Some(2));
    let cold_until = feed.view.endpoint("a").and_then(|known| known.cold_until);
    assert_eq!(cold_until, Some(at(5000)), "it doesn't start again");
}

/// Endpoints of a service that are removed and return at the same time.
struct ReturnCase {
    name: &'static str,
    all: usize,
    returned: usize,
    /// Whether they had reported that they leave.
    reported: bool,
    /// Whether they are asked if they live.
    asked: bool,
}

const fn returns(name: &'static str, all: usize, returned: usize, asked: bool) -> ReturnCase {
    ReturnCase {
        name,
        all,
        returned,
        reported: false,
        asked,
    }
}

const RETURN_CASES: [ReturnCase; 8] = [
    returns("the only one", 1, 1, true),
    returns("one of three", 3, 1, false),
    returns("two of four", 4, 2, false),
    returns("three of four", 4, 3, true),
    returns("all of four", 4, 4, true),
    returns("a third of twelve", 12, 4, false),
    returns("all of sixty", 60, 60, true),
    ReturnCase {
        reported: true,
        ..returns("all of four after their reports, which are surely newer", 4, 4, true)
    },
];

fn id(n: usize) -> String {
    format!("e{n}")
}

/// A view of endpoints that were removed, some after their reports, and that came back by newer heartbeats.
fn returned(case: &ReturnCase) -> View {
    let record = |n: usize, endpoint| other(&id(n), endpoint);
    let mut view = View::new(RECORD_TTL);
    let listed = Snapshot {
        endpoints: (0..case.all).map(|n| record(n, ready(1, 3))).collect(),
        ..list(pos(1, 100), Vec::new())
    };
    view.replace(listed, Duration::ZERO, at(0));
    let each = |change: &dyn Fn(usize) -> Change| (0..case.returned).map(change).collect::<Vec<Change>>();
    let mut steps: Vec<Vec<Change>> = Vec::new();
    if case.reported {
        steps.push(each(&|n| Change::Endpoint(record(n, leaving(1, 18)))));
    }
    steps.push(each(&|n| Change::EndpointGone(id(n))));
    steps.push(each(&|n| Change::Endpoint(record(n, ready(1, 17)))));
    for (n, step) in (1..).zip(steps) {
        view.apply(step, pos(1, 100 + 100 * n), Duration::ZERO, at(500 * n));
    }
    view
}

/// Guards against: several endpoints leave at a time, and the ones whose late heartbeats come behind the first two are used.
#[test]
fn however_many_endpoints_return_none_is_used_without_a_proof() {
    for case in &RETURN_CASES {
        let mut view = returned(case);
        let rest = case.all - case.returned;
        for ms in [2000, 3000, 6200] {
            view.apply(Vec::new(), pos(1, 800 + ms), Duration::ZERO, at(ms));
            let used = view.usable("s", at(ms)).count();
            // The proof of those that had reported counts from their later return.
            let may_be_proven = ms == 6200 && !case.reported;
            assert_eq!(
                used,
                if may_be_proven { case.all } else { rest },
                "{}, {ms} ms",
                case.name
            );
        }
        view.apply(Vec::new(), pos(1, 9000), Duration::ZERO, at(6400));
        let used = view.usable("s", at(6400)).count();
        assert_eq!(used, case.all, "{}: all are alive", case.name);
    }
}

/// Guards against: a service whose endpoints the store had lost is out of use for as long as their records take to prove that
/// they live, or endpoints are asked although the others carry the service.
#[test]
fn endpoints_that_say_that_they_live_are_used_at_once() {
    for case in &RETURN_CASES {
        let mut view = returned(case);
        let rest = case.all - case.returned;
        let asked = view.to_be_asked(at(2000));
        assert_eq!(asked.len(), if case.asked { case.returned } else { 0 }, "{}", case.name);
        // Enough have said it once no more than half wait.
        let mut alive = 0;
        while let Some(endpoint) = view.to_be_asked(at(2000)).first() {
            assert_eq!(
                view.learn_alive(&endpoint.id, Some(9)),
                Default::default(),
                "another start"
            );
            let update = view.learn_alive(&endpoint.id, endpoint.start);
            assert_eq!(
                update.alive.as_slice(),
                std::slice::from_ref(&endpoint.id),
                "{}",
                case.name
            );
            alive += 1;
            let used = view.usable("s", at(2000)).count();
            assert_eq!(used, rest + alive, "{}", case.name);
        }
        if case.asked {
            assert!((rest + alive) * 2 >= case.all, "{}: {alive}", case.name);
        }
    }
}

/// The record of an endpoint that the view doesn't know, and whose removal nobody remembers.
struct UnknownCase {
    name: &'static str,
    record: fn() -> Endpoint,
    /// Whether it comes after an outage of the store.
    after_outage: bool,
    /// The start that is used at once.
    used: Option<u64>,
}

const UNKNOWN_CASES: [UnknownCase; 5] = [
    UnknownCase {
        name: "a first record",
        record: || ready(1, 1),
        after_outage: false,
        used: Some(1),
    },
    UnknownCase {
        name: "the first two writes were lost",
        record: || ready(1, 3),
        after_outage: false,
        used: Some(1),
    },
    UnknownCase {
        name: "a heartbeat of an endpoint that has lived for some time",
        record: || ready(1, 20),
        after_outage: false,
        used: None,
    },
    UnknownCase {
        name: "a heartbeat after an outage, in which its record has lapsed",
        record: || ready(1, 20),
        after_outage: true,
        used: Some(1),
    },
    UnknownCase {
        name: "a record by the word of an earlier release",
        record: || untold(ready(1, 20)),
        after_outage: false,
        used: Some(1),
    },
];

/// Guards against: all instances start again after a removal, and the late heartbeat of the endpoint that is gone is taken for
/// the first record of a new one.
#[test]
fn a_late_heartbeat_is_believed_where_nobody_remembers_the_removal() {
    for case in &UNKNOWN_CASES {
        let mut view = View::new(RECORD_TTL);
        view.replace(list(pos(1, 100), Vec::new()), Duration::ZERO, at(0));
        let removal_delay = if case.after_outage {
            REMOVAL_DELAY
        } else {
            Duration::ZERO
        };
        view.apply(written((case.record)()), pos(1, 101), removal_delay, at(1000));
        assert_eq!(used(&view, 1000), case.used, "{}", case.name);
        view.apply(Vec::new(), pos(1, 101), Duration::ZERO, at(5700));
        assert_eq!(used(&view, 5700), case.used, "{}", case.name);
        view.apply(Vec::new(), pos(1, 101), Duration::ZERO, at(5800));
        assert_eq!(used(&view, 5800), Some(1), "{}: the store keeps it", case.name);
    }
}

/// Guards against: a fleet that starts anew waits for proofs of what the store lists.
#[test]
fn a_first_list_is_used_at_once() {
    let mut view = View::new(RECORD_TTL);
    view.replace(list(pos(1, 100), vec![ready(1, 20)]), Duration::ZERO, at(0));
    assert_eq!(used(&view, 0), Some(1));
    assert!(view.to_be_asked(at(0)).is_empty());
}

/// A zone, a key or a configuration in the place of an endpoint: data with an older position or version.
struct OtherCase {
    name: &'static str,
    /// Applies older data to a view at revision 110 with configuration 7 and zone `z` back in use.
    apply: fn(&mut View),
}

const OTHER_CASES: [OtherCase; 6] = [
    OtherCase {
        name: "zone: taken out, by an older watch or relay",
        apply: |view| {
            let out = vec![Change::ZoneOut("z".to_owned())];
            view.apply(out, pos(1, 105), Duration::ZERO, at(2000));
        },
    },
    OtherCase {
        name: "zone: taken out, by an older list or a peer's view",
        apply: |view| {
            let out = Snapshot {
                zones_out: vec!["z".to_owned()],
                ..list(pos(1, 105), vec![ready(1, 3)])
            };
            view.replace(out, Duration::ZERO, at(2000));
        },
    },
    OtherCase {
        name: "zone: changes that the view knew are repeated",
        apply: |view| {
            let zone = || "z".to_owned();
            let both = vec![Change::ZoneOut(zone()), Change::ZoneBack(zone())];
            view.apply(both, pos(1, 111), Duration::ZERO, at(2000));
        },
    },
    OtherCase {
        name: "configuration and its keys: a late write",
        apply: |view| {
            view.apply(vec![Change::Config(config(6))], pos(1, 111), Duration::ZERO, at(2000));
        },
    },
    OtherCase {
        name: "configuration and its keys: a list with a late write",
        apply: |view| {
            let listed = Snapshot {
                config: Some(config(6)),
                ..list(pos(1, 111), vec![ready(1, 3)])
            };
            view.replace(listed, Duration::ZERO, at(2000));
        },
    },
    OtherCase {
        name: "configuration and its keys: a peer's",
        apply: |view| {
            view.learn_config(config(6));
        },
    },
];

#[test]
fn an_older_zone_or_configuration_undoes_no_newer_one() {
    for case in &OTHER_CASES {
        let mut feed = Feed::new(ready(1, 3));
        feed.changes(vec![Change::ZoneOut("z".to_owned())], Duration::ZERO, 500);
        feed.changes(vec![Change::ZoneBack("z".to_owned())], Duration::ZERO, 600);
        feed.position.revision = 110;
        feed.changes(Vec::new(), Duration::ZERO, 1000);
        (case.apply)(&mut feed.view);
        assert_eq!(used(&feed.view, 2000), Some(1), "{}", case.name);
        assert_eq!(feed.view.catalog().version(), 7, "{}", case.name);
    }
}
