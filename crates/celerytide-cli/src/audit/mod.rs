//! The `celerytide audit` command: prints a daemon's changes, and follows new ones.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_http::client::Client;
use celerytide_types::data;
use serde_json::{Map, Value};
use tokio_util::sync::CancellationToken;

use crate::args::Audit;
use crate::{Exit, output, query};

/// Interval between two queries while following.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

data! {
    /// A change that a daemon applied or refused.
    struct Change {
        seq: u64,
        #[serde(default)]
        at_unix_ms: u64,
        #[serde(default)]
        kind: String,
        #[serde(default)]
        subject: String,
        #[serde(default)]
        cause: String,
        #[serde(default)]
        version: Option<Value>,
        /// All other fields.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// The field of `GET /status` that identifies one run of a daemon's process.
    struct ProcessRun {
        /// A text or a number, as the daemon sends it.
        #[serde(default)]
        incarnation: Value,
    }
}

/// Prints the changes after a sequence number; with `follow`, continues until the daemon can't be reached.
pub(crate) fn run(cmd: &Audit, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    match query::block_on(print_changes(cmd, out))? {
        Ok(()) => Ok(Exit::Fine),
        Err(Error::Query { source }) => {
            writeln!(err, "{}: {source}", cmd.address)?;
            Ok(Exit::Unreachable)
        }
        Err(Error::Write { source }) => Err(source),
    }
}

/// Why the command ends before all changes are printed.
enum Error {
    Query { source: query::Error },
    Write { source: io::Error },
}

impl From<query::Error> for Error {
    fn from(source: query::Error) -> Error {
        Error::Query { source }
    }
}

impl From<io::Error> for Error {
    fn from(source: io::Error) -> Error {
        Error::Write { source }
    }
}

async fn print_changes(cmd: &Audit, out: &mut impl Write) -> Result<(), Error> {
    let cx = CancellationToken::new();
    let client = query::client();
    if !cmd.follow {
        let changes = fetch_changes(&client, cmd.address, cmd.since, &cx).await?;
        return print_list(&changes, cmd.json, out);
    }
    let mut since = cmd.since;
    let mut incarnation = None;
    loop {
        let current: ProcessRun = query::get(&client, cmd.address, "/status", &cx).await?;
        // A restarted daemon numbers its changes from the beginning.
        let restarted = incarnation
            .as_ref()
            .is_some_and(|previous| *previous != current.incarnation);
        if restarted {
            since = 0;
        }
        incarnation = Some(current.incarnation);
        let changes = fetch_changes(&client, cmd.address, since, &cx).await?;
        since = changes.iter().map(|change| change.seq).max().unwrap_or(since);
        print_lines(&changes, cmd.json, out)?;
        monoio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

async fn fetch_changes(
    client: &Client,
    address: SocketAddr,
    since: u64,
    cx: &CancellationToken,
) -> Result<Vec<Change>, query::Error> {
    query::get(client, address, &format!("/audit?since={since}"), cx).await
}

fn print_list(changes: &[Change], json: bool, out: &mut impl Write) -> Result<(), Error> {
    if json {
        output::print_json(&changes, out)?;
        return Ok(());
    }
    print_lines(changes, json, out)
}

fn print_lines(changes: &[Change], json: bool, out: &mut impl Write) -> Result<(), Error> {
    for change in changes {
        match json {
            true => output::print_json_line(change, out)?,
            false => writeln!(out, "{}", format_change(change))?,
        }
    }
    out.flush()?;
    Ok(())
}

fn format_change(change: &Change) -> String {
    let (kind, subject, cause) = (
        output::replace_control_chars(&change.kind),
        output::replace_control_chars(&change.subject),
        output::replace_control_chars(&change.cause),
    );
    let mut line = format!(
        "{} #{} {kind} {subject}: {cause}",
        output::format_time(change.at_unix_ms),
        change.seq
    );
    if let Some(version) = &change.version {
        line.push_str(&format!(" (version {})", output::one_line(version)));
    }
    if !change.more.is_empty() {
        line.push_str(&format!(" [{}]", output::one_line(&Value::Object(change.more.clone()))));
    }
    line
}
