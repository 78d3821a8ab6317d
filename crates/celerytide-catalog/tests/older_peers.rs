//! What instances tell each other of endpoints for which the store holds an older record, or one that returned.

mod records;

use std::time::Duration;

use celerytide_catalog::{Change, Endpoint, EndpointStart, Kept, View};
use records::*;

/// What a peer saw, and what the store holds when another process starts.
struct JoinCase {
    name: &'static str,
    /// Record that both know at first.
    known: fn() -> Endpoint,
    /// Changes that only the peer saw.
    seen: &'static [fn() -> Vec<Change>],
    /// What the new process lists; the peer saw it, too.
    listed: fn() -> Endpoint,
    /// Later changes, and the start that the new process uses after each; the peer is asked after each, too.
    later: &'static [Step],
}

const JOIN_CASES: [JoinCase; 5] = [
    JoinCase {
        name: "an older heartbeat after a report",
        known: || ready(1, 3),
        seen: &[|| written(leaving(1, 18)), || written(ready(1, 16))],
        listed: || ready(1, 16),
        later: &[
            step(2000, UNCHANGED, None),
            step(3000, Event::Changes(|| written(ready(1, 17))), None),
            step(4000, Event::Changes(|| written(leaving(1, 20))), None),
            step(9000, UNCHANGED, None),
        ],
    },
    JoinCase {
        name: "an older heartbeat after a report, which holds in the end",
        known: || ready(1, 3),
        seen: &[|| written(leaving(1, 18)), || written(ready(1, 16))],
        listed: || ready(1, 16),
        later: &[step(2000, UNCHANGED, None), step(9000, UNCHANGED, Some(1))],
    },
    JoinCase {
        name: "a heartbeat after the removal",
        known: || ready(1, 3),
        seen: &[gone, || written(ready(1, 19))],
        listed: || ready(1, 19),
        later: &[
            step(2000, UNCHANGED, None),
            step(5000, Event::Changes(gone), None),
            step(9000, UNCHANGED, None),
        ],
    },
    JoinCase {
        name: "a heartbeat of an earlier start",
        known: || ready(1, 18),
        seen: &[|| written(ready(2, 1)), || written(ready(1, 19))],
        listed: || ready(1, 19),
        later: &[
            step(2000, UNCHANGED, None),
            step(3000, Event::Changes(|| written(ready(2, 3))), Some(2)),
        ],
    },
    JoinCase {
        name: "a later start",
        known: || ready(1, 18),
        seen: &[|| written(leaving(1, 19)), || written(ready(2, 1))],
        listed: || ready(2, 1),
        later: &[step(2000, UNCHANGED, Some(2))],
    },
];

/// Guards against: a process that starts after a late write knows only the older record, and uses an endpoint that its
/// peers know to leave or to be gone.
#[test]
fn a_new_process_learns_which_listed_record_is_older() {
    for case in &JOIN_CASES {
        let mut peer = Feed::new((case.known)());
        for (n, change) in case.seen.iter().enumerate() {
            peer.changes(change(), Duration::ZERO, 500 * n as u64);
        }
        let mut view = View::new(RECORD_TTL);
        view.replace(list(peer.position, vec![(case.listed)()]), Duration::ZERO, at(1000));
        view.learn_kept(peer.view.kept(at(1000)), at(1000));
        let mut new = Feed {
            view,
            position: peer.position,
        };
        for step in case.later {
            peer.play(step.event, step.at_ms);
            new.play(step.event, step.at_ms);
            new.view.learn_kept(peer.view.kept(at(step.at_ms)), at(step.at_ms));
            assert_eq!(
                used(&new.view, step.at_ms),
                step.used,
                "{}: {} ms",
                case.name,
                step.at_ms
            );
        }
    }
}

/// Guards against: where releases run side by side, a process that has an endpoint and its departure by the word of an earlier
/// release takes no write for newer, and tells the others for ever that the endpoint leaves.
#[test]
fn a_departure_by_the_word_of_an_earlier_release_ends_with_a_write() {
    let mut feed = Feed::new(untold(ready(1, 1)));
    let kept = Kept {
        position: feed.position,
        leaving: vec![EndpointStart {
            id: "a".to_owned(),
            start: Some(1),
            newest: None,
        }],
        ..Kept::default()
    };
    feed.view.learn_kept(kept, at(500));
    feed.play(Event::List(|| vec![ready(1, 1)]), 1000);
    assert_eq!(used(&feed.view, 1000), None, "the list is no newer");
    feed.play(Event::Changes(|| written(ready(1, 3))), 2000);
    assert_eq!(used(&feed.view, 2000), Some(1));
    assert_eq!(feed.view.kept(at(2000)).leaving, []);
}

/// A removal that a new process has from a peer, and a record that comes then.
struct RemovedCase {
    name: &'static str,
    /// Time from the removal to the question.
    asked_after_ms: u64,
    returned: fn() -> Endpoint,
    used: Option<u64>,
}

