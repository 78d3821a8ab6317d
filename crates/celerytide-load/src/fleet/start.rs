//! Starts a deployment: what the daemons read first, then the daemons.

use std::path::PathBuf;

use celerytide_standin::launch::{self, Process};
use serde::Serialize;
use serde_json::Value;

use super::{
    Deployment, ENDPOINT_LIST, Endpoint, EndpointInfo, Error, Fleet, INSTANCE_LIST, Instance, InstanceAddresses,
    TempDir, documents, publish_list, publish_manifest, settings, yaml,
};

pub(super) const ENTRY: &str = "celerytide-entry";
pub(super) const DISPATCH: &str = "celerytide-dispatch";
const FIRST_VERSION: u64 = 1;

/// How to start a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Options {
    /// Keep the children out of the terminal's signals; for a parent that ends them itself on a signal.
    pub own_group: bool,
}

impl Fleet {
    /// Starts all processes; the daemons may not be ready yet.
    pub fn start(plan: &Deployment, options: Options) -> Result<Self, Error> {
        let dir = TempDir::create()?;
        let config = standin(
            "config",
            &["--lag-ms".to_owned(), plan.list_lag_ms.to_string()],
            options,
        )?;
        let engines = (0..plan.engines.count)
            .map(|i| engine(plan, i, options))
            .collect::<Result<Vec<_>, _>>()?;
        let plain_endpoints = (0..plan.plain.count)
            .map(|i| plain(plan, i, options))
            .collect::<Result<Vec<_>, _>>()?;
        let addresses = (0..plan.instances)
            .map(|i| InstanceAddresses::allocate(plan, i))
            .collect::<Result<Vec<_>, _>>()?;

        let (running_engines, running_plains) = (running(&engines), running(&plain_endpoints));
        let manifest = documents::manifest(plan, FIRST_VERSION, &running_engines, &running_plains);
        publish_manifest(config.addr(), &manifest)?;
        let mut endpoints = documents::endpoint_list(plan, &plan.engines.service, &running_engines);
        endpoints.extend(documents::endpoint_list(plan, &plan.plain.service, &running_plains));
        publish_list(config.addr(), ENDPOINT_LIST, &Value::Array(endpoints))?;
        publish_list(
            config.addr(),
            INSTANCE_LIST,
            &documents::instance_list(plan, &addresses),
        )?;

        let start = |addresses| instance(plan, addresses, &config, &dir, options);
        let instances = addresses.into_iter().map(start).collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            deployment: plan.clone(),
            instances,
            engines,
            plain_endpoints,
            config,
            manifest,
            dir,
        })
    }
}

fn running(endpoints: &[Endpoint]) -> Vec<EndpointInfo> {
    endpoints.iter().map(|endpoint| endpoint.info.clone()).collect()
}

fn standin(kind: &str, args: &[String], options: Options) -> Result<Process, Error> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let mut launch = launch::Options::standin(kind, &args)?;
    launch.own_group = options.own_group;
    Ok(Process::start(&launch)?)
}

fn engine(plan: &Deployment, index: usize, options: Options) -> Result<Endpoint, Error> {
    let group = &plan.engines;
    let id = format!("{}-{index}", group.service);
    let pairs = [
        ("--id", id.clone()),
        ("--model", group.model.clone()),
        ("--slots", group.slots.to_string()),
        ("--cold-slots", group.cold_slots.to_string()),
        ("--cold-seconds", group.cold_seconds.to_string()),
        ("--prefill-us-per-token", group.prefill_us_per_token.to_string()),
        ("--decode-ms", group.decode_ms.to_string()),
        ("--batch-slowdown", group.batch_slowdown.to_string()),
        ("--report-lag-ms", group.report_lag_ms.to_string()),
    ];
    let mut args: Vec<String> = pairs
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
    if group.fenced {
        args.push("--fenced".to_owned());
    }
    endpoint(plan, "engine", id, index, &args, options)
}

fn plain(plan: &Deployment, index: usize, options: Options) -> Result<Endpoint, Error> {
    let id = format!("{}-{index}", plan.plain.service);
    let delay = plan.plain.delay_ms.to_string();
    let args = ["--id".to_owned(), id.clone(), "--delay-ms".to_owned(), delay];
    endpoint(plan, "plain", id, index, &args, options)
}

fn endpoint(
    plan: &Deployment,
    kind: &str,
    id: String,
    index: usize,
    args: &[String],
    options: Options,
) -> Result<Endpoint, Error> {
    let process = standin(kind, args, options)?;
    let info = EndpointInfo {
        id,
        zone: plan.zone(index),
        addr: process.addr(),
    };
    Ok(Endpoint { info, process })
}

fn instance(
    plan: &Deployment,
    addresses: InstanceAddresses,
    config: &Process,
    dir: &TempDir,
    options: Options,
) -> Result<Instance, Error> {
    let entry = settings::entry(plan, &addresses, config.addr());
    let dispatch = settings::dispatch(plan, &addresses, config.addr());
    let dispatch = daemon(DISPATCH, &addresses.id, &dispatch, dir, options)?;
    let entry = daemon(ENTRY, &addresses.id, &entry, dir, options)?;
    Ok(Instance {
        addresses,
        entry,
        dispatch,
    })
}

fn daemon<T: Serialize>(
    name: &str,
    instance: &str,
    settings: &T,
    dir: &TempDir,
    options: Options,
) -> Result<Process, Error> {
    let text = yaml::to_yaml(settings)?;
    let file = dir.write(&format!("{name}-{instance}.yaml"), &text)?;
    let launch = launch::Options {
        program: launch::sibling_binary(name)?,
        args: vec![file.display().to_string()],
        ready_prefix: None,
        log: Some(log_path(dir, name, instance)),
        own_group: options.own_group,
    };
    Ok(Process::start(&launch)?)
}

pub(super) fn log_path(dir: &TempDir, daemon: &str, instance: &str) -> PathBuf {
    dir.path().join(format!("{daemon}-{instance}.log"))
}
