//! Start and graceful stop of the entry.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use celerytide_http::{Limits, server};
use celerytide_kernel::Kernel;
use celerytide_kernel::audit::Kind;
use celerytide_manifest::EntrySettings;
use celerytide_node::{Error, HttpSnafu, Identity, Node, Pace, Role, listen};
use celerytide_once::OutcomeCopy;
use celerytide_types::now_boot;
use celerytide_wire::messages::{Ack, Method};
use monoio::time::{sleep, timeout};
use snafu::ResultExt;
use tokio_util::sync::CancellationToken;

use crate::entry::{Callers, Entry, Peers};
use crate::status::EntryStatus;

/// An entry grants nothing, so that the membership's own bounds do.
const PACE: Pace = Pace {
    gossip_interval: Duration::from_secs(1),
    view_age: None,
};
/// Exit code after a stop that cut requests.
const EXIT_CUT: u8 = 1;
/// Time between looks at what still runs.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time in which the platform's balancer notices that the entry isn't ready any more.
const UNREADY_TIME: Duration = Duration::from_millis(300);
/// Time to give the outcomes of tickets to another entry.
const OUTCOMES_TIME: Duration = Duration::from_secs(2);
/// Copies in one message.
const COPIES_PER_MESSAGE: usize = 64;
/// Time between sweeps of old tickets.
const SWEEP: Duration = Duration::from_secs(5);

/// Runs the entry until a signal stops it.
pub async fn run(kernel: Kernel, settings: EntrySettings) -> Result<ExitCode, Error> {
    let node = Node::start(&kernel, identity(&settings), &settings.platform, PACE, wire(&settings))?;
    let entry = Rc::new(Entry::new(node.clone(), settings.clone()));
    node.serve_operators(&kernel, settings.operator_address, Rc::new(EntryStatus(entry.clone())))?;
    let peers = listen(settings.peer_address)?;
    let accept = CancellationToken::new();
    let peer_service = Rc::new(Peers(entry.clone()));
    monoio::spawn(celerytide_wire::serve(
        peers,
        wire(&settings),
        peer_service,
        node.abort.clone(),
    ));
    let limits = limits(&settings);
    let listener = server::bind(settings.caller_address, &limits).context(HttpSnafu)?;
    let callers = Rc::new(Callers(entry.clone()));
    let serving = monoio::spawn(server::serve(listener, limits, callers, accept.clone()));
    monoio::spawn(sweep(entry.clone()));
    tracing::info!(instance = node.instance, address = %settings.caller_address, "entry: serving callers");
    node.stop.cancelled().await;
    let code = stop(&entry, &accept).await;
    drop(serving);
    Ok(code)
}

async fn stop(entry: &Rc<Entry>, accept: &CancellationToken) -> ExitCode {
    let node = &entry.node;
    node.ready.set("serving", false);
    node.audit.record(Kind::Process, &node.instance, "stopping", 0);
    monoio::select! {
        () = sleep(UNREADY_TIME) => {}
        () = node.abort.cancelled() => {}
    }
    accept.cancel();
    let drained = monoio::select! {
        () = drained(entry) => true,
        () = sleep(entry.settings.timeouts.stop) => false,
        () = node.abort.cancelled() => false,
    };
    if !drained {
        let cut = entry.busy.count();
        tracing::warn!(cut, "entry: stopped at once; requests in flight were cut");
        return ExitCode::from(EXIT_CUT);
    }
    hand_over_outcomes(entry).await;
    tracing::info!("entry: stopped; nothing was cut");
    ExitCode::SUCCESS
}

async fn drained(entry: &Entry) {
    while entry.busy.count() > 0 || entry.acquire.leases().count() > 0 {
        sleep(DRAIN_POLL).await;
    }
}

async fn hand_over_outcomes(entry: &Entry) {
    let copies = entry.home.export(now_boot());
    if copies.is_empty() {
        return;
    }
    for addr in entry.holders_of(&entry.node.instance) {
        let sent = timeout(OUTCOMES_TIME, send_outcomes(entry, addr, &copies)).await;
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
    let mut ex = entry.node.links.open(addr, Method::Outcomes, &first).await?;
    for chunk in chunks {
        ex.send(&chunk).await?;
    }
    ex.send_last(&Vec::<OutcomeCopy>::new()).await?;
    let _: Ack = ex.recv_required().await?;
    Ok(())
}

async fn sweep(entry: Rc<Entry>) {
    loop {
        sleep(SWEEP).await;
        entry.home.sweep(now_boot());
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

fn wire(settings: &EntrySettings) -> celerytide_wire::Options {
    celerytide_wire::Options {
        connect: settings.timeouts.connect,
        ping: settings.timeouts.peer_ping,
        silence: settings.timeouts.peer_silence,
    }
}

fn limits(settings: &EntrySettings) -> Limits {
    Limits {
        max_head: settings.limits.max_head_bytes,
        max_body: settings.limits.max_body_bytes,
        head: settings.timeouts.head,
        body: settings.timeouts.body,
        idle: settings.timeouts.idle,
        write: settings.timeouts.write,
        connections: settings.limits.max_connections,
    }
}