const REMOVED_CASES: [RemovedCase; 4] = [
    RemovedCase {
        name: "an older heartbeat",
        asked_after_ms: 2000,
        returned: || ready(1, 17),
        used: None,
    },
    RemovedCase {
        name: "a heartbeat that is newer than the published one",
        asked_after_ms: 2000,
        returned: || ready(1, 30),
        used: None,
    },
    RemovedCase {
        name: "another start",
        asked_after_ms: 2000,
        returned: || ready(2, 1),
        used: Some(2),
    },
    RemovedCase {
        name: "a heartbeat of an endpoint that was removed too long ago for a peer to tell",
        asked_after_ms: 16_000,
        returned: || ready(1, 30),
        used: None,
    },
];

/// Guards against: a process that starts between a removal and a late heartbeat doesn't know of the removal.
#[test]
fn a_new_process_learns_which_endpoints_were_removed() {
    for case in &REMOVED_CASES {
        let mut peer = Feed::new(ready(1, 18));
        peer.changes(gone(), Duration::ZERO, 500);
        let asked_at = at(500 + case.asked_after_ms);
        let mut new = Feed {
            view: View::new(RECORD_TTL),
            position: peer.position,
        };
        new.view.learn_removed(peer.view.recently_removed(asked_at), asked_at);
        new.play(Event::List(Vec::new), 500 + case.asked_after_ms);
        let ms = 600 + case.asked_after_ms;
        new.changes(written((case.returned)()), Duration::ZERO, ms);
        assert_eq!(used(&new.view, ms), case.used, "{}", case.name);
        let proven = ms + 4800;
        new.changes(Vec::new(), Duration::ZERO, proven);
        let start = (case.returned)().start;
        assert_eq!(used(&new.view, proven), start, "{}: the store keeps it", case.name);
    }
}

/// Guards against: a peer that is behind reports a departure after the endpoint has taken it back, and the process that
/// knows better drops the endpoint.
#[test]
fn a_peer_that_is_behind_undoes_no_newer_record() {
    let mut peer = Feed::new(leaving(1, 18));
    peer.changes(written(ready(1, 16)), Duration::ZERO, 500);
    let mut new = Feed::new(ready(1, 19));
    new.view.learn_kept(peer.view.kept(at(1000)), at(1000));
    assert_eq!(used(&new.view, 1000), Some(1), "at the same position");
    new.changes(Vec::new(), Duration::ZERO, 1100);
    new.changes(vec![Change::ZoneOut("y".to_owned())], Duration::ZERO, 1200);
    new.changes(vec![Change::ZoneBack("y".to_owned())], Duration::ZERO, 1300);
    new.view.learn_kept(peer.view.kept(at(1400)), at(1400));
    assert_eq!(used(&new.view, 1400), Some(1), "at a later position");
}

/// Time between two responses of a store in which nothing changes.
const RESPONSE_MS: u64 = 3000;
/// Time by which the store has proved a record of half a second, to an instance that learned of it half a second later.
const PROVED_MS: u64 = 1000 + 4800 + RESPONSE_MS + 100;

/// Guards against: instances that repeat to each other that an endpoint leaves or is in doubt, and so use the record that
/// the store keeps later, or never.
#[test]
fn what_instances_repeat_to_each_other_ends_with_a_proof() {
    let known = [leaving(1, 18), ready(1, 3), ready(5, 18)];
    let seen: [fn() -> Vec<Change>; 3] = [
        || written(ready(1, 16)),
        || gone().into_iter().chain(written(ready(1, 19))).collect(),
        || written(ready(4, 1)),
    ];
    for (known, seen) in known.into_iter().zip(seen) {
        let mut old = Feed::new(known);
        old.changes(seen(), Duration::ZERO, 500);
        let Some(Change::Endpoint(held)) = seen().pop() else {
            panic!("the store holds a record");
        };
        let start = held.start;
        let mut view = View::new(RECORD_TTL);
        view.replace(list(old.position, vec![held]), Duration::ZERO, at(1000));
        let position = old.position;
        let mut feeds = [old, Feed { view, position }];
        for ms in (1000..PROVED_MS).step_by(100) {
            for (feed, offset) in feeds.iter_mut().zip([0, RESPONSE_MS / 2]) {
                if (ms + offset) % RESPONSE_MS == 0 {
                    feed.play(UNCHANGED, ms);
                }
            }
            let from = usize::from(ms % 200 == 0);
            let kept = feeds[from].view.kept(at(ms));
            feeds[1 - from].view.learn_kept(kept, at(ms - 50));
        }
        for feed in &feeds {
            assert_eq!(used(&feed.view, PROVED_MS), start);
        }
    }
}

/// Guards against: a follower that has the newer record by a snapshot never learns that the older one holds.
#[test]
fn a_follower_learns_that_an_older_record_holds() {
    let mut reader = Feed::new(ready(5, 18));
    reader.changes(written(ready(4, 1)), Duration::ZERO, 1000);
    let mut follower = View::new(RECORD_TTL);
    follower.replace(reader.view.snapshot(), Duration::ZERO, at(1100));
    reader.changes(Vec::new(), Duration::ZERO, 6000);
    assert_eq!(used(&reader.view, 6000), Some(4));
    reader.changes(vec![Change::ZoneOut("y".to_owned())], Duration::ZERO, 6100);
    let changes = reader.view.changes_after(follower.position()).expect("kept");
    follower.apply(changes, reader.position, Duration::ZERO, at(6100));
    follower.apply(Vec::new(), reader.position, Duration::ZERO, at(11_000));
    assert_eq!(used(&follower, 11_000), Some(4));
}
