//! Why a measurement failed.

use std::{io, net::SocketAddr};

use celerytide_load::{compare, fleet};
use celerytide_standin::{launch, probe};
use snafu::Snafu;

/// Why a measurement failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A deployment did not start or change.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// What went wrong.
        source: fleet::Error,
    },
    /// The comparison failed.
    #[snafu(display("{source}"), context(false))]
    Compare {
        /// What went wrong.
        source: compare::Error,
    },
    /// A stand-in did not start.
    #[snafu(display("{source}"), context(false))]
    Launch {
        /// What the launcher said.
        source: launch::Error,
    },
    /// A probe failed.
    #[snafu(display("{source}"), context(false))]
    Probe {
        /// What the probe said.
        source: probe::Error,
    },
    /// The embedded deployment is wrong.
    #[snafu(display("{source}"), context(false))]
    Plan {
        /// What the decoder said.
        source: serde_saphyr::Error,
    },
    /// The manifest has no text.
    #[snafu(display("{source}"), context(false))]
    Yaml {
        /// What the encoder said.
        source: fleet::yaml::Error,
    },
    /// The manifest can't be split.
    #[snafu(display("{source}"), context(false))]
    Split {
        /// Why.
        source: celerytide_manifest::SplitError,
    },
    /// The system refused something.
    #[snafu(display("{source}"), context(false))]
    System {
        /// What it said.
        source: io::Error,
    },
    /// The list of sizes is wrong.
    #[snafu(display("sizes are whole numbers with commas between them: {text:?}"))]
    Sizes {
        /// What was given.
        text: String,
    },
    /// More processes than one run may start.
    #[snafu(display("{processes} processes are more than {bound}"))]
    TooMany {
        /// Processes asked for.
        processes: usize,
        /// Most that may run.
        bound: usize,
    },
    /// A change was not in force in time.
    #[snafu(display("version {version} was not in force at {addr} within {seconds} s"))]
    NotInForce {
        /// The version.
        version: u64,
        /// Operators' address of the daemon.
        addr: SocketAddr,
        /// The bound.
        seconds: u64,
    },
}
