//! Settings of one process, and their check.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{InstanceId, Millis, ZoneId, data};
use snafu::Snafu;

data! {
    /// The settings file (YAML). Unknown fields are left alone.
    pub struct Settings {
        /// Name of this instance.
        pub instance: InstanceId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Where callers connect.
        pub callers: SocketAddr,
        /// Where the platform asks whether new connections may come.
        pub readiness: SocketAddr,
        /// Where other instances connect.
        pub peers: Option<SocketAddr>,
        /// Where digests of other instances come in, by UDP; the port is the same on all instances.
        pub digests: Option<SocketAddr>,
        /// Where metrics are read.
        pub metrics: Option<SocketAddr>,
        /// Peer addresses of some instances; they may be stale.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// The platform's store.
        pub store: SocketAddr,
        /// Times and bounds of the installation; each has a default.
        #[serde(default)]
        pub bounds: Bounds,
        /// Most connections and files at once.
        pub descriptors: Option<usize>,
        /// Log level.
        pub log_level: Option<String>,
    }

    /// Times and bounds of the installation.
    #[derive(Default)]
    pub struct Bounds {
        /// Time from SIGTERM to SIGKILL, in seconds.
        pub stop_s: Option<f64>,
        /// Time between two writes of an endpoint's entry, in milliseconds.
        pub beat_ms: Option<Millis>,
        /// Time in which a change has to be in force, in milliseconds: the shortest of those in force.
        pub apply_ms: Option<Millis>,
        /// Time after an outage within which an instance has to be up to date again, in milliseconds.
        pub regain_ms: Option<Millis>,
        /// Repeats for each request.
        pub repeat_ratio: Option<f64>,
        /// Repeats beyond the ratio, of all instances together.
        pub repeat_slack: Option<f64>,
        /// Time over which repeats are counted, in seconds.
        pub repeat_window_s: Option<f64>,
    }
}

/// A setting can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file is not YAML of that shape.
    #[snafu(display("settings, line {line}, column {column}: {field}: {reason}"))]
    Shape {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// The field that stands there.
        field: String,
        /// The parser's words.
        reason: String,
    },
    /// A value is out of its range.
    #[snafu(display("settings: {field} {reason}"))]
    Range {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// Fields at the top that no other document has.
const OWN_FIELDS: [&str; 2] = ["callers", "readiness"];
const STOP_S: f64 = 8.0;
const BEAT_MS: Millis = 1200;
const APPLY_MS: Millis = 2000;
const REGAIN_MS: Millis = 3000;
const REPEAT_RATIO: f64 = 0.2;
const REPEAT_SLACK: f64 = 20.0;
const REPEAT_WINDOW_S: f64 = 10.0;
const LEAST_DESCRIPTORS: usize = 64;

/// Reads and checks a settings file.
pub fn parse(text: &str) -> Result<Settings, Error> {
    let settings: Settings = serde_saphyr::from_str(text).map_err(|error| shape(text, &error))?;
    settings.check()?;
    Ok(settings)
}

/// Whether a document has fields that only these settings have.
pub fn are_in(text: &str) -> bool {
    text.lines()
        .filter_map(|line| line.split_once(':'))
        .any(|(field, _)| OWN_FIELDS.contains(&field))
}

fn shape(text: &str, error: &serde_saphyr::Error) -> Error {
    let at = error.location();
    let place = |part: Option<u64>| part.and_then(|n| usize::try_from(n).ok()).unwrap_or(1);
    // The place follows the words.
    let words = error.without_snippet().to_string();
    let line = place(at.map(|at| at.line()));
    Error::Shape {
        line,
        field: field_at(text, line),
        column: place(at.map(|at| at.column())),
        reason: words.split(" at line ").next().unwrap_or_default().to_owned(),
    }
}

/// The field that a line belongs to; empty if there is none.
fn field_at(text: &str, line: usize) -> String {
    let above: Vec<&str> = text.lines().take(line).collect();
    let named = above.iter().rev().find_map(|line| line.split_once(':'));
    named.map_or(String::new(), |(field, _)| field.trim().to_owned())
}

impl Settings {
    fn check(&self) -> Result<(), Error> {
        let b = &self.bounds;
        require("instance", !self.instance.is_empty(), "is empty")?;
        require("zone", !self.zone.is_empty(), "is empty")?;
        require("callers", self.callers.port() != 0, "needs a port")?;
        require(
            "readiness",
            self.readiness != self.callers,
            "is the same address as callers",
        )?;
        let descriptors = self.descriptors.unwrap_or(LEAST_DESCRIPTORS);
        require("descriptors", descriptors >= LEAST_DESCRIPTORS, "is below 64")?;
        positive("bounds.stop_s", b.stop_s)?;
        positive("bounds.beat_ms", b.beat_ms.map(|ms| ms as f64))?;
        positive("bounds.regain_ms", b.regain_ms.map(|ms| ms as f64))?;
        positive("bounds.apply_ms", b.apply_ms.map(|ms| ms as f64))?;
        positive("bounds.repeat_window_s", b.repeat_window_s)?;
        require(
            "bounds.repeat_ratio",
            b.repeat_ratio.is_none_or(|r| r >= 0.0),
            "is negative",
        )?;
        require(
            "bounds.repeat_slack",
            b.repeat_slack.is_none_or(|s| s >= 0.0),
            "is negative",
        )
    }
}

impl Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s.unwrap_or(STOP_S))
    }

    /// Time between two writes of an endpoint's entry.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.beat_ms.unwrap_or(BEAT_MS))
    }

    /// Time in which a change has to be in force.
    pub fn apply(&self) -> Duration {
        Duration::from_millis(self.apply_ms.unwrap_or(APPLY_MS))
    }

    /// Time after an outage within which an instance has to be up to date again.
    pub fn contact(&self) -> Duration {
        Duration::from_millis(self.regain_ms.unwrap_or(REGAIN_MS))
    }

    /// The bound on repeats.
    pub fn repeats(&self) -> crate::budget::Options {
        crate::budget::Options {
            ratio: self.repeat_ratio.unwrap_or(REPEAT_RATIO),
            slack: self.repeat_slack.unwrap_or(REPEAT_SLACK),
            window: Duration::from_secs_f64(self.repeat_window_s.unwrap_or(REPEAT_WINDOW_S)),
        }
    }
}

fn require(field: &'static str, holds: bool, reason: &'static str) -> Result<(), Error> {
    if holds {
        Ok(())
    } else {
        RangeSnafu { field, reason }.fail()
    }
}

fn positive(field: &'static str, value: Option<f64>) -> Result<(), Error> {
    let holds = value.is_none_or(|v| v.is_finite() && v > 0.0);
    require(field, holds, "is not positive")
}
