//! `celerytide audit`.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_http::client::Client;
use celerytide_types::data;
use serde_json::{Map, Value};
use tokio_util::sync::CancellationToken;

use crate::args::Audit;
use crate::{Exit, ask, show};

/// Time between two questions while following.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

data! {
    /// One change that a daemon applied or refused.
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
        /// Every further field.
        #[serde(flatten)]
        more: Map<String, Value>,
    }

    /// The part of `GET /status` that tells one life of a daemon from the next.
    struct Life {
        /// Text or number, as the daemon writes it.
        #[serde(default)]
        incarnation: Value,
    }
}

/// Prints the changes after a number; goes on until the daemon is gone if asked to follow.
pub(crate) fn run(cmd: &Audit, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit> {
    match ask::block_on(print_all(cmd, out))? {
        Ok(()) => Ok(Exit::Fine),
        Err(Error::Ask { source }) => {
            writeln!(err, "{}: {source}", cmd.address)?;
            Ok(Exit::Unreachable)
        }
        Err(Error::Write { source }) => Err(source),
    }
}

/// Why no more changes are printed.
enum Error {
    Ask { source: ask::Error },
    Write { source: io::Error },
}

impl From<ask::Error> for Error {
    fn from(source: ask::Error) -> Error {
        Error::Ask { source }
    }
}

impl From<io::Error> for Error {
    fn from(source: io::Error) -> Error {
        Error::Write { source }
    }
}

async fn print_all(cmd: &Audit, out: &mut impl Write) -> Result<(), Error> {
    let cx = CancellationToken::new();
    let client = ask::client();
    if !cmd.follow {
        let changes = changes(&client, cmd.address, cmd.since, &cx).await?;
        return print(&changes, cmd.json, out);
    }
    let mut since = cmd.since;
    let mut life = None;
    loop {
        let now: Life = ask::get(&client, cmd.address, "/status", &cx).await?;
        // A daemon that started anew counts its changes from the beginning.
        let started_anew = life.as_ref().is_some_and(|before| *before != now.incarnation);
        if started_anew {
            since = 0;
        }
        life = Some(now.incarnation);
        let changes = changes(&client, cmd.address, since, &cx).await?;
        since = changes.iter().map(|change| change.seq).max().unwrap_or(since);
        print_lines(&changes, cmd.json, out)?;
        monoio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

async fn changes(
    client: &Client,
    address: SocketAddr,
    since: u64,
    cx: &CancellationToken,
) -> Result<Vec<Change>, ask::Error> {
    ask::get(client, address, &format!("/audit?since={since}"), cx).await
}

fn print(changes: &[Change], json: bool, out: &mut impl Write) -> Result<(), Error> {
    if json {
        show::json(&changes, out)?;
        return Ok(());
    }
    print_lines(changes, json, out)
}

fn print_lines(changes: &[Change], json: bool, out: &mut impl Write) -> Result<(), Error> {
    for change in changes {
        match json {
            true => show::json_line(change, out)?,
            false => writeln!(out, "{}", line(change))?,
        }
    }
    out.flush()?;
    Ok(())
}

fn line(change: &Change) -> String {
    let (kind, subject, cause) = (
        show::clean(&change.kind),
        show::clean(&change.subject),
        show::clean(&change.cause),
    );
    let mut line = format!(
        "{} #{} {kind} {subject}: {cause}",
        show::time(change.at_unix_ms),
        change.seq
    );
    if let Some(version) = &change.version {
        line.push_str(&format!(" (version {})", show::flat(version)));
    }
    if !change.more.is_empty() {
        line.push_str(&format!(" [{}]", show::flat(&Value::Object(change.more.clone()))));
    }
    line
}
