//! From single requests to figures.

use std::{collections::BTreeMap, time::Duration};

use celerytide_manifest::{Class, PolicyName};
use celerytide_standin::config::Calls;
use celerytide_types::{ClassName, Tier};

use super::{
    Record, Sample,
    bound::{Bound, bound},
    returns::{Refusals, refusals},
    shares,
    zones::{ZoneMove, moves},
};
use crate::{
    machine::{self, Machine},
    measure::{Quantiles, histogram, record},
    scenario::Scenario,
};

celerytide_types::data! {
    /// The results of a run.
    pub struct Results {
        /// Name of the scenario.
        pub scenario: String,
        /// Its description.
        pub about: String,
        /// Policy of the pools.
        pub policy: PolicyName,
        /// Seed of the run.
        pub seed: u64,
        /// The machine.
        pub machine: Machine,
        /// Load averages when the run ended.
        pub load_at_end: String,
        /// Name and end of each phase, in seconds from the start.
        pub phases: Vec<PhaseEnd>,
        /// One entry for each class and phase, and one for each class over the whole run.
        pub classes: Vec<ClassResult>,
        /// Requests by class and second.
        pub seconds: Vec<Second>,
        /// Queues and work.
        pub samples: Vec<Sample>,
        /// Tokens that the engines generated.
        pub generated_tokens: u64,
        /// Tokens in answers that came whole.
        pub delivered_tokens: u64,
        /// Tokens in answers that met their targets.
        pub good_tokens: u64,
        /// What perfect knowledge could yield.
        pub bound: Bound,
        /// Refusals and returns.
        pub refusals: Refusals,
        /// Least part of its guaranteed share that a class got in a window of 10 s in which it waited.
        pub least_share: BTreeMap<ClassName, f64>,
        /// Zones that left and returned.
        pub zones: Vec<ZoneMove>,
        /// Times that an engine was given more than it bears while cold.
        pub falls: u64,
        /// Calls to the configuration service.
        pub config_calls: Calls,
        /// Whether every daemon stopped by itself at the end.
        pub stopped: bool,
    }

    /// A phase on the axis of time.
    pub struct PhaseEnd {
        /// Its name.
        pub name: String,
        /// Its end, in seconds from the start.
        pub end: f64,
    }

    /// One class in one phase or over the whole run.
    pub struct ClassResult {
        /// The class.
        pub class: ClassName,
        /// Its tier.
        pub tier: Tier,
        /// The phase; `None` for the whole run.
        pub phase: Option<String>,
        /// Requests that were sent.
        pub sent: u64,
        /// Requests whose whole answer came.
        pub done: u64,
        /// Requests that were told that they did not run.
        pub not_run: u64,
        /// Requests that were told that they may have run.
        pub unknown: u64,
        /// Requests without a final word.
        pub wordless: u64,
        /// Requests that met their targets.
        pub attained: u64,
        /// Part of the sent requests that met their targets.
        pub attainment: f64,
        /// Time to the first token, or to the end of a plain answer, of those that came.
        pub first: Quantiles,
        /// Time to the final answer of those that did not run.
        pub refusal: Quantiles,
        /// Causes of requests that were not served, with their counts.
        pub causes: BTreeMap<String, u64>,
    }

    /// One class in one second, by the time at which its requests were to be sent.
    pub struct Second {
        /// The second.
        pub second: u64,
        /// The class.
        pub class: ClassName,
        /// Requests that were sent.
        pub sent: u64,
        /// Requests that met their targets.
        pub attained: u64,
    }
}

/// Whether the request met the targets of its class.
pub fn attains(class: &Class, record: &Record) -> bool {
    let first = record.first.is_some_and(|first| first <= class.first_token);
    let gaps = class.between_tokens.is_none_or(|target| record.gap_p95 <= target);
    record.done && first && gaps
}

/// What was seen of a run besides its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Observed {
    /// The machine.
    pub machine: Machine,
    /// Queues and work.
    pub samples: Vec<Sample>,
    /// Tokens that the engines generated.
    pub generated_tokens: u64,
    /// Times that an engine was given more than it bears while cold.
    pub falls: u64,
    /// Calls to the configuration service.
    pub config_calls: Calls,
    /// Whether every daemon stopped by itself at the end.
    pub stopped: bool,
}

