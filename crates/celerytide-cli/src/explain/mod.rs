//! The `celerytide explain` command: prints the steps of a request, collected from several daemons.

use std::io::{self, Write};
use std::net::SocketAddr;

use celerytide_types::{RequestId, data};
use serde_json::{Map, Value};
use tokio_util::sync::CancellationToken;

use crate::args::Explain;
use crate::{Exit, output, query};

data! {
    /// A daemon's response to `GET /explain/REQUEST-ID`.
    struct Explanation {
        #[serde(default)]
        request: RequestId,
        #[serde(default)]
        word: Option<String>,
        #[serde(default)]
        cause: Option<String>,
        #[serde(default)]
        steps: Vec<Step>,
        /// All other fields.
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
        /// All other fields.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// Result of the query to one address.
    struct QueryResult {
        address: SocketAddr,
        explanation: Option<Explanation>,
        error: Option<String>,
        /// Whether the daemon responded that it does not know the request.
        unknown: bool,
    }

    /// Results of all addresses for one request.
    struct Report {
        request: RequestId,
        answers: Vec<QueryResult>,
    }
}

/// Queries each address for the request and prints all steps in order of time.
pub(crate) fn run(cmd: &Explain, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    if !is_valid_request_id(&cmd.request) {
        writeln!(
            err,
            "a request id has 1 to 256 letters, digits, '-', '_', '.', '~', ':'"
        )?;
        return Ok(Exit::Usage);
    }
    let addresses = cmd.at.iter().chain(&cmd.more).copied().collect();
    let report = Report {
        request: cmd.request.clone(),
        answers: query::block_on(query_all(&cmd.request, addresses))?,
    };
    match cmd.json {
        true => output::print_json(&report, out)?,
        false => print(&report, out, err)?,
    }
    Ok(exit_for(&report))
}

fn exit_for(report: &Report) -> Exit {
    if report.answers.iter().any(|answer| answer.explanation.is_some()) {
        return Exit::Fine;
    }
    match report.answers.iter().all(|answer| answer.unknown) {
        true => Exit::Findings,
        false => Exit::Unreachable,
    }
}

fn is_valid_request_id(request: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~' | b':');
    let has_other_than_dots = request.bytes().any(|b| b != b'.');
    has_other_than_dots && request.len() <= MAX_REQUEST_ID_BYTES && request.bytes().all(is_allowed)
}

const MAX_REQUEST_ID_BYTES: usize = 256;

async fn query_all(request: &str, addresses: Vec<SocketAddr>) -> Vec<QueryResult> {
    let cx = CancellationToken::new();
    let client = query::client();
    let path = format!("/explain/{request}");
    let mut tasks = Vec::new();
    for address in addresses {
        let (client, cx, path) = (client.clone(), cx.clone(), path.clone());
        tasks.push(monoio::spawn(async move {
            let result = query::get::<Explanation>(&client, address, &path, &cx).await;
            let error = result.as_ref().err().map(ToString::to_string);
            let unknown = matches!(result, Err(query::Error::NotFound));
            QueryResult {
                address,
                explanation: result.ok(),
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
                output::print_fields(&explanation.more, 1, out)?;
                steps.extend(explanation.steps.iter().map(|step| (address, step)));
            }
            None => writeln!(
                err,
                "{address}: {}",
                output::replace_control_chars(answer.error.as_deref().unwrap_or("no answer"))
            )?,
        }
    }
    steps.sort_by_key(|(_, step)| step.at_unix_ms);
    for (address, step) in steps {
        let detail = step
            .detail
            .as_ref()
            .map(|detail| format!(": {}", output::one_line(detail)))
            .unwrap_or_default();
        writeln!(
            out,
            "  {} {address} {}{detail}",
            output::format_time(step.at_unix_ms),
            output::replace_control_chars(&step.step)
        )?;
        output::print_fields(&step.more, 2, out)?;
    }
    Ok(())
}

fn summary(explanation: &Explanation) -> String {
    let word = explanation.word.as_deref().unwrap_or("no final word yet");
    match explanation.cause.as_deref() {
        Some(cause) if !cause.is_empty() => {
            format!(
                "{} ({})",
                output::replace_control_chars(word),
                output::replace_control_chars(cause)
            )
        }
        _ => output::replace_control_chars(word),
    }
}
