//! `celerytide explain`.

use std::io::{self, Write};
use std::net::SocketAddr;

use celerytide_types::{RequestId, data};
use serde_json::{Map, Value};
use tokio_util::sync::CancellationToken;

use crate::args::Explain;
use crate::{Exit, ask, show};

data! {
    /// A daemon's answer to `GET /explain/REQUEST-ID`.
    struct Explanation {
        #[serde(default)]
        request: RequestId,
        #[serde(default)]
        word: Option<String>,
        #[serde(default)]
        cause: Option<String>,
        #[serde(default)]
        steps: Vec<Step>,
        /// Every further field.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// One step of a request.
    struct Step {
        #[serde(default)]
        at_unix_ms: u64,
        #[serde(default)]
        step: String,
        #[serde(default)]
        detail: Option<Value>,
        /// Every further field.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// What one address said.
    struct Answer {
        address: SocketAddr,
        explanation: Option<Explanation>,
        error: Option<String>,
        /// The address answered that it does not know the request.
        unknown: bool,
    }

    /// What all addresses said of one request.
    struct Report {
        request: RequestId,
        answers: Vec<Answer>,
    }
}

/// Asks each address for the request and prints its steps in their order in time.
pub(crate) fn run(cmd: &Explain, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    if !is_path_part(&cmd.request) {
        writeln!(
            err,
            "a request id has 1 to 256 letters, digits, '-', '_', '.', '~', ':'"
        )?;
        return Ok(Exit::Usage);
    }
    let addresses = cmd.at.iter().chain(&cmd.more).copied().collect();
    let report = Report {
        request: cmd.request.clone(),
        answers: ask::block_on(ask_all(&cmd.request, addresses))?,
    };
    match cmd.json {
        true => show::json(&report, out)?,
        false => print(&report, out, err)?,
    }
    Ok(exit_of(&report))
}

fn exit_of(report: &Report) -> Exit {
    if report.answers.iter().any(|answer| answer.explanation.is_some()) {
        return Exit::Fine;
    }
    match report.answers.iter().all(|answer| answer.unknown) {
        true => Exit::Findings,
        false => Exit::Unreachable,
    }
}

fn is_path_part(request: &str) -> bool {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~' | b':');
    let has_letter = request.bytes().any(|b| b != b'.');
    has_letter && request.len() <= REQUEST_ID_MAX_BYTES && request.bytes().all(is_plain)
}

const REQUEST_ID_MAX_BYTES: usize = 256;

async fn ask_all(request: &str, addresses: Vec<SocketAddr>) -> Vec<Answer> {
    let cx = CancellationToken::new();
    let client = ask::client();
    let path = format!("/explain/{request}");
    let mut tasks = Vec::new();
    for address in addresses {
        let (client, cx, path) = (client.clone(), cx.clone(), path.clone());
        tasks.push(monoio::spawn(async move {
            let got = ask::get::<Explanation>(&client, address, &path, &cx).await;
            let error = got.as_ref().err().map(ToString::to_string);
            let unknown = matches!(got, Err(ask::Error::Unknown));
            Answer {
                address,
                explanation: got.ok(),
                error,
                unknown,
            }
        }));
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

fn print(report: &Report, out: &mut impl Write, err: &mut impl Write) -> io::Result<()> {
    let mut steps = Vec::new();
    for answer in &report.answers {
        let address = answer.address;
        match &answer.explanation {
            Some(explanation) => {
                writeln!(out, "{} at {address}: {}", report.request, summary(explanation))?;
                show::fields(&explanation.more, 1, out)?;
                steps.extend(explanation.steps.iter().map(|step| (address, step)));
            }
            None => writeln!(
                err,
                "{address}: {}",
                show::clean(answer.error.as_deref().unwrap_or("no answer"))
            )?,
        }
    }
    steps.sort_by_key(|(_, step)| step.at_unix_ms);
    for (address, step) in steps {
        let detail = step
            .detail
            .as_ref()
            .map(|detail| format!(": {}", show::flat(detail)))
            .unwrap_or_default();
        writeln!(
            out,
            "  {} {address} {}{detail}",
            show::time(step.at_unix_ms),
            show::clean(&step.step)
        )?;
        show::fields(&step.more, 2, out)?;
    }
    Ok(())
}

fn summary(explanation: &Explanation) -> String {
    let word = explanation.word.as_deref().unwrap_or("no final word yet");
    match explanation.cause.as_deref() {
        Some(cause) if !cause.is_empty() => format!("{} ({})", show::clean(word), show::clean(cause)),
        _ => show::clean(word),
    }
}
