//! Whether an endpoint takes new work, from one view or from two that differ.

mod common;

use std::time::Duration;

use celerytide_manifest::EndpointSpec;
use celerytide_membership::{EndpointEntry, Membership, Options, Origin, open};
use celerytide_types::BootTime;
use common::manifest;

fn now() -> BootTime {
    BootTime::from_start(Duration::from_secs(1))
}

fn spec() -> EndpointSpec {
    let service = &manifest::manifest(1, "in").services[0];
    service.endpoints[0].clone()
}

/// One piece of news.
#[derive(Clone, Copy)]
enum News {
    Manifest(u64, &'static str),
    List(u64, Option<bool>),
}

fn tell(m: &Membership, news: News) {
    match news {
        News::Manifest(version, state) => drop(m.offer_manifest(&Origin::Service, &manifest::text(version, state))),
        News::List(version, state) => {
            let entry = state.map(|live| EndpointEntry { id: "e-0".into(), live });
            m.offer_endpoints(now(), version, entry.into_iter().collect());
        }
    }
}

fn member(news: &[News]) -> Membership {
    let m = Membership::new(now(), Options::default());
    news.iter().for_each(|n| tell(&m, *n));
    m
}

#[test]
fn news_opens_and_closes_an_endpoint() {
    use News::{List, Manifest};
    struct Case {
        name: &'static str,
        news: &'static [News],
        want: bool,
    }
    let case = |name, news, want| Case { name, news, want };
    let cases = [
        case("nothing known", &[], false),
        case("manifest only", &[Manifest(1, "in")], false),
        case("list only", &[List(1, Some(true))], false),
        case("both", &[Manifest(1, "in"), List(1, Some(true))], true),
        case("zone out", &[Manifest(1, "out"), List(1, Some(true))], false),
        case("leaving", &[Manifest(1, "in"), List(1, Some(false))], false),
        case("absent", &[Manifest(1, "in"), List(1, None)], false),
        case(
            "zone out twice",
            &[
                Manifest(1, "in"),
                List(1, Some(true)),
                Manifest(2, "out"),
                Manifest(2, "out"),
            ],
            false,
        ),
        case(
            "zone back within the second",
            &[List(1, Some(true)), Manifest(2, "out"), Manifest(3, "in")],
            true,
        ),
        case(
            "zone flaps, last word out",
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
            "leaving twice",
            &[Manifest(1, "in"), List(2, Some(false)), List(2, Some(false))],
            false,
        ),
        case(
            "back",
            &[Manifest(1, "in"), List(2, Some(false)), List(3, Some(true))],
            true,
        ),
    ];
    for case in cases {
        assert_eq!(open(&member(case.news).view(), &spec()), case.want, "{}", case.name);
    }
}

#[test]
fn news_that_reached_one_of_two_closes_the_path() {
    use News::{List, Manifest};
    let old = [Manifest(1, "in"), List(1, Some(true))];
    let out = [Manifest(1, "in"), List(1, Some(true)), Manifest(2, "out")];
    let leaving = [Manifest(1, "in"), List(1, Some(true)), List(2, Some(false))];
    struct Case<'a> {
        name: &'static str,
        entry: &'a [News],
        dispatch: &'a [News],
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
        case("each another", &out, &leaving, false),
    ];
    for case in cases {
        let path = open(&member(case.entry).view(), &spec()) && open(&member(case.dispatch).view(), &spec());
        assert_eq!(path, case.want, "{}", case.name);
    }
}
