//! Types of the daemons' settings, one YAML document for each process.
//!
//! Durations are written with their unit, such as `30s`, `500ms` or `15m`. Fields that hold a size in bytes end in `_bytes`.

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
        /// Instance that the process runs on.
        #[schemars(schema_with = "schema::id")]
        pub instance: InstanceId,
        /// Availability zone of the instance.
        #[schemars(schema_with = "schema::id")]
        pub zone: ZoneId,
        /// Region of the zone.
        #[schemars(schema_with = "schema::id")]
        pub region: RegionId,
        /// Address that callers connect to.
        #[schemars(schema_with = "schema::address")]
        pub caller_address: SocketAddr,
        /// Address at which operators read health, metrics, status and audit trail.
        #[schemars(schema_with = "schema::address")]
        pub operator_address: SocketAddr,
        /// Address that other celerytide processes connect to.
        #[schemars(schema_with = "schema::address")]
        pub peer_address: SocketAddr,
        /// Configuration service of the platform, and peers to ask while it is down.
        pub platform: Platform,
        /// Limits on callers' connections and requests.
        #[serde(default)]
        pub limits: HttpLimits,
        /// Timeouts and intervals.
        #[serde(default)]
        pub timeouts: EntryTimeouts,
        /// Format and level of the logs.
        #[serde(default)]
        pub log: LogSettings,
    }

    /// Settings of one dispatch process.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct DispatchSettings {
        /// Instance that the process runs on.
        #[schemars(schema_with = "schema::id")]
        pub instance: InstanceId,
        /// Availability zone of the instance.
        #[schemars(schema_with = "schema::id")]
        pub zone: ZoneId,
        /// Region of the zone.
        #[schemars(schema_with = "schema::id")]
        pub region: RegionId,
        /// Address at which operators read health, metrics, status and audit trail.
        #[schemars(schema_with = "schema::address")]
        pub operator_address: SocketAddr,
        /// Address that other celerytide processes connect to.
        #[schemars(schema_with = "schema::address")]
        pub peer_address: SocketAddr,
        /// Configuration service of the platform, and peers to ask while it is down.
        pub platform: Platform,
        /// Scheduling policy of the pools; all values but the default are baselines for comparison.
        #[serde(default)]
        pub policy: PolicyName,
        /// Timeouts and intervals.
        #[serde(default)]
        pub timeouts: DispatchTimeouts,
        /// Format and level of the logs.
        #[serde(default)]
        pub log: LogSettings,
    }

    /// Scheduling policy of the pools.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum PolicyName {
        /// Tiers, guaranteed shares, fairness among customers, limits during cold starts.
        #[default]
        Celerytide,
        /// Baseline: sent at once to a random open endpoint.
        Random,
        /// Baseline: sent at once to the open endpoints in turn.
        RoundRobin,
        /// Baseline: sent at once to the open endpoint with the fewest requests in flight.
        LeastInFlight,
        /// Baseline: queued in order of arrival, without tiers.
        FirstCome,
    }

    /// How a process reads the configuration service.
    #[derive(JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Platform {
        /// Addresses of the configuration service; tried in turn.
        #[schemars(schema_with = "schema::addresses_non_empty")]
        pub config_service: Vec<SocketAddr>,
        /// Longest wait of one watch request.
        #[serde(default = "default_watch_wait", with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub watch_wait: Duration,
        /// Longest wait for the response to a read that is not a watch.
        #[serde(default = "default_read_timeout", with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub read_timeout: Duration,
        /// Upper bound of the random delay before the first read.
        #[serde(default = "default_start_jitter", with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub start_jitter: Duration,
        /// Peers to read from when the configuration service is down at start.
        #[serde(default)]
        #[schemars(schema_with = "schema::addresses")]
        pub peers: Vec<SocketAddr>,
    }

    /// Limits on callers' connections and requests.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct HttpLimits {
        /// Largest request head, in bytes.
        #[schemars(range(min = 1))]
        pub max_head_bytes: usize,
        /// Largest request body, in bytes.
        #[schemars(range(min = 1))]
        pub max_body_bytes: usize,
        /// Most concurrent connections of callers.
        #[schemars(range(min = 1))]
        pub max_connections: usize,
        /// Most tickets held at the same time.
        #[schemars(range(min = 1))]
        pub max_ticket_count: usize,
        /// Total size of the responses stored to answer repeated requests with a ticket, in bytes.
        #[schemars(range(min = 1))]
        pub max_outcome_bytes: usize,
        /// Memory that the process may use, in millions of bytes; 0 for that of the cgroup or the machine.
        pub memory_mb: usize,
    }

    /// Timeouts of an entry process.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct EntryTimeouts {
        /// Longest wait for a complete request head from a caller.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub head: Duration,
        /// Longest wait for a complete request body from a caller.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub body: Duration,
        /// Time after which a caller's idle connection is closed.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub idle: Duration,
        /// Longest wait for a caller that does not read its response.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub write: Duration,
        /// Longest wait for a connection to an endpoint.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub connect: Duration,
        /// Longest wait for an endpoint's first byte.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub first_byte: Duration,
        /// Longest wait between two parts of an endpoint's response.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub between_bytes: Duration,
        /// Longest wait in the queue for a permit.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub permit: Duration,
        /// Longest graceful shutdown.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub stop: Duration,
        /// Lifetime of a ticket.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub ticket: Duration,
        /// Interval of pings to a peer.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub peer_ping: Duration,
        /// Silence after which a peer's connection counts as dead.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub peer_silence: Duration,
    }

    /// Timeouts of a dispatch process.
    #[derive(Copy, Eq, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct DispatchTimeouts {
        /// Longest lifetime of a permit.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub permit_age: Duration,
        /// Time that a new owner waits for lagging views before it grants.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub hold: Duration,
        /// Interval of reads of an endpoint's load.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub report_interval: Duration,
        /// Longest wait for an endpoint's load.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub report_timeout: Duration,
        /// Longest graceful shutdown.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub stop: Duration,
        /// Interval of pings to a peer.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub peer_ping: Duration,
        /// Silence after which a peer's connection counts as dead.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub peer_silence: Duration,
        /// Interval at which peers exchange versions.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub gossip_interval: Duration,
        /// Age after which a view counts as stale.
        #[serde(with = "humantime_serde")]
        #[schemars(schema_with = "schema::duration_up_to_day")]
        pub view_age: Duration,
    }

    /// Format and level of a process's logs.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct LogSettings {
        /// Format of a line.
        pub format: LogFormat,
        /// Least severe level that is written.
        pub level: LogLevel,
    }

    /// Format of a log line.
    #[derive(Copy, Eq, Default, JsonSchema)]
    #[serde(rename_all = "kebab-case")]
    pub enum LogFormat {
        /// Plain text.
        #[default]
        Text,
        /// One JSON object per line.
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
            memory_mb: 0,
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
