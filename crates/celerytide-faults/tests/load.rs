//! Each daemon killed, paused and cut off, endpoints with faulty responses, and configuration changes under a steady load.

use celerytide_faults::load::{Disruption, LinkSet, Report, ResponseFault, Target, run_all};

/// Parallel runs in each test. The longest disruption comes first, so that no other run waits for it at the end.
const JOBS: usize = 4;

fn cut(links: LinkSet, up: bool, down: bool) -> Disruption {
    Disruption::Cut { links, up, down }
}

fn check(cases: &[Disruption]) {
    let reports = run_all(cases, JOBS);
    let line = |r: &Report| {
        let [done, not_run, unknown] = r.words;
        println!(
            "{:?}: {} sent, {} done, {} words of tickets ({done} done, {not_run} not run, {unknown} unknown), {:.1} s",
            r.disruption,
            r.record,
            r.done,
            r.tickets,
            r.elapsed.as_secs_f64()
        );
    };
    reports.iter().for_each(line);
    let broken: Vec<&Report> = reports.iter().filter(|r| !r.invariants_hold()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(reports.iter().all(|r| r.done > 0 && r.words[0] > 0), "{reports:#?}");
}

#[test]
fn a_daemon_that_is_killed_or_paused_under_load() {
    check(&[
        Disruption::Pause(Target::Owner),
        Disruption::Pause(Target::OtherDispatch),
        Disruption::Pause(Target::OwnersEntry),
        Disruption::Pause(Target::OtherEntry),
        Disruption::Kill(Target::Owner),
        Disruption::Kill(Target::OtherDispatch),
        Disruption::Kill(Target::OwnersEntry),
        Disruption::Kill(Target::OtherEntry),
    ]);
}

#[test]
fn links_that_are_cut_under_load() {
    check(&[
        cut(LinkSet::Peers, true, true),
        cut(LinkSet::Peers, true, false),
        cut(LinkSet::Peers, false, true),
        cut(LinkSet::ToOwner, true, true),
        cut(LinkSet::Config, true, true),
        cut(LinkSet::Config, false, true),
        cut(LinkSet::OwnersConfig, true, true),
        cut(LinkSet::Endpoints, true, true),
        cut(LinkSet::Endpoints, false, true),
        cut(LinkSet::ZoneEndpoints, true, true),
        cut(LinkSet::ZoneEndpoints, false, true),
    ]);
}

#[test]
fn faulty_responses_under_load() {
    check(&[
        Disruption::FaultyResponses(ResponseFault::Crossed),
        Disruption::FaultyResponses(ResponseFault::CutMidAnswer),
        Disruption::FaultyResponses(ResponseFault::Reset),
    ]);
}

#[test]
fn the_configuration_changes_under_load() {
    check(&[Disruption::ZoneEvacuation, Disruption::RepublishOlder]);
}
