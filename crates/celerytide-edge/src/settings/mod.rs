//! Settings file of a router process, and its validation.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{InstanceId, Millis, ZoneId, data};
use snafu::{ResultExt, Snafu};

use crate::quarantine::{NameError, Subject};

data! {
    /// Settings file (YAML). Unknown fields are ignored.
    pub struct Settings {
        /// Name of this instance.
        pub instance: InstanceId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Listening address for callers.
        pub callers: SocketAddr,
        /// Listening address for the platform's readiness check.
        pub readiness: SocketAddr,
        /// Listening address for other instances.
        pub peers: Option<SocketAddr>,
        /// Address at which other instances reach `peers`, if it is another one.
        pub advertised: Option<SocketAddr>,
        /// UDP address for digests of other instances; the port is the same on all instances.
        pub digests: Option<SocketAddr>,
        /// UDP address for placement messages of other instances; the port is the same on all instances.
        pub placement: Option<SocketAddr>,
        /// Listening address for reading metrics.
        pub metrics: Option<SocketAddr>,
        /// Peer addresses of some instances; they may be outdated.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Subjects whose verdict ends when they are added and the settings are reloaded, as `kind/id`.
        pub release: Option<Vec<String>>,
        /// Address of the platform's store.
        pub store: SocketAddr,
        /// Times and limits of the installation; each has a default.
        #[serde(default)]
        pub bounds: Bounds,
        /// Limit on open connections and files.
        pub descriptors: Option<usize>,
        /// Memory that the process may use, in millions of bytes; by default that of the cgroup or the machine.
        pub memory_mb: Option<usize>,
        /// Log level; `info` by default.
        pub log_level: Option<String>,
    }

    /// Times and limits of the installation.
    #[derive(Default)]
    pub struct Bounds {
        /// Time from SIGTERM to SIGKILL, in seconds.
        pub stop_s: Option<f64>,
        /// Interval between two writes of an endpoint's entry, in milliseconds.
        pub beat_ms: Option<Millis>,
        /// Time within which a change has to be in force, in milliseconds: the shortest of those that apply.
        pub apply_ms: Option<Millis>,
        /// Time after an outage within which an instance has to be up to date again, in milliseconds.
        pub regain_ms: Option<Millis>,
        /// Retries allowed per request.
        pub repeat_ratio: Option<f64>,
        /// Retries allowed in addition to the ratio, for all instances together.
        pub repeat_slack: Option<f64>,
        /// Window over which retries are counted, in seconds.
        pub repeat_window_s: Option<f64>,
    }
}

/// The settings are invalid.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file isn't YAML of the expected shape.
    #[snafu(display("settings, line {line}, column {column}: {field}: {reason}"))]
    Shape {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// The field at this position.
        field: String,
        /// The parser's message.
        reason: String,
    },
    /// A value is out of range.
    #[snafu(display("settings: {field} {reason}"))]
    Range {
        /// The field's path.
        field: &'static str,
        /// What is wrong with the value.
        reason: &'static str,
    },
    /// An entry of `release` names no subject.
    #[snafu(display("settings: release: {name} {source}"))]
    Release {
        /// The entry.
        name: String,
        /// What is wrong with it.
        source: NameError,
    },
}

/// Top-level fields that no other document has.
const OWN_FIELDS: [&str; 2] = ["callers", "readiness"];
const DEFAULT_STOP_S: f64 = 8.0;
const DEFAULT_BEAT_MS: Millis = 1200;
const DEFAULT_APPLY_MS: Millis = 2000;
const DEFAULT_REGAIN_MS: Millis = 3000;
const DEFAULT_REPEAT_RATIO: f64 = 0.2;
const DEFAULT_REPEAT_SLACK: f64 = 20.0;
const DEFAULT_REPEAT_WINDOW_S: f64 = 10.0;
const MIN_DESCRIPTORS: usize = 64;
/// Least memory in which the process can serve requests besides its own needs.
const MIN_MEMORY_MB: usize = 24;
/// Longest time in the settings, a week, in seconds and in milliseconds.
const MAX_S: f64 = 7.0 * 24.0 * 3600.0;
const MAX_MS: f64 = MAX_S * 1000.0;

