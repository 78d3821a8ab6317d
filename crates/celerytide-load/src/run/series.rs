//! Runs of one scenario: each policy with each seed, and what they show together.

use std::{
    fs,
    path::{Path, PathBuf},
};

use celerytide_manifest::PolicyName;

use super::{Error, Options, Results, measure};
use crate::{
    report,
    scenario::{Retry, Scenario},
    signals::Stop,
};

/// Runs the scenario with each policy and seed and writes the results.
pub fn run(options: &Options) -> Result<(), Error> {
    let stop = Stop::watch()?;
    let series = Series::new(options)?;
    let mut all = Vec::new();
    // The policies of one seed follow each other, so that they share the machine's other load as far as they can.
    for seed in &series.seeds {
        for policy in &series.policies {
            let results = measure(&series.scenario(*policy, *seed), &stop)?;
            println!("{}", report::markdown(&results));
            if let Some(folder) = series.folder(options, *policy, *seed) {
                write(&results, &folder)?;
            }
            all.push(results);
        }
    }
    if all.len() > 1 {
        together(options, &series, &all)?;
    }
    Ok(())
}

struct Series {
    scenario: Scenario,
    seeds: Vec<u64>,
    policies: Vec<PolicyName>,
}

impl Series {
    fn new(options: &Options) -> Result<Self, Error> {
        let mut scenario = Scenario::load(&options.scenario)?.scaled(options.scale_time);
        if options.obey_retry {
            scenario.retry = Retry::Obey;
        }
        let mut seeds = options.seed.clone();
        if seeds.is_empty() {
            seeds.push(scenario.seed);
        }
        let mut policies = options.policy.clone();
        if policies.is_empty() {
            policies.push(scenario.deployment.policy);
        }
        Ok(Self {
            scenario,
            seeds,
            policies,
        })
    }

    fn scenario(&self, policy: PolicyName, seed: u64) -> Scenario {
        let mut scenario = self.scenario.clone();
        scenario.seed = seed;
        scenario.deployment.policy = policy;
        scenario
    }

    /// Where the results of one run go.
    fn folder(&self, options: &Options, policy: PolicyName, seed: u64) -> Option<PathBuf> {
        let mut folder = options.out.clone()?;
        if self.policies.len() > 1 {
            folder.push(report::policy_name(policy));
        }
        if self.seeds.len() > 1 {
            folder.push(format!("seed-{seed}"));
        }
        Some(folder)
    }
}

fn write(results: &Results, folder: &Path) -> Result<(), Error> {
    fs::create_dir_all(folder)?;
    report::write(results, folder)?;
    println!("written to {}", folder.display());
    Ok(())
}

/// Writes what all runs show together.
fn together(options: &Options, series: &Series, all: &[Results]) -> Result<(), Error> {
    let (name, text) = if series.policies.len() > 1 {
        ("report.md", report::policies(all))
    } else {
        ("seeds.md", report::seeds(all))
    };
    println!("{text}");
    let Some(folder) = &options.out else {
        return Ok(());
    };
    fs::write(folder.join(name), text)?;
    if series.policies.len() > 1 {
        report::write_json(all, &folder.join("results.json"))?;
    }
    Ok(())
}
