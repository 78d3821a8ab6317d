//! Runs one scenario with each combination of policy and seed, and writes a comparison.

use std::{
    fs,
    path::{Path, PathBuf},
};

use celerytide_manifest::PolicyName;

use super::{Error, Options, Results, run_scenario};
use crate::{
    report,
    scenario::{Retry, Scenario},
    signals::Shutdown,
};

/// Runs the scenario with each policy and seed, and writes the results.
pub fn run(options: &Options) -> Result<(), Error> {
    let shutdown = Shutdown::register()?;
    let sweep = Sweep::new(options)?;
    let mut all = Vec::new();
    // All policies of one seed run in a row, so that they see similar load from other processes of the machine.
    for seed in &sweep.seeds {
        for policy in &sweep.policies {
            let results = run_scenario(&sweep.scenario(*policy, *seed), &shutdown)?;
            println!("{}", report::markdown(&results));
            if let Some(dir) = sweep.run_dir(options, *policy, *seed) {
                write_report(&results, &dir)?;
            }
            all.push(results);
        }
    }
    if all.len() > 1 {
        write_comparison(options, &sweep, &all)?;
    }
    Ok(())
}

struct Sweep {
    scenario: Scenario,
    seeds: Vec<u64>,
    policies: Vec<PolicyName>,
}

impl Sweep {
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

    /// Directory for the results of one run.
    fn run_dir(&self, options: &Options, policy: PolicyName, seed: u64) -> Option<PathBuf> {
        let mut dir = options.out.clone()?;
        if self.policies.len() > 1 {
            dir.push(report::policy_name(policy));
        }
        if self.seeds.len() > 1 {
            dir.push(format!("seed-{seed}"));
        }
        Some(dir)
    }
}

fn write_report(results: &Results, dir: &Path) -> Result<(), Error> {
    fs::create_dir_all(dir)?;
    report::write(results, dir)?;
    println!("written to {}", dir.display());
    Ok(())
}

/// Prints and writes the comparison of all runs.
fn write_comparison(options: &Options, sweep: &Sweep, all: &[Results]) -> Result<(), Error> {
    let (name, text) = if sweep.policies.len() > 1 {
        ("report.md", report::policies(all))
    } else {
        ("seeds.md", report::seeds(all))
    };
    println!("{text}");
    let Some(dir) = &options.out else {
        return Ok(());
    };
    fs::write(dir.join(name), text)?;
    if sweep.policies.len() > 1 {
        report::write_json(all, &dir.join("results.json"))?;
    }
    Ok(())
}
