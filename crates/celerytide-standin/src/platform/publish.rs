//! Writes the configuration, runner entries and zone evacuations that the platform keeps in the store.

use std::net::SocketAddr;

use super::Store;
use super::caller::HOST;

/// A route of the published configuration.
#[derive(Clone, Copy)]
pub struct Route {
    /// Name of the route; its path prefix is the name between two slashes.
    pub name: &'static str,
    /// Whether its requests may be repeated, in the platform's terms: `safe`, `unsafe` or `streaming`.
    pub kind: &'static str,
    /// Service of the route.
    pub service: &'static str,
    /// Most attempts of a request.
    pub attempts: u32,
    /// Timeout of a response in milliseconds.
    pub timeout_ms: u64,
    /// Whether a stream may be resumed at another runner.
    pub resumable: bool,
}

/// Routes `/safe/`, `/once/`, `/stream/` and `/resume/` of every test bed.
pub const ROUTES: [Route; 4] = [
    Route {
        name: "safe",
        kind: "safe",
        service: "plain",
        attempts: 2,
        timeout_ms: 1500,
        resumable: false,
    },
    Route {
        name: "once",
        kind: "unsafe",
        service: "plain",
        attempts: 2,
        timeout_ms: 1500,
        resumable: false,
    },
    Route {
        name: "stream",
        kind: "streaming",
        service: "engines",
        attempts: 2,
        timeout_ms: 4000,
        resumable: false,
    },
    Route {
        name: "resume",
        kind: "streaming",
        service: "engines",
        attempts: 2,
        timeout_ms: 4000,
        resumable: true,
    },
];

/// Path of the runners' health check.
pub(super) const HEALTH_PATH: &str = "/h";
/// Software version of a runner unless a test says otherwise.
pub const VERSION: &str = "v1";
/// Start time of a runner that has not been restarted.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Entry of a runner in the store.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// Id of the runner.
    pub id: &'a str,
    /// Service of the runner.
    pub service: &'a str,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone of the runner.
    pub zone: &'a str,
    /// Whether it accepts no new requests and is about to stop.
    pub leaving: bool,
    /// Start time in Unix milliseconds.
    pub born: u64,
    /// Version of the runner's software.
    pub version: &'a str,
}

/// A write to the store on its way.
#[derive(Debug, Clone)]
pub struct Write {
    key: String,
    text: String,
}

impl Store {
    /// Publishes a configuration with these routes and with `keys` as the API keys of `acme`.
    pub fn publish_config(&self, version: u64, routes: &[Route], keys: &[&str]) {
        let routes: Vec<String> = routes.iter().map(route_json).collect();
        let keys: Vec<String> = keys.iter().map(|key| format!("{key:?}")).collect();
        let text = format!(
            r#"{{"version":{version},"routes":[{}],"services":[
            {{"name":"plain","health_path":"{HEALTH_PATH}","cold_start_s":0,"cold_per_s":0}},
            {{"name":"engines","health_path":"{HEALTH_PATH}","cold_start_s":1.5,"cold_per_s":20,"engine":{{"slots":8,"kv_capacity":100000}}}}],
            "limits":{{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":5000}},
            "tenants":[{{"name":"acme","api_keys":[{}],"priority":1}}]}}"#,
            routes.join(","),
            keys.join(",")
        );
        self.put("op/config", text.as_bytes());
    }

    /// Publishes the entry of a runner.
    pub fn publish(&self, entry: &Entry<'_>) {
        self.perform(&self.send(entry));
    }

    /// A write that a runner sends now, and that the store performs later.
    pub fn send(&self, entry: &Entry<'_>) -> Write {
        let sequence = self.next_sequence(entry.id, entry.born);
        let state = if entry.leaving { "draining" } else { "ready" };
        let Entry {
            service,
            address,
            zone,
            born,
            version,
            ..
        } = entry;
        let text = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":8,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        Write {
            key: format!("servers/{}", entry.id),
            text,
        }
    }

    /// Performs a write.
    pub fn perform(&self, write: &Write) {
        self.put(&write.key, write.text.as_bytes());
    }

    /// Takes an availability zone out of service.
    pub fn evacuate_zone(&self, zone: &str) {
        self.put(&format!("op/evacuate/{zone}"), b"{}");
    }

    /// Takes an availability zone back into service.
    pub fn readmit_zone(&self, zone: &str) {
        self.delete(&format!("op/evacuate/{zone}"));
    }
}

fn route_json(r: &Route) -> String {
    format!(
        r#"{{"name":"{}","host":"{HOST}","path_prefix":"/{}/","kind":"{}","timeout_ms":{},"target_latency_ms":400,"priority":1,"service":"{}","max_attempts":{},"anonymous":false,"sticky":true,"resumable":{}}}"#,
        r.name, r.name, r.kind, r.timeout_ms, r.service, r.attempts, r.resumable
    )
}