/// Parses and validates a settings file.
pub fn parse(text: &str) -> Result<Settings, Error> {
    let settings: Settings = serde_saphyr::from_str(text).map_err(|error| shape_error(text, &error))?;
    settings.check()?;
    Ok(settings)
}

/// Whether a document has fields that only these settings have.
pub fn is_router_settings(text: &str) -> bool {
    text.lines()
        .filter_map(|line| line.split_once(':'))
        .any(|(field, _)| OWN_FIELDS.contains(&field))
}

fn shape_error(text: &str, error: &serde_saphyr::Error) -> Error {
    let at = error.location();
    let position = |part: Option<u64>| part.and_then(|n| usize::try_from(n).ok()).unwrap_or(1);
    // The parser appends the position to its message.
    let message = error.without_snippet().to_string();
    let line = position(at.map(|at| at.line()));
    Error::Shape {
        line,
        field: field_at(text, line),
        column: position(at.map(|at| at.column())),
        reason: message.split(" at line ").next().unwrap_or_default().to_owned(),
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
        let descriptors = self.descriptors.unwrap_or(MIN_DESCRIPTORS);
        require("descriptors", descriptors >= MIN_DESCRIPTORS, "is below 64")?;
        let memory_mb = self.memory_mb.unwrap_or(MIN_MEMORY_MB);
        require("memory_mb", memory_mb >= MIN_MEMORY_MB, "is below 24")?;
        for name in self.release.iter().flatten() {
            name.parse::<Subject>().context(ReleaseSnafu { name })?;
        }
        time("bounds.stop_s", b.stop_s, MAX_S)?;
        time("bounds.beat_ms", b.beat_ms.map(|ms| ms as f64), MAX_MS)?;
        time("bounds.regain_ms", b.regain_ms.map(|ms| ms as f64), MAX_MS)?;
        time("bounds.apply_ms", b.apply_ms.map(|ms| ms as f64), MAX_MS)?;
        time("bounds.repeat_window_s", b.repeat_window_s, MAX_S)?;
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

impl Settings {
    /// Subjects to release.
    pub fn released_subjects(&self) -> Vec<Subject> {
        self.release
            .iter()
            .flatten()
            .filter_map(|name| name.parse().ok())
            .collect()
    }

    /// Address by which other instances know this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertised.or(self.peers).unwrap_or(self.callers)
    }
}

impl Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s.unwrap_or(DEFAULT_STOP_S))
    }

    /// Interval between two writes of an endpoint's entry.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.beat_ms.unwrap_or(DEFAULT_BEAT_MS))
    }

    /// Time within which a change has to be in force.
    pub fn apply_time(&self) -> Duration {
        Duration::from_millis(self.apply_ms.unwrap_or(DEFAULT_APPLY_MS))
    }

    /// Time after an outage within which an instance has to be up to date again.
    pub fn recovery_time(&self) -> Duration {
        Duration::from_millis(self.regain_ms.unwrap_or(DEFAULT_REGAIN_MS))
    }

    /// Limit on retries.
    pub fn retry_limits(&self) -> crate::budget::RetryLimits {
        crate::budget::RetryLimits {
            ratio: self.repeat_ratio.unwrap_or(DEFAULT_REPEAT_RATIO),
            slack: self.repeat_slack.unwrap_or(DEFAULT_REPEAT_SLACK),
            window: Duration::from_secs_f64(self.repeat_window_s.unwrap_or(DEFAULT_REPEAT_WINDOW_S)),
        }
    }
}

fn require(field: &'static str, is_valid: bool, reason: &'static str) -> Result<(), Error> {
    if is_valid {
        Ok(())
    } else {
        RangeSnafu { field, reason }.fail()
    }
}

fn time(field: &'static str, value: Option<f64>, max: f64) -> Result<(), Error> {
    let is_positive = value.is_none_or(|v| v.is_finite() && v > 0.0);
    require(field, is_positive, "is not positive")?;
    require(field, value.is_none_or(|v| v <= max), "is longer than a week")
}
