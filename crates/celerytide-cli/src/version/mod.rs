//! The `celerytide version` command.

use std::io::{self, Write};

use celerytide_types::data;

use crate::args::Version;
use crate::{COMMAND, Exit, output};

data! {
    /// Output of `version --json`.
    struct VersionReport {
        name: String,
        version: String,
    }
}

/// Prints the version.
pub(crate) fn run(cmd: &Version, out: &mut impl Write) -> io::Result<Exit> {
    let version = env!("CARGO_PKG_VERSION");
    if cmd.json {
        let report = VersionReport {
            name: COMMAND.to_owned(),
            version: version.to_owned(),
        };
        output::print_json(&report, out)?;
    } else {
        writeln!(out, "{COMMAND} {version}")?;
    }
    Ok(Exit::Fine)
}
