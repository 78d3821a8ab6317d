//! Replays attempts at endpoints: whether an instance finds that it reaches none, and which peers it asks.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_edge::reach::{Change, Failure, PeerChoice, Reach};
use celerytide_types::BootTime;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

#[derive(Clone, Copy)]
enum Sign {
    /// An attempt at this endpoint found no connection.
    Unreached(u32),
    /// An attempt at this endpoint was written and got no response.
    Silent(u32),
    /// This endpoint ended the connection of an attempt.
    Ended(u32),
    /// A response on a new connection.
    Fresh,
    /// A response on a used connection.
    Used,
    /// A probe found a connection.
    Probed,
}

use Sign::{Ended, Fresh, Probed, Silent, Unreached, Used};

struct Case {
    name: &'static str,
    /// Endpoints that may get requests.
    known: usize,
    /// Milliseconds between two signs.
    gap_ms: u64,
    signs: &'static [Sign],
    is_cut_off: bool,
}

const CASES: [Case; 18] = [
    Case {
        name: "no connection to three endpoints",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2), Unreached(3)],
        is_cut_off: true,
    },
    Case {
        name: "silence of three endpoints",
        known: 16,
        gap_ms: 300,
        signs: &[Silent(1), Silent(2), Silent(3)],
        is_cut_off: true,
    },
    Case {
        name: "one dead endpoint",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(1), Unreached(1), Unreached(1)],
        is_cut_off: false,
    },
    Case {
        name: "two dead endpoints of three",
        known: 3,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2), Unreached(1), Unreached(2)],
        is_cut_off: false,
    },
    Case {
        name: "both of two endpoints",
        known: 2,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2), Unreached(1)],
        is_cut_off: true,
    },
    Case {
        name: "two attempts are too few",
        known: 2,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2)],
        is_cut_off: false,
    },
    Case {
        name: "failures far apart",
        known: 16,
        gap_ms: 1100,
        signs: &[Unreached(1), Unreached(2), Unreached(3), Unreached(4)],
        is_cut_off: false,
    },
    Case {
        name: "a response on a new connection in between",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2), Fresh, Unreached(3)],
        is_cut_off: false,
    },
    Case {
        name: "old connections live on, new ones are refused",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Used, Unreached(2), Used, Unreached(3), Used],
        is_cut_off: true,
    },
    Case {
        name: "slow endpoints that respond on used connections",
        known: 16,
        gap_ms: 300,
        signs: &[Silent(1), Silent(2), Used, Silent(3), Silent(4)],
        is_cut_off: false,
    },
    Case {
        name: "a probe ends it for a trial",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2), Unreached(3), Probed],
        is_cut_off: false,
    },
    Case {
        name: "the first attempt of a trial fails",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2), Unreached(3), Probed, Silent(4)],
        is_cut_off: true,
    },
    Case {
        name: "a response ends the trial",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2), Unreached(3), Probed, Fresh, Unreached(4)],
        is_cut_off: false,
    },
    Case {
        name: "endpoints that end connections",
        known: 16,
        gap_ms: 5,
        signs: &[Ended(1), Ended(2), Ended(3), Ended(4), Ended(5)],
        is_cut_off: false,
    },
    Case {
        name: "two dead endpoints, and others that end connections",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Ended(3), Unreached(2), Ended(4), Ended(5)],
        is_cut_off: false,
    },
    Case {
        name: "connections end, and new ones are refused",
        known: 16,
        gap_ms: 5,
        signs: &[Ended(1), Ended(2), Unreached(1), Unreached(2), Unreached(3)],
        is_cut_off: true,
    },
    Case {
        name: "an endpoint ends the connection of the first attempt of a trial",
        known: 16,
        gap_ms: 5,
        signs: &[Unreached(1), Unreached(2), Unreached(3), Probed, Ended(4)],
        is_cut_off: false,
    },
    Case {
        name: "no endpoint is known",
        known: 0,
        gap_ms: 5,
        signs: &[],
        is_cut_off: false,
    },
];

/// Guards against: a partition from all endpoints isn't noticed, or other faults are taken for one.
#[test]
fn a_partition_from_all_endpoints_is_told_from_other_faults() {
    for case in &CASES {
        let mut reach = Reach::default();
        let mut cut_offs = 0;
        for (sign, n) in case.signs.iter().zip(0..) {
            let now = at(n * case.gap_ms);
            let change = match *sign {
                Unreached(endpoint) => reach.note_failed(endpoint, Failure::Connect, case.known, now),
                Silent(endpoint) => reach.note_failed(endpoint, Failure::Silent, case.known, now),
                Ended(endpoint) => reach.note_failed(endpoint, Failure::Ended, case.known, now),
                Fresh => reach.note_heard(true),
                Used => reach.note_heard(false),
                Probed => reach.note_connected(),
            };
            cut_offs += usize::from(change == Some(Change::CutOff));
        }
        assert_eq!(reach.is_cut_off(), case.is_cut_off, "{}", case.name);
        assert!(cut_offs <= 2, "{}: {cut_offs} times", case.name);
    }
}

/// Guards against: the connections that a partition ends are taken for crashes of the endpoints.
#[test]
fn connections_that_end_in_a_row_may_have_been_ended_by_a_partition() {
    let mut reach = Reach::default();
    for endpoint in [1, 2] {
        reach.note_failed(endpoint, Failure::Ended, 16, at(0));
        assert!(!reach.may_be_cut_off(16, at(0)), "{endpoint}");
    }
    reach.note_failed(3, Failure::Ended, 16, at(1));
    assert!(reach.may_be_cut_off(16, at(1)) && !reach.is_cut_off());
    assert!(!reach.may_be_cut_off(16, at(2500)), "long ago");
    reach.note_heard(false);
    assert!(!reach.may_be_cut_off(16, at(2)), "an endpoint answers");
}

#[test]
fn requests_are_handed_over_again_after_a_peer_could_not_help() {
    let mut reach = Reach::default();
    assert!(reach.may_help(at(0)));
    reach.note_no_help(at(0));
    assert!(!reach.may_help(at(900)));
    assert!(reach.may_help(at(1000)));
}

#[test]
fn peers_that_declined_are_left_alone_for_a_while() {
    let live: Vec<SocketAddr> = (1..=9).map(|n| SocketAddr::from(([10, 1, 0, n], 8229))).collect();
    let mut choice = PeerChoice::default();
    for asked in 0..live.len() {
        let peer = choice.choose(&live, at(asked as u64)).expect("a peer is left");
        choice.note_declined(peer, at(asked as u64));
    }
    assert_eq!(choice.choose(&live, at(100)), None, "all declined");
    assert!(choice.choose(&live, at(600)).is_some(), "they are asked again");
}
