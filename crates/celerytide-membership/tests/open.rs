//! Whether an endpoint accepts new work, according to one view or to two views that differ.

mod common;

use std::time::Duration;

use celerytide_manifest::EndpointSpec;
use celerytide_membership::{EndpointEntry, Membership, Options, Origin, accepts_new_work};
use celerytide_types::BootTime;
use common::manifest;

fn now() -> BootTime {
    BootTime::from_start(Duration::from_secs(1))
}

fn spec() -> EndpointSpec {
    let service = &manifest::manifest(1, "in").services[0];
    service.endpoints[0].clone()
}

/// An update of the manifest (version, state of the zone) or of the list (version, whether the endpoint is live).
#[derive(Clone, Copy)]
enum Update {
    Manifest(u64, &'static str),
    List(u64, Option<bool>),
}

fn apply(m: &Membership, update: Update) {
    match update {
        Update::Manifest(version, state) => drop(m.offer_manifest(&Origin::Service, &manifest::text(version, state))),
        Update::List(version, state) => {
            let entry = state.map(|live| EndpointEntry { id: "e-0".into(), live });
            m.offer_endpoints(now(), version, entry.into_iter().collect());
        }
    }
}

fn membership_after(updates: &[Update]) -> Membership {
    let m = Membership::new(now(), Options::default());
    updates.iter().for_each(|update| apply(&m, *update));
    m
}

#[test]
fn an_endpoint_accepts_work_only_while_its_zone_is_in_and_it_is_live() {
    use Update::{List, Manifest};
    struct Case {
        name: &'static str,
        updates: &'static [Update],
        want: bool,
    }
    let case = |name, updates, want| Case { name, updates, want };
    let cases = [
        case("no document", &[], false),
        case("manifest only", &[Manifest(1, "in")], false),
        case("list only", &[List(1, Some(true))], false),
        case(
            "zone in and endpoint live",
            &[Manifest(1, "in"), List(1, Some(true))],
            true,
        ),
        case("zone out", &[Manifest(1, "out"), List(1, Some(true))], false),
        case("leaving", &[Manifest(1, "in"), List(1, Some(false))], false),
        case("not listed", &[Manifest(1, "in"), List(1, None)], false),
        case(
            "zone out, sent twice",
            &[
                Manifest(1, "in"),
                List(1, Some(true)),
                Manifest(2, "out"),
                Manifest(2, "out"),
            ],
            false,
        ),
        case(
            "zone back in at once",
            &[List(1, Some(true)), Manifest(2, "out"), Manifest(3, "in")],
            true,
        ),
        case(
            "zone flaps and ends out",
            &[
                List(1, Some(true)),
                Manifest(2, "out"),
                Manifest(3, "in"),
                Manifest(4, "out"),
            ],
            false,
        ),
        case(
            "old manifest after out",
            &[List(1, Some(true)), Manifest(2, "out"), Manifest(1, "in")],
            false,
        ),
        case(
            "same version, in instead of out",
            &[List(1, Some(true)), Manifest(2, "out"), Manifest(2, "in")],
            false,
        ),
        case(
            "old list after leaving",
            &[Manifest(1, "in"), List(2, Some(false)), List(1, Some(true))],
            false,
        ),
        case(
            "leaving, sent twice",
            &[Manifest(1, "in"), List(2, Some(false)), List(2, Some(false))],
            false,
        ),
        case(
            "live again",
            &[Manifest(1, "in"), List(2, Some(false)), List(3, Some(true))],
            true,
        ),
    ];
    for case in cases {
        assert_eq!(
            accepts_new_work(&membership_after(case.updates).view(), &spec()),
            case.want,
            "{}",
            case.name
        );
    }
}

#[test]
fn an_update_known_to_entry_or_dispatch_alone_stops_new_work() {
    use Update::{List, Manifest};
    let old = [Manifest(1, "in"), List(1, Some(true))];
    let out = [Manifest(1, "in"), List(1, Some(true)), Manifest(2, "out")];
    let leaving = [Manifest(1, "in"), List(1, Some(true)), List(2, Some(false))];
    struct Case<'a> {
        name: &'static str,
        entry: &'a [Update],
        dispatch: &'a [Update],
        want: bool,
    }
    let case = |name, entry, dispatch, want| Case {
        name,
        entry,
        dispatch,
        want,
    };
    let cases = [
        case("neither", &old, &old, true),
        case("entry only, zone", &out, &old, false),
        case("dispatch only, zone", &old, &out, false),
        case("entry only, endpoint", &leaving, &old, false),
        case("entry knows the zone, dispatch the endpoint", &out, &leaving, false),
    ];
    for case in cases {
        let path = accepts_new_work(&membership_after(case.entry).view(), &spec())
            && accepts_new_work(&membership_after(case.dispatch).view(), &spec());
        assert_eq!(path, case.want, "{}", case.name);
    }
}
