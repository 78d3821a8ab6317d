//! Settings of the daemons, one YAML document for each process.
//!
//! Every span of time is written with its unit (`30s`, `500ms`, `15m`). Every size in bytes says so in its name.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{InstanceId, RegionId, ZoneId, data};
use schemars::JsonSchema;

use crate::schema;

data! {
    /// Settings of one entry process.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct EntrySettings {
        /// Instance the process runs on.
        #[schemars(schema_with = "schema::id")]
        pub instance: InstanceId,
        /// Availability zone of the instance.
        #[schemars(schema_with = "schema::id")]
        pub zone: ZoneId,
        /// Region of the zone.
        #[schemars(schema_with = "schema::id")]
        pub region: RegionId,
        /// Where callers connect.
        #[schemars(schema_with = "schema::address")]
        pub caller_address: SocketAddr,
        /// Where operators read health, metrics, status and audit.
        #[schemars(schema_with = "schema::address")]
        pub operator_address: SocketAddr,
        /// Where the project's other processes connect.
        #[schemars(schema_with = "schema::address")]
        pub peer_address: SocketAddr,
        /// The platform's services and the peers to ask in their place.
        pub platform: Platform,
        /// Bounds towards callers.
        #[serde(default)]
        pub limits: HttpLimits,
        /// Timeouts.
        #[serde(default)]
        pub timeouts: EntryTimeouts,
        /// Logs.
        #[serde(default)]
        pub log: LogSettings,
    }

    /// Settings of one dispatch process.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct DispatchSettings {
        /// Instance the process runs on.
        #[schemars(schema_with = "schema::id")]
        pub instance: InstanceId,
        /// Availability zone of the instance.
        #[schemars(schema_with = "schema::id")]
        pub zone: ZoneId,
        /// Region of the zone.
        #[schemars(schema_with = "schema::id")]
        pub region: RegionId,
        /// Where operators read health, metrics, status and audit.
        #[schemars(schema_with = "schema::address")]
        pub operator_address: SocketAddr,
        /// Where the project's other processes connect.
        #[schemars(schema_with = "schema::address")]
        pub peer_address: SocketAddr,
        /// The platform's services and the peers to ask in their place.
        pub platform: Platform,
        /// Policy of the pools; every value but the default is for comparison only.
        #[serde(default)]
        pub policy: PolicyName,
        /// Timeouts.
        #[serde(default)]
        pub timeouts: DispatchTimeouts,
        /// Logs.
        #[serde(default)]
        pub log: LogSettings,
    }

    /// Policy of the pools.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum PolicyName {
        /// Tiers, guaranteed shares, fairness, cold starts.
        #[default]
        Celerytide,
        /// Baseline: at once to any open endpoint.
        Random,
        /// Baseline: at once to the open endpoints in turn.
        RoundRobin,
        /// Baseline: at once to the open endpoint with the least work in flight.
        LeastInFlight,
        /// Baseline: queued by arrival without tiers.
        FirstCome,
    }

    /// How a process reads the platform's services.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Platform {
        /// Addresses of the configuration service; tried in turn.
        #[schemars(schema_with = "schema::addresses_some")]
        pub config_service: Vec<SocketAddr>,
        /// Longest wait of one watch.
        #[serde(default = "default_watch_wait", with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub watch_wait: Duration,
        /// Longest wait for an answer that is no watch.
        #[serde(default = "default_read_timeout", with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub read_timeout: Duration,
        /// Upper bound of the random delay before the first read.
        #[serde(default = "default_start_jitter", with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub start_jitter: Duration,
        /// Peers to ask when the configuration service is down at start.
        #[serde(default)]
        #[schemars(schema_with = "schema::addresses")]
        pub peers: Vec<SocketAddr>,
    }

    /// Bounds towards callers.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct HttpLimits {
        /// Largest head of a request, in bytes.
        #[schemars(range(min = 1))]
        pub max_head_bytes: usize,
        /// Largest body of a request, in bytes.
        #[schemars(range(min = 1))]
        pub max_body_bytes: usize,
        /// Most callers' connections at once.
        #[schemars(range(min = 1))]
        pub max_connections: usize,
        /// Most tickets kept at once.
        #[schemars(range(min = 1))]
        pub max_ticket_count: usize,
        /// Bytes of answers kept for repeated ticketed calls, in total.
        #[schemars(range(min = 1))]
        pub max_outcome_bytes: usize,
    }

    /// Timeouts of an entry process.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct EntryTimeouts {
        /// Longest wait for a whole head from a caller.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub head: Duration,
        /// Longest wait for a whole body from a caller.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub body: Duration,
        /// Longest idle life of a caller's connection.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub idle: Duration,
        /// Longest wait for a caller that does not read its answer.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub write: Duration,
        /// Longest wait for a connection to an endpoint.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub connect: Duration,
        /// Longest wait for an endpoint's first byte.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub first_byte: Duration,
        /// Longest wait between two parts of an endpoint's answer.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub between_bytes: Duration,
        /// Longest wait in the queue for a permit.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub permit: Duration,
        /// Longest graceful shutdown.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub stop: Duration,
        /// Life of a ticket.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub ticket: Duration,
        /// Interval of pings to a peer.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub peer_ping: Duration,
        /// Silence after which a peer's connection counts as dead.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub peer_silence: Duration,
    }

    /// Timeouts of a dispatch process.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct DispatchTimeouts {
        /// Longest life of a permit.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub permit_age: Duration,
        /// Wait of a new owner for lagging views.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub hold: Duration,
        /// Interval of reads of an endpoint's load.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub report_interval: Duration,
        /// Longest wait for an endpoint's load.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub report_timeout: Duration,
        /// Longest graceful shutdown.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub stop: Duration,
        /// Interval of pings to a peer.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub peer_ping: Duration,
        /// Silence after which a peer's connection counts as dead.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub peer_silence: Duration,
        /// Interval at which peers exchange versions.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub gossip_interval: Duration,
        /// Age after which a view counts as stale.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::span_24h")]
        pub view_age: Duration,
    }

    /// Logs of a process.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct LogSettings {
        /// Form of a line.
        pub format: LogFormat,
        /// Least severe level that is written.
        pub level: LogLevel,
    }

    /// Form of a log line.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum LogFormat {
        /// Text for people.
        #[default]
        Text,
        /// One JSON object a line.
        Json,
    }

    /// Least severe level that is written.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum LogLevel {
        /// Errors only.
        Error,
        /// Warnings and above.
        Warn,
        /// Normal events and above.
        #[default]
        Info,
        /// Details of decisions and above.
        Debug,
        /// Everything.
        Trace,
    }
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            max_head_bytes: 64 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            max_connections: 4096,
            max_ticket_count: 100_000,
            max_outcome_bytes: 8 * 1024 * 1024,
        }
    }
}

