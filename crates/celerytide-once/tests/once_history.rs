//! At most once over recorded histories of a small fleet under crashes, pauses, restarts, duplicates and handovers.

mod world;

use std::collections::BTreeMap;

use celerytide_types::ExecutionStatus;
use world::{Event, Flaw, World};

const BYTES: u32 = 2048;
const STEPS: u64 = 50;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Violation {
    RanTwice,
    FalseDone,
    FalseNotRun,
    NoFinalWord,
}

#[derive(Default)]
struct Tally {
    runs: usize,
    done: bool,
    not_run: bool,
    silent: bool,
}

fn check(history: &[Event]) -> Vec<Violation> {
    let mut tallies: BTreeMap<usize, Tally> = BTreeMap::new();
    for event in history {
        match *event {
            Event::Ran { ticket } => tallies.entry(ticket).or_default().runs += 1,
            Event::Said { ticket, word } => tallies.entry(ticket).or_default().note(word),
            Event::Last {
                ticket,
                word: Some(word),
            } => tallies.entry(ticket).or_default().note(word),
            Event::Last { ticket, word: None } => tallies.entry(ticket).or_default().silent = true,
        }
    }
    tallies.values().flat_map(Tally::violations).collect()
}

impl Tally {
    fn note(&mut self, word: ExecutionStatus) {
        self.done |= word == ExecutionStatus::Done;
        self.not_run |= word == ExecutionStatus::NotRun;
    }

    fn violations(&self) -> Vec<Violation> {
        let checks = [
            (self.runs > 1, Violation::RanTwice),
            (self.done && self.runs != 1, Violation::FalseDone),
            (self.not_run && self.runs > 0, Violation::FalseNotRun),
            (self.silent, Violation::NoFinalWord),
        ];
        checks
            .into_iter()
            .filter(|(broken, _)| *broken)
            .map(|(_, v)| v)
            .collect()
    }
}

#[test]
fn an_action_runs_at_most_once_and_words_are_true() {
    let mut runs = 0;
    let mut words = BTreeMap::new();
    celerytide_seeds::each_seed(BYTES, STEPS, |u| {
        let history = World::new(None).run(u)?;
        assert_eq!(check(&history), [], "{history:?}");
        runs += history.iter().filter(|e| matches!(e, Event::Ran { .. })).count();
        for event in &history {
            if let Event::Said { word, .. } = event {
                *words.entry(*word).or_insert(0) += 1;
            }
        }
        Ok(())
    });
    assert!(runs > 0, "no history ran anything");
    assert_eq!(words.len(), 3, "each word is said in some history: {words:?}");
    println!("runs {runs}, words {words:?}");
}

#[test]
fn every_deliberate_break_is_caught() {
    struct Case {
        flaw: Flaw,
        want: Violation,
    }
    let case = |flaw, want| Case { flaw, want };
    let cases = [
        case(Flaw::RunOnUnknown, Violation::RanTwice),
        case(Flaw::RunAgainAfterNotRun, Violation::FalseNotRun),
        case(Flaw::WriteUnannounced, Violation::FalseNotRun),
        case(Flaw::RunOnCopy, Violation::FalseNotRun),
        case(Flaw::NoWordWithoutHome, Violation::NoFinalWord),
        case(Flaw::DispatchWithoutBegin, Violation::RanTwice),
    ];
    for case in cases {
        let mut caught = 0;
        celerytide_seeds::each_fixed_seed(BYTES, STEPS, |u| {
            let history = World::new(Some(case.flaw)).run(u)?;
            caught += usize::from(check(&history).contains(&case.want));
            Ok(())
        });
        println!("{:?}: {:?} in {caught} histories", case.flaw, case.want);
        assert!(caught > 0, "{:?} was never caught", case.flaw);
    }
}
