//! `celerytide status`.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::SocketAddr;

use celerytide_types::{Digest, InstanceId, Millis, Version, ZoneId, data};
use serde_json::{Map, Value};
use tokio_util::sync::CancellationToken;

use crate::args::Status;
use crate::{Exit, ask, show};

data! {
    /// A daemon's answer to `GET /status`.
    struct DaemonStatus {
        #[serde(default)]
        process: String,
        #[serde(default)]
        instance: InstanceId,
        /// Text or number, as the daemon writes it.
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
        /// Every further field.
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
        /// Every further field.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// The instance list that the daemon last saw.
    struct ListState {
        version: Version,
        #[serde(default)]
        age_ms: Option<Millis>,
        /// Every further field.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// What one address said.
    struct Answer {
        address: SocketAddr,
        status: Option<DaemonStatus>,
        error: Option<String>,
    }
}

/// Asks every address at once and prints the answers in their order.
pub(crate) fn run(cmd: &Status, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    let answers = ask::block_on(ask_all(cmd.addresses.clone()))?;
    if cmd.json {
        show::json(&answers, out)?;
    } else {
        for answer in &answers {
            print(answer, out, err)?;
        }
        if !agree(&answers) {
            writeln!(out, "the manifests in force differ")?;
        }
    }
    Ok(exit_of(&answers))
}

fn exit_of(answers: &[Answer]) -> Exit {
    if answers.iter().any(|answer| answer.status.is_none()) {
        return Exit::Unreachable;
    }
    let all_ready = answers
        .iter()
        .flat_map(|answer| &answer.status)
        .all(|status| status.ready);
    if all_ready && agree(answers) {
        Exit::Fine
    } else {
        Exit::Findings
    }
}

/// Whether all that answered have the same manifest in force.
fn agree(answers: &[Answer]) -> bool {
    let known = answers.iter().flat_map(|answer| &answer.status);
    let manifests = known.map(|status| status.manifest.as_ref().map(|m| (m.version, m.digest.as_str())));
    manifests.collect::<BTreeSet<_>>().len() <= 1
}

async fn ask_all(addresses: Vec<SocketAddr>) -> Vec<Answer> {
    let cx = CancellationToken::new();
    let client = ask::client();
    let mut tasks = Vec::new();
    for address in addresses {
        let (client, cx) = (client.clone(), cx.clone());
        tasks.push(monoio::spawn(async move {
            let got = ask::get::<DaemonStatus>(&client, address, "/status", &cx).await;
            let error = got.as_ref().err().map(ToString::to_string);
            Answer {
                address,
                status: got.ok(),
                error,
            }
        }));
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

fn print(answer: &Answer, out: &mut impl Write, err: &mut impl Write) -> io::Result<()> {
    let address = answer.address;
    let Some(status) = &answer.status else {
        let error = answer.error.as_deref().unwrap_or("no answer");
        return writeln!(err, "{address}: {}", show::clean(error));
    };
    let ready = if status.ready { "ready" } else { "not ready" };
    let (process, instance, zone) = (
        show::clean(&status.process),
        show::clean(&status.instance),
        &status.zone,
    );
    writeln!(
        out,
        "{address}: {process} on {instance}, zone {}, {ready}",
        show::clean(zone)
    )?;
    writeln!(out, "  incarnation: {}", show::flat(&status.incarnation))?;
    match &status.manifest {
        Some(state) => print_manifest(state, out)?,
        None => writeln!(out, "  manifest: none")?,
    }
    match &status.list {
        Some(state) => print_list(state, out)?,
        None => writeln!(out, "  list: none")?,
    }
    show::fields(&status.more, 1, out)
}

fn print_manifest(state: &ManifestState, out: &mut impl Write) -> io::Result<()> {
    let digest = show::clean(&state.digest);
    writeln!(
        out,
        "  manifest: version {}, digest {digest}{}",
        state.version,
        age(state.age_ms)
    )?;
    show::fields(&state.more, 2, out)
}

fn print_list(state: &ListState, out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "  list: version {}{}", state.version, age(state.age_ms))?;
    show::fields(&state.more, 2, out)
}

fn age(age_ms: Option<Millis>) -> String {
    age_ms.map(|age| format!(", age {age} ms")).unwrap_or_default()
}
