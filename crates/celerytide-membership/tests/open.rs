//! Whether an endpoint takes new work, from one view or from two that differ.

mod common;

use std::time::Duration;

use celerytide_manifest::EndpointSpec;
use celerytide_membership::{EndpointEntry, Membership, Options, Origin, open};
use celerytide_types::Boot;
use common::manifest;

fn now() -> Boot {
    Boot::from_start(Duration::from_secs(1))
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
    let cases = [
        Case {
            name: "nothing known",
            news: &[],
            want: false,
        },
        Case {
            name: "manifest only",
            news: &[Manifest(1, "in")],
            want: false,
        },
        Case {
            name: "list only",
            news: &[List(1, Some(true))],
            want: false,
        },
        Case {
            name: "both",
            news: &[Manifest(1, "in"), List(1, Some(true))],
            want: true,
        },
        Case {
            name: "zone out",
            news: &[Manifest(1, "out"), List(1, Some(true))],
            want: false,
        },
        Case {
            name: "leaving",
            news: &[Manifest(1, "in"), List(1, Some(false))],
            want: false,
        },
        Case {
            name: "absent",
            news: &[Manifest(1, "in"), List(1, None)],
            want: false,
        },
        Case {
            name: "zone out twice",
            news: &[
                Manifest(1, "in"),
                List(1, Some(true)),
                Manifest(2, "out"),
                Manifest(2, "out"),
            ],
            want: false,
        },
        Case {
            name: "zone back within the second",
            news: &[List(1, Some(true)), Manifest(2, "out"), Manifest(3, "in")],
            want: true,
        },
        Case {
            name: "zone flaps, last word out",
            news: &[
                List(1, Some(true)),
                Manifest(2, "out"),
                Manifest(3, "in"),
                Manifest(4, "out"),
            ],
            want: false,
        },
        Case {
            name: "old manifest after out",
            news: &[List(1, Some(true)), Manifest(2, "out"), Manifest(1, "in")],
            want: false,
        },
        Case {
            name: "same version, in instead of out",
            news: &[List(1, Some(true)), Manifest(2, "out"), Manifest(2, "in")],
            want: false,
        },
        Case {
            name: "old list after leaving",
            news: &[Manifest(1, "in"), List(2, Some(false)), List(1, Some(true))],
            want: false,
        },
        Case {
            name: "leaving twice",
            news: &[Manifest(1, "in"), List(2, Some(false)), List(2, Some(false))],
            want: false,
        },
        Case {
            name: "back",
            news: &[Manifest(1, "in"), List(2, Some(false)), List(3, Some(true))],
            want: true,
        },
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
    let cases = [
        Case {
            name: "neither",
            entry: &old,
            dispatch: &old,
            want: true,
        },
        Case {
            name: "entry only, zone",
            entry: &out,
            dispatch: &old,
            want: false,
        },
        Case {
            name: "dispatch only, zone",
            entry: &old,
            dispatch: &out,
            want: false,
        },
        Case {
            name: "entry only, endpoint",
            entry: &leaving,
            dispatch: &old,
            want: false,
        },
        Case {
            name: "each another",
            entry: &out,
            dispatch: &leaving,
            want: false,
        },
    ];
    for case in cases {
        let path = open(&member(case.entry).view(), &spec()) && open(&member(case.dispatch).view(), &spec());
        assert_eq!(path, case.want, "{}", case.name);
    }
}
