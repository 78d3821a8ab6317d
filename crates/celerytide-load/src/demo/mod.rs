//! Starts a small deployment, sends requests through two entries, and keeps it running until a signal.

use std::{
    io::{self, Write},
    net::SocketAddr,
    thread,
    time::Duration,
};

use argh::FromArgs;
use bytes::Bytes;
use celerytide_http::client::{self, Client};
use http::Method;
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;

use crate::{
    caller::{self, CallOutcome, CallerRequest},
    fleet::{self, Deployment, Fleet},
    signals::Shutdown,
};

/// How long the daemons may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the daemons may take to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks for a signal.
const SIGNAL_LOOK: Duration = Duration::from_millis(50);
/// Entries that requests go through.
const ENTRIES: usize = 2;

/// Start a small deployment on loopback and send requests through it.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "demo")]
pub struct Options {
    /// number of instances, at least 2
    #[argh(option, default = "2")]
    pub instances: usize,
    /// end after the requests
    #[argh(switch)]
    pub once: bool,
}

/// Why the demonstration failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The deployment did not start.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// What went wrong.
        source: fleet::Error,
    },
    /// The embedded deployment is wrong.
    #[snafu(display("{source}"), context(false))]
    Plan {
        /// What the decoder said.
        source: serde_saphyr::Error,
    },
    /// The system refused something.
    #[snafu(display("{source}"))]
    System {
        /// What it said.
        source: io::Error,
    },
    /// A request was not served as it should be.
    #[snafu(display("{what}: status {status}, word {word:?}, cause {cause:?}, {body}"))]
    Request {
        /// Which one.
        what: String,
        /// HTTP status.
        status: u16,
        /// Final word.
        word: String,
        /// Its cause.
        cause: String,
        /// Body of the answer.
        body: String,
    },
    /// A daemon did not stop by itself.
    #[snafu(display("not every daemon stopped by itself within {bound:?}"))]
    Stop {
        /// The time that they had.
        bound: Duration,
    },
}

#[derive(Deserialize)]
struct Taken {
    ticket: String,
}

/// Runs the demonstration.
pub fn run(options: &Options) -> Result<(), Error> {
    let shutdown = Shutdown::register().context(SystemSnafu)?;
    let deployment = Deployment::demo(options.instances.max(ENTRIES))?;
    println!(
        "starting {} instances in {} zones ...",
        deployment.instances,
        deployment.zones.len()
    );
    let mut fleet = Fleet::start(&deployment, fleet::Options { own_group: true })?;
    fleet.wait_ready(READY_TIMEOUT)?;
    show_fleet(&fleet);
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .context(SystemSnafu)?;
    runtime.block_on(requests(&fleet))?;
    show_curl(&fleet);
    if !options.once {
        println!("\nCtrl-C ends everything.");
        while !shutdown.is_requested() {
            thread::sleep(SIGNAL_LOOK);
        }
    }
    println!("stopping ...");
    if !fleet.stop(STOP_TIMEOUT) {
        return StopSnafu { bound: STOP_TIMEOUT }.fail();
    }
    println!("all daemons have stopped");
    Ok(())
}

fn show_fleet(fleet: &Fleet) {
    println!("configuration service  http://{}", fleet.config.addr());
    for endpoint in fleet.engines.iter().chain(&fleet.plain_endpoints) {
        let running = &endpoint.info;
        println!("endpoint {:<12}  http://{}  {}", running.id, running.addr, running.zone);
    }
    for instance in &fleet.instances {
        let at = &instance.addresses;
        println!(
            "instance {:<4} {}  callers http://{}  operators http://{} (entry) http://{} (dispatch)",
            at.id, at.zone, at.caller, at.entry_operator, at.dispatch_operator
        );
    }
}

