//! Error type of the measurements.

use std::{io, net::SocketAddr};

use celerytide_load::{compare, fleet};
use celerytide_standin::{launch, probe};
use snafu::Snafu;

/// Reason why a measurement failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A deployment did not start or could not be changed.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Underlying error.
        source: fleet::Error,
    },
    /// The comparison failed.
    #[snafu(display("{source}"), context(false))]
    Compare {
        /// Underlying error.
        source: compare::Error,
    },
    /// A stand-in did not start.
    #[snafu(display("{source}"), context(false))]
    Launch {
        /// Underlying error.
        source: launch::Error,
    },
    /// A request to a stand-in or daemon failed.
    #[snafu(display("{source}"), context(false))]
    Probe {
        /// Underlying error.
        source: probe::Error,
    },
    /// The embedded deployment is invalid.
    #[snafu(display("{source}"), context(false))]
    Deployment {
        /// Underlying error.
        source: serde_saphyr::Error,
    },
    /// The manifest or the settings could not be encoded as YAML.
    #[snafu(display("{source}"), context(false))]
    Yaml {
        /// Underlying error.
        source: fleet::yaml::Error,
    },
    /// The manifest can't be split into sections.
    #[snafu(display("{source}"), context(false))]
    Split {
        /// Underlying error.
        source: celerytide_manifest::SplitError,
    },
    /// An I/O operation failed.
    #[snafu(display("{source}"), context(false))]
    System {
        /// Underlying error.
        source: io::Error,
    },
    /// The list of sizes is malformed.
    #[snafu(display("sizes are whole numbers with commas between them: {text:?}"))]
    InvalidSizes {
        /// Value of the option.
        text: String,
    },
    /// The fleet needs more processes than allowed.
    #[snafu(display("{processes} processes are more than {bound}"))]
    TooManyProcesses {
        /// Number of processes needed.
        processes: usize,
        /// Maximum number of processes.
        bound: usize,
    },
    /// A manifest version was not in force in time.
    #[snafu(display("version {version} was not in force at {addr} within {seconds} s"))]
    NotInForce {
        /// Manifest version.
        version: u64,
        /// Operator address of the daemon.
        addr: SocketAddr,
        /// Timeout, in seconds.
        seconds: u64,
    },
}
