//! Actions run at most once and reported statuses are true, in simulated histories of a few entries.
//!
//! Crashes, suspensions, restarts, duplicated requests and copied outcomes could run an action twice, or report a status
//! that contradicts whether it ran.

mod simulation;

use std::collections::BTreeMap;

use celerytide_types::ExecutionStatus;
use simulation::{Event, Flaw, Simulation};

const ENTROPY_BYTES: u32 = 2048;
const SEEDS_PER_BASE: u64 = 50;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Violation {
    RanTwice,
    FalseDone,
    FalseNotRun,
    NoFinalStatus,
}

#[derive(Default)]
struct TicketStats {
    runs: usize,
    done: bool,
    not_run: bool,
    no_final_status: bool,
}

fn check(history: &[Event]) -> Vec<Violation> {
    let mut stats: BTreeMap<usize, TicketStats> = BTreeMap::new();
    for event in history {
        match *event {
            Event::Ran { ticket } => stats.entry(ticket).or_default().runs += 1,
            Event::Responded { ticket, status } => stats.entry(ticket).or_default().record_status(status),
            Event::FinalStatus {
                ticket,
                status: Some(status),
            } => stats.entry(ticket).or_default().record_status(status),
            Event::FinalStatus { ticket, status: None } => stats.entry(ticket).or_default().no_final_status = true,
        }
    }
    stats.values().flat_map(TicketStats::violations).collect()
}

impl TicketStats {
    fn record_status(&mut self, status: ExecutionStatus) {
        self.done |= status == ExecutionStatus::Done;
        self.not_run |= status == ExecutionStatus::NotRun;
    }

    fn violations(&self) -> Vec<Violation> {
        let checks = [
            (self.runs > 1, Violation::RanTwice),
            (self.done && self.runs != 1, Violation::FalseDone),
            (self.not_run && self.runs > 0, Violation::FalseNotRun),
            (self.no_final_status, Violation::NoFinalStatus),
        ];
        checks
            .into_iter()
            .filter(|(broken, _)| *broken)
            .map(|(_, v)| v)
            .collect()
    }
}

#[test]
fn an_action_runs_at_most_once_and_its_status_is_true() {
    let mut runs = 0;
    let mut statuses = BTreeMap::new();
    celerytide_seeds::each_seed(ENTROPY_BYTES, SEEDS_PER_BASE, |u| {
        let history = Simulation::new(None).run(u)?;
        assert_eq!(check(&history), [], "{history:?}");
        runs += history.iter().filter(|e| matches!(e, Event::Ran { .. })).count();
        for event in &history {
            if let Event::Responded { status, .. } = event {
                *statuses.entry(*status).or_insert(0) += 1;
            }
        }
        Ok(())
    });
    assert!(runs > 0, "no history ran an action");
    assert_eq!(statuses.len(), 3, "each status occurs in some history: {statuses:?}");
    println!("runs {runs}, statuses {statuses:?}");
}

#[test]
fn every_deliberate_flaw_is_detected() {
    struct Case {
        flaw: Flaw,
        want: Violation,
    }
    let case = |flaw, want| Case { flaw, want };
    let cases = [
        case(Flaw::RunsUnknownTicket, Violation::RanTwice),
        case(Flaw::RunsAgainAfterNotRun, Violation::FalseNotRun),
        case(Flaw::SendsUnmarked, Violation::FalseNotRun),
        case(Flaw::RunsFromCopy, Violation::FalseNotRun),
        case(Flaw::NoStatusWithoutIssuer, Violation::NoFinalStatus),
        case(Flaw::DispatchesWithoutBegin, Violation::RanTwice),
    ];
    for case in cases {
        let mut detected = 0;
        celerytide_seeds::each_fixed_seed(ENTROPY_BYTES, SEEDS_PER_BASE, |u| {
            let history = Simulation::new(Some(case.flaw)).run(u)?;
            detected += usize::from(check(&history).contains(&case.want));
            Ok(())
        });
        println!("{:?}: {:?} in {detected} histories", case.flaw, case.want);
        assert!(detected > 0, "{:?} was never detected", case.flaw);
    }
}
