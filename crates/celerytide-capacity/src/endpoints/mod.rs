//! Measures many listed endpoints without traffic: the cost of owning their pools and of knowing them.
//!
//! One stand-in engine listens on all loopback addresses. Each endpoint is a different address of the network
//! 127.0.0.0/8, so every endpoint responds to requests for its load.

use std::{
    net::{Ipv4Addr, SocketAddr},
    thread,
    time::Duration,
};

use argh::FromArgs;
use celerytide_load::fleet::{Deployment, EndpointInfo, Fleet, documents};
use celerytide_manifest::Manifest;
use celerytide_standin::{
    config::TEST_LIST_PATH,
    launch::{self, Process},
    probe,
};
use serde_json::Value;

use crate::{
    Error,
    report::{Report, Row, parse_sizes},
    sample::{self, STOP_TIMEOUT, core_percent, max, mean, private_mib, resident_mib},
};

const ENDPOINT_LIST: &str = "celerytide-endpoints";
/// Number of addresses used in each block of 127.1.0.0/16 with the same third octet.
const BLOCK_ADDRESSES: usize = 250;
const INSTANCES: usize = 2;

/// Measure many listed endpoints without traffic.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "endpoints")]
pub struct Options {
    /// numbers of endpoints
    #[argh(option, default = "String::from(\"12,64,250,750\")")]
    pub sizes: String,
    /// pools that the endpoints are spread over
    #[argh(option, default = "1")]
    pub pools: u32,
    /// seconds before the measurement
    #[argh(option, default = "5")]
    pub settle: u64,
    /// seconds of the measurement
    #[argh(option, default = "20")]
    pub seconds: u64,
}

/// Measures each size in turn, with a new fleet.
pub fn run(options: &Options) -> Result<Report, Error> {
    let rows = parse_sizes(&options.sizes)?
        .into_iter()
        .map(|size| measure(options, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    Ok(Report::new("Listed endpoints without traffic", "endpoints", rows))
}

fn measure(options: &Options, size: usize) -> Result<Row, Error> {
    eprintln!("endpoints: {size} ...");
    let mut fleet = sample::start(&Deployment::demo(INSTANCES)?)?;
    let engine = start_engine(&fleet)?;
    let engines = loopback_endpoints(&fleet, engine.addr().port(), size);
    publish(&mut fleet, &engines, options.pools)?;
    thread::sleep(Duration::from_secs(options.settle));
    let sample = sample::measure(&fleet, Duration::from_secs(options.seconds))?;
    fleet.stop(STOP_TIMEOUT);
    let min = sample.dispatches.iter().map(core_percent).fold(f64::INFINITY, f64::min);
    Ok(Row::new(size)
        .with("entry % of a core, mean", mean(&sample.entries, core_percent))
        .with("dispatch % of a core, most", max(&sample.dispatches, core_percent))
        .with("dispatch % of a core, least", min)
        .with("entry resident MiB", mean(&sample.entries, resident_mib))
        .with("entry private MiB", mean(&sample.entries, private_mib))
        .with("dispatch resident MiB, most", max(&sample.dispatches, resident_mib))
        .with("dispatch private MiB, most", max(&sample.dispatches, private_mib))
        .with(
            "loopback bytes/s, both instances",
            sample.loopback_bytes as f64 / sample.seconds,
        ))
}

/// Starts an engine that listens on every loopback address.
fn start_engine(fleet: &Fleet) -> Result<Process, Error> {
    let model = fleet.deployment.engines.model.clone();
    let args = ["engine", "--listen", "0.0.0.0:0", "--id", "many", "--model", &model];
    let options = launch::Options {
        args: args.into_iter().map(str::to_owned).collect(),
        ..launch::Options::standin("engine", &[])?
    };
    Ok(Process::start(&options)?)
}

/// Endpoints with different loopback addresses and the same port.
fn loopback_endpoints(fleet: &Fleet, port: u16, count: usize) -> Vec<EndpointInfo> {
    let endpoint = |i: usize| {
        let (block, host) = (i / BLOCK_ADDRESSES + 1, i % BLOCK_ADDRESSES + 1);
        // Both stay below 256 for every number of endpoints that fits into a manifest.
        let addr = Ipv4Addr::new(127, 1, block as u8, host as u8);
        EndpointInfo {
            id: format!("many-{i}"),
            zone: fleet.deployment.zone(i),
            addr: SocketAddr::from((addr, port)),
        }
    };
    (0..count).map(endpoint).collect()
}

fn publish(fleet: &mut Fleet, engines: &[EndpointInfo], pools: u32) -> Result<(), Error> {
    let plain_endpoints: Vec<EndpointInfo> = fleet.plain_endpoints.iter().map(|plain| plain.info.clone()).collect();
    let (deployment, version) = (fleet.deployment.clone(), fleet.manifest.version);
    let mut list = documents::endpoint_list(&deployment, &deployment.engines.service, engines);
    list.extend(documents::endpoint_list(
        &deployment,
        &deployment.plain.service,
        &plain_endpoints,
    ));
    let path = format!("{TEST_LIST_PATH}{ENDPOINT_LIST}");
    probe::put(fleet.config.addr(), &path, Value::Array(list).to_string().as_bytes())?;
    let mut next = documents::manifest(&deployment, version, engines, &plain_endpoints);
    for service in next
        .services
        .iter_mut()
        .filter(|service| service.id == deployment.engines.service)
    {
        service.pools = pools;
    }
    fleet.publish(|manifest: &mut Manifest| *manifest = next)?;
    Ok(())
}
