//! Each guarantee is checked on a valid history and on histories that violate it.

mod history;

use std::time::Duration;

use celerytide_soak::check::{Arrival, Call, Guarantee, History, RefusedTry, RequestKind, RunnerNotice, check};
use celerytide_soak::plan::{self, Departure, Fault, ROUTERS};
use celerytide_soak::testbed::CutForm;
use history::{
    add_cut_off, add_falls, add_left_call, add_limited_arrivals, add_sent_again, arrival, arrival_with_notice, call,
    events, leaving, ms, response, span, valid_history,
};

/// A change that violates a guarantee.
struct ViolationCase {
    name: &'static str,
    guarantee: Guarantee,
    change: fn(&mut History),
}

const VIOLATIONS: [ViolationCase; 36] = [
    ViolationCase {
        name: "a request to a runner after its notice that it leaves",
        guarantee: Guarantee::Notice,
        change: |h| {
            h.arrivals[0].notice = RunnerNotice::Leaves;
            h.runner_restarts.push(("i0".to_owned(), ms(8000)));
            h.arrivals
                .push(arrival_with_notice("once", "i0", 4700, RunnerNotice::Nothing));
        },
    },
    ViolationCase {
        name: "more requests than a runner's limit",
        guarantee: Guarantee::Limit,
        change: |h| add_limited_arrivals(h, 30),
    },
    ViolationCase {
        name: "three requests in a pause",
        guarantee: Guarantee::Notice,
        change: |h| {
            h.arrivals.push(arrival_with_notice(
                "refused",
                "i2",
                4100,
                RunnerNotice::Pauses(ms(1500)),
            ));
            for (n, id) in ["safe", "safe", "resume"].into_iter().enumerate() {
                h.arrivals
                    .push(arrival_with_notice(id, "i2", 4700 + n as u64, RunnerNotice::Nothing));
            }
        },
    },
    ViolationCase {
        name: "a request that may run once runs at two runners",
        guarantee: Guarantee::Twice,
        change: |h| h.arrivals.push(arrival("once", "i2", 4200)),
    },
    ViolationCase {
        name: "a stream that may not go on starts again",
        guarantee: Guarantee::Twice,
        change: |h| h.arrivals.push(arrival("stream", "i5", 4200)),
    },
    ViolationCase {
        name: "a stream goes on elsewhere while its first runner works on",
        guarantee: Guarantee::Overlap,
        change: |h| h.arrivals[3].ended = Some(ms(4800)),
    },
    ViolationCase {
        name: "a refused request runs later",
        guarantee: Guarantee::NotRun,
        change: |h| h.arrivals.push(arrival("refused", "i2", 8000)),
    },
    ViolationCase {
        name: "a request runs before it is refused, and doesn't when it is sent again",
        guarantee: Guarantee::NotRun,
        change: |h| add_sent_again(h, &[4100]),
    },
    ViolationCase {
        name: "a refused request runs when it is sent again, and once more",
        guarantee: Guarantee::Twice,
        change: |h| add_sent_again(h, &[4220, 4300]),
    },
    ViolationCase {
        name: "requests are refused late, and served soon when they are sent again",
        guarantee: Guarantee::Late,
        change: |h| {
            for n in 0..8 {
                h.calls.push(Call {
                    refused: vec![span(1000, 3100)],
                    ..call(&format!("late{n}"), RequestKind::Once, response(502, ""))
                });
            }
        },
    },
    ViolationCase {
        name: "a success without a seal",
        guarantee: Guarantee::Mixed,
        change: |h| h.calls[0].response.is_sealed = false,
    },
    ViolationCase {
        name: "the answer to another request",
        guarantee: Guarantee::Mixed,
        change: |h| h.calls[0].response.body = "answer of i0 to once".to_owned(),
    },
    ViolationCase {
        name: "half of a body that looks whole",
        guarantee: Guarantee::Mixed,
        change: |h| h.calls[1].response.body = "answer of".to_owned(),
    },
    ViolationCase {
        name: "an event is missing",
        guarantee: Guarantee::Order,
        change: |h| h.calls[3].response.body = events([1, 2, 4]),
    },
    ViolationCase {
        name: "an event comes twice where a stream goes on",
        guarantee: Guarantee::Order,
        change: |h| h.calls[4].response.body = events([1, 2, 2, 3]),
    },
    ViolationCase {
        name: "a stream that ends early looks complete",
        guarantee: Guarantee::Order,
        change: |h| h.calls[3].response.body = events(1..=3),
    },
    ViolationCase {
        name: "a valid key is denied",
        guarantee: Guarantee::Denied,
        change: |h| h.calls[0].response = response(401, ""),
    },
    ViolationCase {
        name: "a leaving runner gets a request late",
        guarantee: Guarantee::Leaving,
        change: |h| h.leaving.push(leaving("i0", 1000, 9000)),
    },
    ViolationCase {
        name: "a request that ran has no answer",
        guarantee: Guarantee::Lost,
        change: |h| h.calls[1].response = response(0, ""),
    },
    ViolationCase {
        name: "answers come late",
        guarantee: Guarantee::Late,
        change: |h| {
            for n in 0..9 {
                let mut late = call(&format!("late{n}"), RequestKind::Safe, response(504, ""));
                late.ended = ms(6200);
                h.calls.push(late);
            }
        },
    },
    ViolationCase {
        name: "requests fail after the last fault",
        guarantee: Guarantee::Recover,
        change: |h| h.calls[5].response = response(503, ""),
    },
    ViolationCase {
        name: "more repeats than the ratio and the slack allow",
        guarantee: Guarantee::Budget,
        change: |h| {
            for n in 0..60 {
                let id = format!("again{n}");
                h.calls.push(call(&id, RequestKind::Safe, response(502, "")));
                h.arrivals.push(arrival(&id, "i0", 4100));
                h.arrivals.push(arrival(&id, "i1", 4200 + n * 50));
            }
        },
    },
    ViolationCase {
        name: "a request runs at more runners than its route allows",
        guarantee: Guarantee::Attempts,
        change: |h| {
            h.calls.push(call("third", RequestKind::Safe, response(502, "")));
            for runner in ["i0", "i1", "i2"] {
                h.arrivals.push(arrival("third", runner, 4100));
            }
        },
    },
    ViolationCase {
        name: "a request is refused by more runners than it may be sent to",
        guarantee: Guarantee::Attempts,
        change: |h| {
            h.calls.push(call("fifth", RequestKind::Once, response(503, "")));
            for runner in ["i0", "i1", "i2", "i3", "i0"] {
                h.arrivals.push(Arrival {
                    ran: false,
                    ..arrival("fifth", runner, 4100)
                });
            }
        },
    },
    ViolationCase {
        name: "a request is sent after its caller has left",
        guarantee: Guarantee::Gone,
        change: |h| {
            add_left_call(h);
            h.arrivals.push(arrival("left", "i0", 4750));
        },
    },
    ViolationCase {
        name: "a runner works on after the caller has left",
        guarantee: Guarantee::Gone,
        change: |h| {
            add_left_call(h);
            h.arrivals.push(Arrival {
                ended: None,
                ..arrival("left", "i0", 4100)
            });
        },
    },
    ViolationCase {
        name: "runners are told more time than is left",
        guarantee: Guarantee::TimeLeft,
        change: |h| {
            for n in 0..21 {
                let id = format!("long{n}");
                h.calls.push(call(&id, RequestKind::Safe, response(502, "")));
                h.arrivals.push(Arrival {
                    time_left: Some(ms(4600)),
                    ..arrival(&id, "i0", 4000)
                });
            }
        },
    },
    ViolationCase {
        name: "runners are told the whole time once more",
        guarantee: Guarantee::TimeLeft,
        change: |h| {
            for n in 0..21 {
                let id = format!("anew{n}");
                h.calls.push(call(&id, RequestKind::Safe, response(502, "")));
                for (runner, at) in [("i0", 4000), ("i1", 4600)] {
                    h.arrivals.push(Arrival {
                        time_left: Some(ms(4000)),
                        ..arrival(&id, runner, at)
                    });
                }
            }
        },
    },
    ViolationCase {
        name: "runners aren't told how much time is left",
        guarantee: Guarantee::TimeLeft,
        change: |h| {
            for n in 0..21 {
                let id = format!("untold{n}");
                h.calls.push(call(&id, RequestKind::Safe, response(502, "")));
                h.arrivals.push(Arrival {
                    time_left: None,
                    ..arrival(&id, "i0", 4100)
                });
            }
        },
    },
    ViolationCase {
        name: "a router ends by itself",
        guarantee: Guarantee::Ended,
        change: |h| h.ended.push((2, ms(4000))),
    },
    ViolationCase {
        name: "callers of a router that is cut off are served far worse",
        guarantee: Guarantee::CutOff,
        change: |h| add_cut_off(h, 13_000, 12),
    },
    ViolationCase {
        name: "a router that is cut off refuses connections",
        guarantee: Guarantee::CutOff,
        change: |h| {
            add_cut_off(h, 13_000, 0);
            let tried = RefusedTry {
                router: 1,
                at: ms(13_000),
            };
            h.refused_tries.extend([tried; 16]);
        },
    },
    ViolationCase {
        name: "brittle runners fall over three times",
        guarantee: Guarantee::Falls,
        change: |h| add_falls(h, &[("i0", 14_000), ("i1", 16_000), ("i0", 19_000)]),
    },
    ViolationCase {
        name: "a runner gets what nobody sent",
        guarantee: Guarantee::Unasked,
        change: |h| h.arrivals.push(arrival("stray", "i0", 4000)),
    },
    ViolationCase {
        name: "a coordinator counts a request that ended seconds ago",
        guarantee: Guarantee::Counted,
        change: |h| h.placements.after_load.push((3, 1)),
    },
    ViolationCase {
        name: "coordinators count more requests than callers have in flight",
        guarantee: Guarantee::Counted,
        change: |h| h.placements.during_load = vec![49, 60, 55],
    },
];

