//! The `celerytide status` command: prints the status of daemons, and whether they have the same manifest in force.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::SocketAddr;

use celerytide_types::{Digest, InstanceId, Millis, Version, ZoneId, data};
use serde_json::{Map, Value};
use tokio_util::sync::CancellationToken;

use crate::args::Status;
use crate::{Exit, output, query};

data! {
    /// A daemon's response to `GET /status`.
    struct DaemonStatus {
        #[serde(default)]
        process: String,
        #[serde(default)]
        instance: InstanceId,
        /// A text or a number, as the daemon sends it.
        #[serde(default)]
        incarnation: Value,
        #[serde(default)]
        zone: ZoneId,
        #[serde(default)]
        ready: bool,
        #[serde(default)]
        manifest: Option<ManifestState>,
        #[serde(default)]
        list: Option<ListState>,
        /// All other fields.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// The manifest in force.
    struct ManifestState {
        version: Version,
        #[serde(default)]
        digest: Digest,
        #[serde(default)]
        age_ms: Option<Millis>,
        /// All other fields.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// The instance list that the daemon last received.
    struct ListState {
        version: Version,
        #[serde(default)]
        age_ms: Option<Millis>,
        /// All other fields.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// Result of the query to one address.
    struct QueryResult {
        address: SocketAddr,
        status: Option<DaemonStatus>,
        error: Option<String>,
    }
}

/// Queries all addresses concurrently and prints the results in the order of the addresses.
pub(crate) fn run(cmd: &Status, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    let results = query::block_on(query_all(cmd.addresses.clone()))?;
    if cmd.json {
        output::print_json(&results, out)?;
    } else {
        for result in &results {
            print(result, out, err)?;
        }
        if !manifests_agree(&results) {
            writeln!(out, "the manifests in force differ")?;
        }
    }
    Ok(exit_for(&results))
}

fn exit_for(results: &[QueryResult]) -> Exit {
    if results.iter().any(|result| result.status.is_none()) {
        return Exit::Unreachable;
    }
    let all_ready = results
        .iter()
        .flat_map(|result| &result.status)
        .all(|status| status.ready);
    if all_ready && manifests_agree(results) {
        Exit::Fine
    } else {
        Exit::Findings
    }
}

/// Whether all daemons that responded have the same manifest in force.
fn manifests_agree(results: &[QueryResult]) -> bool {
    let known = results.iter().flat_map(|result| &result.status);
    let manifests = known.map(|status| status.manifest.as_ref().map(|m| (m.version, m.digest.as_str())));
    manifests.collect::<BTreeSet<_>>().len() <= 1
}

async fn query_all(addresses: Vec<SocketAddr>) -> Vec<QueryResult> {
    let cx = CancellationToken::new();
    let client = query::client();
    let mut tasks = Vec::new();
    for address in addresses {
        let (client, cx) = (client.clone(), cx.clone());
        tasks.push(monoio::spawn(async move {
            let result = query::get::<DaemonStatus>(&client, address, "/status", &cx).await;
            let error = result.as_ref().err().map(ToString::to_string);
            QueryResult {
                address,
                status: result.ok(),
                error,
            }
        }));
    }
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await);
    }
    results
}

fn print(result: &QueryResult, out: &mut impl Write, err: &mut impl Write) -> io::Result<()> {
    let address = result.address;
    let Some(status) = &result.status else {
        let error = result.error.as_deref().unwrap_or("no answer");
        return writeln!(err, "{address}: {}", output::replace_control_chars(error));
    };
    let ready = if status.ready { "ready" } else { "not ready" };
    let (process, instance, zone) = (
        output::replace_control_chars(&status.process),
        output::replace_control_chars(&status.instance),
        &status.zone,
    );
    writeln!(
        out,
        "{address}: {process} on {instance}, zone {}, {ready}",
        output::replace_control_chars(zone)
    )?;
    writeln!(out, "  incarnation: {}", output::one_line(&status.incarnation))?;
    match &status.manifest {
        Some(state) => print_manifest(state, out)?,
        None => writeln!(out, "  manifest: none")?,
    }
    match &status.list {
        Some(state) => print_list(state, out)?,
        None => writeln!(out, "  list: none")?,
    }
    output::print_fields(&status.more, 1, out)
}

fn print_manifest(state: &ManifestState, out: &mut impl Write) -> io::Result<()> {
    let digest = output::replace_control_chars(&state.digest);
    writeln!(
        out,
        "  manifest: version {}, digest {digest}{}",
        state.version,
        format_age(state.age_ms)
    )?;
    output::print_fields(&state.more, 2, out)
}

fn print_list(state: &ListState, out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "  list: version {}{}", state.version, format_age(state.age_ms))?;
    output::print_fields(&state.more, 2, out)
}

fn format_age(age_ms: Option<Millis>) -> String {
    age_ms.map(|age| format!(", age {age} ms")).unwrap_or_default()
}
