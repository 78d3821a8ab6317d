//! Arguments of the command line. The comments on arguments are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use celerytide_manifest::DocumentKind;

/// Checks documents and asks daemons. Exit codes: 0 fine, 1 findings, 2 usage, 3 unreachable.
#[derive(Debug, PartialEq, FromArgs)]
pub struct Args {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommand to run.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check documents.
    Check(Check),
    /// Split a manifest with many customers.
    Split(Split),
    /// Show daemons' state.
    Status(Status),
    /// Show a daemon's changes.
    Audit(Audit),
    /// Show a request's steps.
    Explain(Explain),
    /// Show the version.
    Version(Version),
}

/// Check manifests and settings; each fault names file, line, column and field.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// files to check
    #[argh(positional)]
    pub files: Vec<String>,
    /// manifest, section, entry, dispatch or router; told from a document's fields when absent
    #[argh(option, from_str_fn(parse_kind))]
    pub kind: Option<Kind>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Kind of a document that `check` reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A manifest, a section, or settings of an entry or a dispatch.
    Document(DocumentKind),
    /// Settings of the router, which needs no other daemon on its machine.
    Router,
}

impl Kind {
    /// Name of the kind on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Document(kind) => kind.as_str(),
            Kind::Router => "router",
        }
    }
}

/// Split a manifest with many customers into a small manifest and sections, each a value of its own.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "split")]
pub struct Split {
    /// the manifest, up to 64 MiB
    #[argh(positional)]
    pub file: String,
    /// folder to write manifest.yaml and customers/DIGEST into
    #[argh(option)]
    pub out: PathBuf,
}

/// Show what daemons say of themselves, and whether they agree on the manifest.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// operators' addresses, IP:PORT
    #[argh(positional)]
    pub addresses: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the changes that a daemon applied or refused.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// operators' address, IP:PORT
    #[argh(positional)]
    pub address: SocketAddr,
    /// show changes after this number only
    #[argh(option, default = "0")]
    pub since: u64,
    /// yes to go on and show changes as they come; no (the default) to end
    #[argh(option, default = "false", from_str_fn(parse_yes_no))]
    pub follow: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the steps of a request and its final word.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's id, as the answer's x-request-id gives it
    #[argh(positional)]
    pub request: String,
    /// operators' address to ask, IP:PORT; further ones may follow it
    #[argh(option)]
    pub at: Vec<SocketAddr>,
    /// further operators' addresses
    #[argh(positional)]
    pub more: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the version.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Why the command line names no command to run.
pub(crate) enum NoCommand {
    /// Help was requested; its text.
    Help(String),
    /// The command line is wrong; the error message.
    Usage(String),
}

/// Parses the command line; `command` is the name in help texts.
pub(crate) fn parse(command: &str, args: &[&str]) -> Result<Command, NoCommand> {
    let args = Args::from_args(&[command], args).map_err(|exit| match exit.status {
        Ok(()) => NoCommand::Help(exit.output),
        Err(()) => NoCommand::Usage(exit.output),
    })?;
    match &args.command {
        Command::Check(cmd) if cmd.files.is_empty() => Err(NoCommand::Usage("check needs a file".to_owned())),
        Command::Status(cmd) if cmd.addresses.is_empty() => Err(NoCommand::Usage("status needs an address".to_owned())),
        Command::Explain(cmd) if cmd.at.is_empty() => {
            Err(NoCommand::Usage("explain needs --at with an address".to_owned()))
        }
        _ => Ok(args.command),
    }
}

fn parse_kind(text: &str) -> Result<Kind, String> {
    let documents = DocumentKind::ALL.into_iter().map(Kind::Document);
    let kind = documents.chain([Kind::Router]).find(|kind| kind.as_str() == text);
    kind.ok_or_else(|| "a kind is manifest, section, entry, dispatch or router".to_owned())
}

fn parse_yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("follow is yes or no".to_owned()),
    }
}