#[test]
fn each_guarantee_detects_its_violation() {
    assert_eq!(check(&valid_history()), Vec::new());
    for case in &VIOLATIONS {
        let mut history = valid_history();
        (case.change)(&mut history);
        let found: Vec<Guarantee> = check(&history).iter().map(|v| v.guarantee).collect();
        assert_eq!(found, [case.guarantee], "{}", case.name);
    }
}

#[test]
fn a_seed_draws_the_same_plan_and_all_faults_occur() {
    let length = Duration::from_secs(6);
    assert_eq!(plan::draw(7, length, ROUTERS), plan::draw(7, length, ROUTERS));
    let faults: Vec<Fault> = (0..60)
        .flat_map(|seed| plan::draw(seed, length, ROUTERS))
        .map(|s| s.fault)
        .collect();
    let kinds: std::collections::HashSet<_> = faults.iter().map(std::mem::discriminant).collect();
    assert_eq!(kinds.len(), 19, "kinds of faults");
    for departure in [Departure::Reported, Departure::Removed, Departure::Restarted] {
        let leaves_so =
            |fault: &Fault| matches!(fault, Fault::LateWrite { departure: drawn, .. } if *drawn == departure);
        assert!(faults.iter().any(leaves_so), "{departure:?}");
    }
}

/// Each form, one router, and a whole zone.
#[test]
fn routers_are_cut_off_in_each_form() {
    let length = Duration::from_secs(6);
    let faults = (0..60).flat_map(|seed| plan::draw_with_cut_off(seed, length, ROUTERS));
    let cuts = faults.filter_map(|step| match step.fault {
        Fault::CutOff(routers, form) => Some((routers, form)),
        _ => None,
    });
    let cuts: Vec<(Vec<usize>, CutForm)> = cuts.collect();
    for form in [CutForm::Hang, CutForm::Reset, CutForm::LiveOn] {
        for routers in [vec![1], vec![0, 2], vec![1, 3]] {
            assert!(cuts.contains(&(routers.clone(), form)), "{routers:?} {form:?}");
        }
    }
}