impl Default for EntryTimeouts {
    fn default() -> EntryTimeouts {
        EntryTimeouts {
            head: Duration::from_secs(10),
            body: Duration::from_secs(30),
            idle: Duration::from_secs(60),
            write: Duration::from_secs(30),
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(60),
            between_bytes: Duration::from_secs(30),
            permit: Duration::from_secs(30),
            stop: Duration::from_secs(60),
            ticket: Duration::from_secs(15 * 60),
            peer_ping: Duration::from_secs(1),
            peer_silence: Duration::from_secs(3),
        }
    }
}

impl Default for DispatchTimeouts {
    fn default() -> DispatchTimeouts {
        DispatchTimeouts {
            permit_age: Duration::from_secs(10 * 60),
            hold: Duration::from_secs(40),
            report_interval: Duration::from_millis(500),
            report_timeout: Duration::from_millis(500),
            stop: Duration::from_secs(60),
            peer_ping: Duration::from_secs(1),
            peer_silence: Duration::from_secs(3),
            gossip_interval: Duration::from_secs(1),
            view_age: Duration::from_secs(5),
        }
    }
}

fn default_watch_wait() -> Duration {
    Duration::from_secs(20)
}

fn default_read_timeout() -> Duration {
    Duration::from_secs(2)
}

fn default_start_jitter() -> Duration {
    Duration::from_millis(500)
}
