//! Starts the entry, and stops it without cutting requests that are running.

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use celerytide_http::memory::{Account, Limit};
use celerytide_http::{Limits, server};
use celerytide_kernel::Kernel;
use celerytide_kernel::audit::Kind;
use celerytide_manifest::EntrySettings;
use celerytide_node::{Error, HttpSnafu, Identity, Node, Role, ViewTiming, listen};
use celerytide_once::OutcomeCopy;
use celerytide_types::now_boot;
use celerytide_wire::messages::{Ack, Method};
use monoio::time::{sleep, timeout};
use snafu::ResultExt;
use tokio_util::sync::CancellationToken;

use crate::entry::{CallerHandler, Entry, PeerHandler};
use crate::status::EntryStatus;

/// An entry grants no permits, so the default bound on the age of views suffices.
const VIEW_TIMING: ViewTiming = ViewTiming {
    gossip_interval: Duration::from_secs(1),
    view_age: None,
};
/// Exit code after a stop that cut requests.
const EXIT_CUT: u8 = 1;
/// Interval of checks whether requests are still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the platform's load balancer to notice that the entry is no longer ready.
const UNREADY_DELAY: Duration = Duration::from_millis(300);
/// Longest time to copy the ticket outcomes to one other entry.
const OUTCOMES_TIMEOUT: Duration = Duration::from_secs(2);
/// Most outcome copies in one message.
const COPIES_PER_MESSAGE: usize = 64;
/// Interval at which expired tickets are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the entry until a signal stops it.
pub async fn run(kernel: Kernel, settings: EntrySettings) -> Result<ExitCode, Error> {
    let node = Node::start(
        &kernel,
        identity(&settings),
        &settings.platform,
        VIEW_TIMING,
        wire_options(&settings),
    )?;
    let entry = Rc::new(Entry::new(node.clone(), settings.clone()));
    node.serve_operators(&kernel, settings.operator_address, Rc::new(EntryStatus(entry.clone())))?;
    let peer_listener = listen(settings.peer_address)?;
    let accept = CancellationToken::new();
    let peer_handler = Rc::new(PeerHandler(entry.clone()));
    monoio::spawn(celerytide_wire::serve(
        peer_listener,
        wire_options(&settings),
        peer_handler,
        node.abort.clone(),
    ));
    let limits = http_limits(&settings);
    let listener = server::bind(settings.caller_address, &limits).context(HttpSnafu)?;
    let callers = Rc::new(CallerHandler(entry.clone()));
    let shutdown = server::Shutdown {
        drain: accept.clone(),
        end: accept.clone(),
    };
    let limits = Rc::new(Cell::new(limits));
    let account = open_account(&settings);
    let serving = monoio::spawn(server::serve_with_account(listener, limits, callers, shutdown, account));
    monoio::spawn(sweep(entry.clone()));
    tracing::info!(instance = node.instance, address = %settings.caller_address, "entry: serving callers");
    node.stop.cancelled().await;
    let code = stop(&entry, &accept).await;
    drop(serving);
    Ok(code)
}

fn open_account(settings: &EntrySettings) -> Account {
    let memory_mb = settings.limits.memory_mb;
    let limit = Limit::find((memory_mb > 0).then_some(memory_mb));
    tracing::info!(bytes = limit.bytes, source = %limit.source, "memory: limit");
    Account::new(limit)
}

async fn stop(entry: &Rc<Entry>, accept: &CancellationToken) -> ExitCode {
    let node = &entry.node;
    node.ready.set("serving", false);
    node.audit.record(Kind::Process, &node.instance, "stopping", 0);
    monoio::select! {
        () = sleep(UNREADY_DELAY) => {}
        () = node.abort.cancelled() => {}
    }
    accept.cancel();
    let drained = monoio::select! {
        () = wait_until_drained(entry) => true,
        () = sleep(entry.settings.timeouts.stop) => false,
        () = node.abort.cancelled() => false,
    };
    if !drained {
        let cut = entry.in_flight.count();
        tracing::warn!(cut, "entry: stopped at once; requests in flight were cut");
        return ExitCode::from(EXIT_CUT);
    }
    hand_over_outcomes(entry).await;
    tracing::info!("entry: stopped; nothing was cut");
    ExitCode::SUCCESS
}

async fn wait_until_drained(entry: &Entry) {
    while entry.in_flight.count() > 0 || entry.permits.leases().count() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn hand_over_outcomes(entry: &Entry) {
    let copies = entry.tickets.close_and_export(now_boot());
    if copies.is_empty() {
        return;
    }
    for addr in entry.outcome_holders(&entry.node.instance) {
        let sent = timeout(OUTCOMES_TIMEOUT, send_outcomes(entry, addr, &copies)).await;
        match sent {
            Ok(Ok(())) => tracing::info!(%addr, count = copies.len(), "entry: outcomes handed over"),
            Ok(Err(error)) => tracing::warn!(%addr, %error, "entry: outcomes not handed over"),
            Err(_) => tracing::warn!(%addr, "entry: outcomes not handed over in time"),
        }
    }
}

async fn send_outcomes(
    entry: &Entry,
    addr: std::net::SocketAddr,
    copies: &[OutcomeCopy],
) -> Result<(), celerytide_wire::Error> {
    let mut chunks = copies.chunks(COPIES_PER_MESSAGE).peekable();
    let first = chunks.next().unwrap_or_default();
    let mut ex = entry.node.connections.open(addr, Method::Outcomes, &first).await?;
    for chunk in chunks {
        ex.send(&chunk).await?;
    }
    ex.send_last(&Vec::<OutcomeCopy>::new()).await?;
    let _: Ack = ex.recv_required().await?;
    Ok(())
}

async fn sweep(entry: Rc<Entry>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        entry.tickets.sweep(now_boot());
    }
}

fn identity(settings: &EntrySettings) -> Identity {
    Identity {
        role: Role::Entry,
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    }
}

fn wire_options(settings: &EntrySettings) -> celerytide_wire::Options {
    celerytide_wire::Options {
        connect: settings.timeouts.connect,
        ping: settings.timeouts.peer_ping,
        ping_timeout: settings.timeouts.peer_silence,
    }
}

fn http_limits(settings: &EntrySettings) -> Limits {
    Limits {
        max_head_bytes: settings.limits.max_head_bytes,
        max_body_bytes: settings.limits.max_body_bytes,
        head_timeout: settings.timeouts.head,
        body_timeout: settings.timeouts.body,
        idle_timeout: settings.timeouts.idle,
        write_timeout: settings.timeouts.write,
        max_connections: settings.limits.max_connections,
    }
}
