//! Many listed endpoints: what owning them and knowing them costs without traffic.
//!
//! One stand-in engine listens on every loopback address; each endpoint is another address of the network 127.0.0.0/8,
//! so every endpoint answers when it is asked for its load.

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
    report::{Report, Row, sizes},
    sample::{self, STOP_TIMEOUT, core, mean, most, private, resident},
};

const ENDPOINT_LIST: &str = "celerytide-endpoints";
/// Addresses of one block of 127.1.0.0/16.
const BLOCK: usize = 250;
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

/// Measures each size in turn.
pub fn run(options: &Options) -> Result<Report, Error> {
    let rows = sizes(&options.sizes)?.into_iter().map(|size| row(options, size));
    let rows = rows.collect::<Result<Vec<_>, _>>()?;
    Ok(Report::new("Listed endpoints without traffic", "endpoints", rows))
}

fn row(options: &Options, size: usize) -> Result<Row, Error> {
    eprintln!("endpoints: {size} ...");
    let mut fleet = sample::start(&Deployment::demo(INSTANCES)?)?;
    let engine = engine(&fleet)?;
    let engines = many(&fleet, engine.addr().port(), size);
    publish(&mut fleet, &engines, options.pools)?;
    thread::sleep(Duration::from_secs(options.settle));
    let sample = sample::measure(&fleet, Duration::from_secs(options.seconds))?;
    fleet.stop(STOP_TIMEOUT);
    let least = sample.dispatches.iter().map(core).fold(f64::INFINITY, f64::min);
    Ok(Row::new(size)
        .with("entry % of a core, mean", mean(&sample.entries, core))
        .with("dispatch % of a core, most", most(&sample.dispatches, core))
        .with("dispatch % of a core, least", least)
        .with("entry resident MiB", mean(&sample.entries, resident))
        .with("entry private MiB", mean(&sample.entries, private))
        .with("dispatch resident MiB, most", most(&sample.dispatches, resident))
        .with("dispatch private MiB, most", most(&sample.dispatches, private))
        .with(
            "loopback bytes/s, both instances",
            sample.loopback_bytes as f64 / sample.seconds,
        ))
}

/// An engine that answers on every loopback address.
fn engine(fleet: &Fleet) -> Result<Process, Error> {
    let model = fleet.deployment.engines.model.clone();
    let args = ["engine", "--listen", "0.0.0.0:0", "--id", "many", "--model", &model];
    let options = launch::Options {
        args: args.into_iter().map(str::to_owned).collect(),
        ..launch::Options::standin("engine", &[])?
    };
    Ok(Process::start(&options)?)
}

/// Endpoints at different loopback addresses and one port.
fn many(fleet: &Fleet, port: u16, count: usize) -> Vec<EndpointInfo> {
    let one = |i: usize| {
        let (block, host) = (i / BLOCK + 1, i % BLOCK + 1);
        // Both stay below 256 for every size that a manifest can hold.
        let addr = Ipv4Addr::new(127, 1, block as u8, host as u8);
        EndpointInfo {
            id: format!("many-{i}"),
            zone: fleet.deployment.zone(i),
            addr: SocketAddr::from((addr, port)),
        }
    };
    (0..count).map(one).collect()
}

fn publish(fleet: &mut Fleet, engines: &[EndpointInfo], pools: u32) -> Result<(), Error> {
    let plain_endpoints: Vec<EndpointInfo> = fleet.plain_endpoints.iter().map(|plain| plain.info.clone()).collect();
    let (plan, version) = (fleet.deployment.clone(), fleet.manifest.version);
    let mut list = documents::endpoint_list(&plan, &plan.engines.service, engines);
    list.extend(documents::endpoint_list(&plan, &plan.plain.service, &plain_endpoints));
    let path = format!("{TEST_LIST_PATH}{ENDPOINT_LIST}");
    probe::put(fleet.config.addr(), &path, Value::Array(list).to_string().as_bytes())?;
    let mut next = documents::manifest(&plan, version, engines, &plain_endpoints);
    for service in next
        .services
        .iter_mut()
        .filter(|service| service.id == plan.engines.service)
    {
        service.pools = pools;
    }
    fleet.publish(|manifest: &mut Manifest| *manifest = next)?;
    Ok(())
}
