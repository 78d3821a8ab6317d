//! What the operator and runners write into the store.

use std::net::SocketAddr;

use super::Store;
use super::caller::HOST;

/// A route of a bed's configuration.
#[derive(Clone, Copy)]
pub struct Route {
    /// Its name, and its path between two slashes.
    pub name: &'static str,
    /// The platform's word for what may be repeated.
    pub kind: &'static str,
    /// Its service.
    pub service: &'static str,
    /// Most runs.
    pub attempts: u32,
    /// Time for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// A stream may go on at another runner.
    pub resumable: bool,
}

/// Routes `/safe/`, `/once/`, `/stream/` and `/resume/` of every bed.
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

/// Start of a runner that started once, in Unix milliseconds.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// A runner's entry.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: &'a str,
    /// It takes no new work and will end.
    pub leaving: bool,
    /// Unix milliseconds of its start.
    pub born: u64,
}

impl Store {
    /// Publishes a configuration.
    pub fn publish_config(&self, version: u64, routes: &[Route], keys: &[&str]) {
        let routes: Vec<String> = routes.iter().map(route).collect();
        let keys: Vec<String> = keys.iter().map(|key| format!("{key:?}")).collect();
        let text = format!(
            r#"{{"version":{version},"routes":[{}],"services":[
            {{"name":"plain","health_path":"/h","cold_start_s":0,"cold_per_s":0}},
            {{"name":"engines","health_path":"/h","cold_start_s":1.5,"cold_per_s":20,"engine":{{"slots":8,"kv_capacity":100000}}}}],
            "limits":{{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":5000}},
            "tenants":[{{"name":"acme","api_keys":[{}],"priority":1}}]}}"#,
            routes.join(","),
            keys.join(",")
        );
        self.put("op/config", text.as_bytes());
    }

    /// Publishes a runner's entry.
    pub fn publish(&self, entry: &Entry<'_>) {
        let state = if entry.leaving { "draining" } else { "ready" };
        let (service, address, zone, born) = (entry.service, entry.address, entry.zone, entry.born);
        let text = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":8,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#
        );
        self.put(&format!("servers/{}", entry.id), text.as_bytes());
    }

    /// Takes an availability zone out.
    pub fn evacuate_zone(&self, zone: &str) {
        self.put(&format!("op/evacuate/{zone}"), b"{}");
    }

    /// Takes it back.
    pub fn readmit_zone(&self, zone: &str) {
        self.delete(&format!("op/evacuate/{zone}"));
    }
}

fn route(r: &Route) -> String {
    format!(
        r#"{{"name":"{}","host":"{HOST}","path_prefix":"/{}/","kind":"{}","timeout_ms":{},"target_latency_ms":400,"priority":1,"service":"{}","max_attempts":{},"anonymous":false,"sticky":true,"resumable":{}}}"#,
        r.name, r.name, r.kind, r.timeout_ms, r.service, r.attempts, r.resumable
    )
}
