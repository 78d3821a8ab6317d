//! Starts a deployment: first the stand-ins and the published documents, then the daemons that read them.

use std::path::PathBuf;

use celerytide_standin::launch::{self, Process};
use serde::Serialize;
use serde_json::Value;

use super::{
    Deployment, ENDPOINT_LIST, Endpoint, EndpointInfo, Error, Fleet, INSTANCE_LIST, Instance, InstanceAddresses,
    TempDir, documents, publish_list, publish_manifest, settings, yaml,
};

pub(super) const ENTRY_DAEMON: &str = "celerytide-entry";
pub(super) const DISPATCH_DAEMON: &str = "celerytide-dispatch";
const FIRST_VERSION: u64 = 1;

/// Options for starting a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Options {
    /// Start the child processes in their own process group, so that the terminal sends them no signals; for a parent
    /// that stops them itself.
    pub own_group: bool,
}

impl Fleet {
    /// Starts all processes. The daemons may not be ready yet.
    pub fn start(deployment: &Deployment, options: Options) -> Result<Self, Error> {
        let dir = TempDir::create()?;
        let config = start_standin(
            "config",
            &["--lag-ms".to_owned(), deployment.list_lag_ms.to_string()],
            options,
        )?;
        let engines = (0..deployment.engines.count)
            .map(|i| start_engine(deployment, i, options))
            .collect::<Result<Vec<_>, _>>()?;
        let plain_endpoints = (0..deployment.plain.count)
            .map(|i| start_plain(deployment, i, options))
            .collect::<Result<Vec<_>, _>>()?;
        let addresses = (0..deployment.instances)
            .map(|i| InstanceAddresses::allocate(deployment, i))
            .collect::<Result<Vec<_>, _>>()?;

        let (engine_infos, plain_infos) = (endpoint_infos(&engines), endpoint_infos(&plain_endpoints));
        let manifest = documents::manifest(deployment, FIRST_VERSION, &engine_infos, &plain_infos);
        publish_manifest(config.addr(), &manifest)?;
        let mut endpoints = documents::endpoint_list(deployment, &deployment.engines.service, &engine_infos);
        endpoints.extend(documents::endpoint_list(
            deployment,
            &deployment.plain.service,
            &plain_infos,
        ));
        publish_list(config.addr(), ENDPOINT_LIST, &Value::Array(endpoints))?;
        publish_list(
            config.addr(),
            INSTANCE_LIST,
            &documents::instance_list(deployment, &addresses),
        )?;

        let start = |addresses| start_instance(deployment, addresses, &config, &dir, options);
        let instances = addresses.into_iter().map(start).collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            deployment: deployment.clone(),
            instances,
            engines,
            plain_endpoints,
            config,
            manifest,
            dir,
        })
    }
}

fn endpoint_infos(endpoints: &[Endpoint]) -> Vec<EndpointInfo> {
    endpoints.iter().map(|endpoint| endpoint.info.clone()).collect()
}

fn start_standin(kind: &str, args: &[String], options: Options) -> Result<Process, Error> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let mut launch = launch::Options::standin(kind, &args)?;
    launch.own_group = options.own_group;
    Ok(Process::start(&launch)?)
}

fn start_engine(deployment: &Deployment, index: usize, options: Options) -> Result<Endpoint, Error> {
    let spec = &deployment.engines;
    let id = format!("{}-{index}", spec.service);
    let flags = [
        ("--id", id.clone()),
        ("--model", spec.model.clone()),
        ("--slots", spec.slots.to_string()),
        ("--cold-slots", spec.cold_slots.to_string()),
        ("--cold-seconds", spec.cold_seconds.to_string()),
        ("--prefill-us-per-token", spec.prefill_us_per_token.to_string()),
        ("--decode-ms", spec.decode_ms.to_string()),
        ("--batch-slowdown", spec.batch_slowdown.to_string()),
        ("--report-lag-ms", spec.report_lag_ms.to_string()),
    ];
    let mut args: Vec<String> = flags
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
    if spec.fenced {
        args.push("--fenced".to_owned());
    }
    start_endpoint(deployment, "engine", id, index, &args, options)
}

fn start_plain(deployment: &Deployment, index: usize, options: Options) -> Result<Endpoint, Error> {
    let id = format!("{}-{index}", deployment.plain.service);
    let delay = deployment.plain.delay_ms.to_string();
    let args = ["--id".to_owned(), id.clone(), "--delay-ms".to_owned(), delay];
    start_endpoint(deployment, "plain", id, index, &args, options)
}

fn start_endpoint(
    deployment: &Deployment,
    kind: &str,
    id: String,
    index: usize,
    args: &[String],
    options: Options,
) -> Result<Endpoint, Error> {
    let process = start_standin(kind, args, options)?;
    let info = EndpointInfo {
        id,
        zone: deployment.zone(index),
        addr: process.addr(),
    };
    Ok(Endpoint { info, process })
}

fn start_instance(
    deployment: &Deployment,
    addresses: InstanceAddresses,
    config: &Process,
    dir: &TempDir,
    options: Options,
) -> Result<Instance, Error> {
    let entry = settings::entry(deployment, &addresses, config.addr());
    let dispatch = settings::dispatch(deployment, &addresses, config.addr());
    let dispatch = start_daemon(DISPATCH_DAEMON, &addresses.id, &dispatch, dir, options)?;
    let entry = start_daemon(ENTRY_DAEMON, &addresses.id, &entry, dir, options)?;
    Ok(Instance {
        addresses,
        entry,
        dispatch,
    })
}

fn start_daemon<T: Serialize>(
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
