//! Demonstration: starts a small deployment, sends requests through two entries, and runs until a signal.

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

/// Time for the daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the daemons to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval for checking whether a signal arrived.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of entries that get requests; the smallest number of instances.
const MIN_ENTRIES: usize = 2;

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

/// Reason why the demonstration failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The deployment did not start.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Underlying error.
        source: fleet::Error,
    },
    /// The embedded deployment is invalid.
    #[snafu(display("{source}"), context(false))]
    Deployment {
        /// Underlying error.
        source: serde_saphyr::Error,
    },
    /// Starting the runtime or registering the signal handlers failed.
    #[snafu(display("{source}"))]
    System {
        /// Underlying error.
        source: io::Error,
    },
    /// A request was not served.
    #[snafu(display("{what}: status {status}, word {word:?}, cause {cause:?}, {body}"))]
    Request {
        /// Kind of the request.
        what: String,
        /// HTTP status.
        status: u16,
        /// Execution status; empty if the response had none.
        word: String,
        /// Cause of the execution status.
        cause: String,
        /// Response body.
        body: String,
    },
    /// A daemon did not exit successfully in time.
    #[snafu(display("not every daemon stopped by itself within {bound:?}"))]
    StopTimeout {
        /// Timeout for all daemons.
        bound: Duration,
    },
}

#[derive(Deserialize)]
struct TicketResponse {
    ticket: String,
}

/// Runs the demonstration.
pub fn run(options: &Options) -> Result<(), Error> {
    let shutdown = Shutdown::register().context(SystemSnafu)?;
    let deployment = Deployment::demo(options.instances.max(MIN_ENTRIES))?;
    println!(
        "starting {} instances in {} zones ...",
        deployment.instances,
        deployment.zones.len()
    );
    let mut fleet = Fleet::start(&deployment, fleet::Options { own_group: true })?;
    fleet.wait_ready(READY_TIMEOUT)?;
    print_fleet(&fleet);
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .context(SystemSnafu)?;
    runtime.block_on(send_requests(&fleet))?;
    print_curl_examples(&fleet);
    if !options.once {
        println!("\nCtrl-C ends everything.");
        while !shutdown.is_requested() {
            thread::sleep(SIGNAL_POLL_INTERVAL);
        }
    }
    println!("stopping ...");
    if !fleet.stop(STOP_TIMEOUT) {
        return StopTimeoutSnafu { bound: STOP_TIMEOUT }.fail();
    }
    println!("all daemons have stopped");
    Ok(())
}

fn print_fleet(fleet: &Fleet) {
    println!("configuration service  http://{}", fleet.config.addr());
    for endpoint in fleet.engines.iter().chain(&fleet.plain_endpoints) {
        let info = &endpoint.info;
        println!("endpoint {:<12}  http://{}  {}", info.id, info.addr, info.zone);
    }
    for instance in &fleet.instances {
        let addresses = &instance.addresses;
        println!(
            "instance {:<4} {}  callers http://{}  operators http://{} (entry) http://{} (dispatch)",
            addresses.id, addresses.zone, addresses.caller, addresses.entry_operator, addresses.dispatch_operator
        );
    }
}

async fn send_requests(fleet: &Fleet) -> Result<(), Error> {
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
    for (i, addr) in callers.iter().take(MIN_ENTRIES).enumerate() {
        let model = &fleet.deployment.engines.model;
        let req = CallerRequest::chat(
            *addr,
            &key,
            &format!("demo-stream-{i}"),
            model,
            "May I carry leave over?",
            Some(24),
        );
        print!("\nentry {addr}, streamed: ");
        let outcome = send(&client, &req, "streamed chat", true).await?;
        println!("\n  {} tokens, word {:?}", outcome.tokens, outcome.word);
    }
    for (i, addr) in callers.iter().take(MIN_ENTRIES).enumerate() {
        let path = format!("/services/{}/hello", fleet.deployment.plain.service);
        let req = CallerRequest::plain(*addr, &key, &format!("demo-plain-{i}"), Method::GET, &path);
        let outcome = send(&client, &req, "plain call", false).await?;
        println!("\nentry {addr}, plain call: {}", String::from_utf8_lossy(&outcome.body));
    }
    match callers.as_slice() {
        [first, second, ..] => send_with_ticket(&client, fleet, *first, *second, &key).await,
        _ => Ok(()),
    }
}

/// Obtains a ticket from one entry and uses it twice: at the other entry, then at the first.
async fn send_with_ticket(
    client: &Client,
    fleet: &Fleet,
    first: SocketAddr,
    second: SocketAddr,
    key: &str,
) -> Result<(), Error> {
    let req = CallerRequest::plain(first, key, "demo-ticket", Method::POST, "/v1/tickets");
    let response = send(client, &req, "ticket", false).await?;
    let ticket = match serde_json::from_slice::<TicketResponse>(&response.body) {
        Ok(response) => response.ticket,
        Err(_) => return Err(request_error("ticket", &response)),
    };
    println!("\nentry {first}, ticket: {ticket}");
    let path = format!("/services/{}/submit", fleet.deployment.plain.service);
    for (i, addr) in [second, first].into_iter().enumerate() {
        let mut req = CallerRequest::plain(addr, key, &format!("demo-submit-{i}"), Method::POST, &path);
        req.ticket = Some(ticket.clone());
        req.body = Bytes::from_static(b"{\"form\":\"leave\"}");
        let outcome = send(client, &req, "protected call", false).await?;
        println!(
            "entry {addr}, protected call: word {:?}: {}",
            outcome.word,
            String::from_utf8_lossy(&outcome.body)
        );
    }
    Ok(())
}

async fn send(client: &Client, req: &CallerRequest, what: &str, print_tokens: bool) -> Result<CallOutcome, Error> {
    let on_token = |token: &str| {
        if print_tokens {
            print!("{token}");
            // The demonstration continues even if stdout is closed.
            let _ = io::stdout().flush();
        }
    };
    let outcome = caller::send(client, req, &CancellationToken::new(), on_token).await;
    if (200..300).contains(&outcome.status) && outcome.is_complete {
        Ok(outcome)
    } else {
        Err(request_error(what, &outcome))
    }
}

fn request_error(what: &str, outcome: &CallOutcome) -> Error {
    Error::Request {
        what: what.to_owned(),
        status: outcome.status,
        word: outcome.word.clone(),
        cause: outcome.cause.clone(),
        body: String::from_utf8_lossy(&outcome.body).into_owned(),
    }
}

fn print_curl_examples(fleet: &Fleet) {
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
