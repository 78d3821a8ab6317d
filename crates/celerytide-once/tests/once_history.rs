//! Actions run at most once and final words are true, in simulated histories of a small fleet.
//!
//! Crashes, suspensions, restarts, duplicated calls and handovers could run an action twice or make a word false.

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
    NoFinalWord,
}

#[derive(Default)]
struct TicketStats {
    runs: usize,
    done: bool,
    not_run: bool,
    no_final_word: bool,
}

fn check(history: &[Event]) -> Vec<Violation> {
    let mut stats: BTreeMap<usize, TicketStats> = BTreeMap::new();
    for event in history {
        match *event {
            Event::Ran { ticket } => stats.entry(ticket).or_default().runs += 1,
            Event::Answered { ticket, word } => stats.entry(ticket).or_default().record_word(word),
            Event::FinalStatus {
                ticket,
                word: Some(word),
            } => stats.entry(ticket).or_default().record_word(word),
            Event::FinalStatus { ticket, word: None } => stats.entry(ticket).or_default().no_final_word = true,
        }
    }
    stats.values().flat_map(TicketStats::violations).collect()
}

impl TicketStats {
    fn record_word(&mut self, word: ExecutionStatus) {
        self.done |= word == ExecutionStatus::Done;
        self.not_run |= word == ExecutionStatus::NotRun;
    }

    fn violations(&self) -> Vec<Violation> {
        let checks = [
            (self.runs > 1, Violation::RanTwice),
            (self.done && self.runs != 1, Violation::FalseDone),
            (self.not_run && self.runs > 0, Violation::FalseNotRun),
            (self.no_final_word, Violation::NoFinalWord),
        ];
        checks
            .into_iter()
            .filter(|(broken, _)| *broken)
            .map(|(_, v)| v)
            .collect()
    }
}

#[test]
fn an_action_runs_at_most_once_and_final_words_are_true() {
    let mut runs = 0;
    let mut words = BTreeMap::new();
    celerytide_seeds::each_seed(ENTROPY_BYTES, SEEDS_PER_BASE, |u| {
        let history = Simulation::new(None).run(u)?;
        assert_eq!(check(&history), [], "{history:?}");
        runs += history.iter().filter(|e| matches!(e, Event::Ran { .. })).count();
        for event in &history {
            if let Event::Answered { word, .. } = event {
                *words.entry(*word).or_insert(0) += 1;
            }
        }
        Ok(())
    });
    assert!(runs > 0, "no history ran an action");
    assert_eq!(words.len(), 3, "each final word occurs in some history: {words:?}");
    println!("runs {runs}, words {words:?}");
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
        case(Flaw::NoWordWithoutHome, Violation::NoFinalWord),
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