/// Adds up a run.
pub fn summarise(scenario: &Scenario, records: &[Record], observed: Observed) -> Results {
    let classes = &scenario.deployment.classes;
    let tokens = |wanted: &dyn Fn(&Record) -> bool| -> u64 {
        records
            .iter()
            .filter(|record| wanted(record))
            .map(|record| record.tokens as u64)
            .sum()
    };
    Results {
        scenario: scenario.name.clone(),
        about: scenario.about.clone(),
        policy: scenario.deployment.policy,
        seed: scenario.seed,
        machine: observed.machine,
        load_at_end: machine::load_averages(),
        phases: phase_ends(scenario),
        classes: class_results(scenario, records),
        seconds: seconds(classes, records),
        generated_tokens: observed.generated_tokens,
        delivered_tokens: tokens(&|record| record.done),
        good_tokens: tokens(&|record| classes.get(record.class).is_some_and(|class| attains(class, record))),
        bound: bound(scenario),
        refusals: refusals(classes, records),
        least_share: shares::least(classes, &observed.samples),
        zones: moves(scenario, &observed.samples, records),
        samples: observed.samples,
        falls: observed.falls,
        config_calls: observed.config_calls,
        stopped: observed.stopped,
    }
}

fn phase_ends(scenario: &Scenario) -> Vec<PhaseEnd> {
    let ends = scenario.phases.iter().scan(0.0, |end, phase| {
        *end += phase.seconds;
        Some(PhaseEnd {
            name: phase.name.clone(),
            end: *end,
        })
    });
    ends.collect()
}

fn class_results(scenario: &Scenario, records: &[Record]) -> Vec<ClassResult> {
    let mut all = Vec::new();
    for (index, class) in scenario.deployment.classes.iter().enumerate() {
        let own: Vec<&Record> = records.iter().filter(|record| record.class == index).collect();
        for (phase_index, phase) in scenario.phases.iter().enumerate() {
            let of_phase: Vec<&Record> = own
                .iter()
                .copied()
                .filter(|record| record.phase == phase_index)
                .collect();
            all.push(class_result(class, Some(phase.name.clone()), &of_phase));
        }
        all.push(class_result(class, None, &own));
    }
    all
}

fn class_result(class: &Class, phase: Option<String>, records: &[&Record]) -> ClassResult {
    let count = |wanted: &dyn Fn(&Record) -> bool| records.iter().filter(|record| wanted(record)).count() as u64;
    let word = |word: &str| count(&|record: &Record| !record.done && record.word == word);
    let (mut first, mut refusal) = (histogram(), histogram());
    let mut causes = BTreeMap::new();
    for request in records {
        if let Some(latency) = request.first {
            record(&mut first, latency);
        }
        if !request.done {
            let cause = format!("{} {}: {}", request.status, request.word, request.cause);
            *causes.entry(cause).or_default() += 1;
        }
        if !request.done && request.word == "not-run" {
            record(&mut refusal, request.total);
        }
    }
    let sent = records.len() as u64;
    let attained = count(&|record| attains(class, record));
    ClassResult {
        class: class.name.clone(),
        tier: class.tier,
        phase,
        sent,
        done: count(&|record| record.done),
        not_run: word("not-run"),
        unknown: word("unknown"),
        wordless: word(""),
        attained,
        attainment: if sent == 0 { 1.0 } else { attained as f64 / sent as f64 },
        first: Quantiles::of(&first),
        refusal: Quantiles::of(&refusal),
        causes,
    }
}

fn seconds(classes: &[Class], records: &[Record]) -> Vec<Second> {
    let mut all: BTreeMap<(u64, usize), (u64, u64)> = BTreeMap::new();
    for record in records {
        let Some(class) = classes.get(record.class) else {
            continue;
        };
        let (sent, attained) = all.entry((whole_seconds(record.at), record.class)).or_default();
        *sent += 1;
        *attained += u64::from(attains(class, record));
    }
    let name = |index: usize| classes.get(index).map(|class| class.name.clone()).unwrap_or_default();
    let seconds = all.into_iter().map(|((second, class), (sent, attained))| Second {
        second,
        class: name(class),
        sent,
        attained,
    });
    seconds.collect()
}

fn whole_seconds(at: Duration) -> u64 {
    at.as_secs()
}