async fn requests(fleet: &Fleet) -> Result<(), Error> {
    let client = Client::new(client::Options::default());
    let callers: Vec<SocketAddr> = fleet
        .instances
        .iter()
        .map(|instance| instance.addresses.caller)
        .collect();
    let key = fleet
        .deployment
        .customers
        .first()
        .map(|customer| customer.key())
        .unwrap_or_default();
    for (i, addr) in callers.iter().take(ENTRIES).enumerate() {
        let model = &fleet.deployment.engines.model;
        let ask = CallerRequest::chat(
            *addr,
            &key,
            &format!("demo-stream-{i}"),
            model,
            "May I carry leave over?",
            Some(24),
        );
        print!("\nentry {addr}, streamed: ");
        let outcome = send(&client, &ask, "streamed chat", true).await?;
        println!("\n  {} tokens, word {:?}", outcome.tokens, outcome.word);
    }
    for (i, addr) in callers.iter().take(ENTRIES).enumerate() {
        let path = format!("/services/{}/hello", fleet.deployment.plain.service);
        let ask = CallerRequest::plain(*addr, &key, &format!("demo-plain-{i}"), Method::GET, &path);
        let outcome = send(&client, &ask, "plain call", false).await?;
        println!("\nentry {addr}, plain call: {}", String::from_utf8_lossy(&outcome.body));
    }
    match callers.as_slice() {
        [first, second, ..] => protected(&client, fleet, *first, *second, &key).await,
        _ => Ok(()),
    }
}

/// Takes a ticket at one entry and uses it at another, twice.
async fn protected(
    client: &Client,
    fleet: &Fleet,
    first: SocketAddr,
    second: SocketAddr,
    key: &str,
) -> Result<(), Error> {
    let ask = CallerRequest::plain(first, key, "demo-ticket", Method::POST, "/v1/tickets");
    let taken = send(client, &ask, "ticket", false).await?;
    let ticket = match serde_json::from_slice::<Taken>(&taken.body) {
        Ok(taken) => taken.ticket,
        Err(_) => return Err(refused("ticket", &taken)),
    };
    println!("\nentry {first}, ticket: {ticket}");
    let path = format!("/services/{}/submit", fleet.deployment.plain.service);
    for (i, addr) in [second, first].into_iter().enumerate() {
        let mut ask = CallerRequest::plain(addr, key, &format!("demo-submit-{i}"), Method::POST, &path);
        ask.ticket = Some(ticket.clone());
        ask.body = Bytes::from_static(b"{\"form\":\"leave\"}");
        let outcome = send(client, &ask, "protected call", false).await?;
        println!(
            "entry {addr}, protected call: word {:?}: {}",
            outcome.word,
            String::from_utf8_lossy(&outcome.body)
        );
    }
    Ok(())
}

async fn send(client: &Client, ask: &CallerRequest, what: &str, show: bool) -> Result<CallOutcome, Error> {
    let print = |token: &str| {
        if show {
            print!("{token}");
            // The demonstration goes on when nobody reads it.
            let _ = io::stdout().flush();
        }
    };
    let outcome = caller::send(client, ask, &CancellationToken::new(), print).await;
    if (200..300).contains(&outcome.status) && outcome.is_complete {
        Ok(outcome)
    } else {
        Err(refused(what, &outcome))
    }
}

fn refused(what: &str, outcome: &CallOutcome) -> Error {
    Error::Request {
        what: what.to_owned(),
        status: outcome.status,
        word: outcome.word.clone(),
        cause: outcome.cause.clone(),
        body: String::from_utf8_lossy(&outcome.body).into_owned(),
    }
}

fn show_curl(fleet: &Fleet) {
    let (Some(instance), Some(customer)) = (fleet.instances.first(), fleet.deployment.customers.first()) else {
        return;
    };
    let (caller, operator, key) = (
        instance.addresses.caller,
        instance.addresses.entry_operator,
        customer.key(),
    );
    let (model, service) = (&fleet.deployment.engines.model, &fleet.deployment.plain.service);
    println!("\ntry it:");
    println!("  curl -N http://{caller}/v1/chat/completions -H 'authorization: Bearer {key}' \\");
    println!("    -H 'content-type: application/json' \\");
    println!(
        "    -d '{{\"model\":\"{model}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!("  curl http://{caller}/v1/models -H 'authorization: Bearer {key}'");
    println!("  curl http://{caller}/services/{service}/hello -H 'authorization: Bearer {key}'");
    println!("  curl http://{operator}/status");
    println!("  curl http://{operator}/metrics");
}
