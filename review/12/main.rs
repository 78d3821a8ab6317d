//! A router in touch hands requests to a peer with an older configuration, which denies them or runs them at the old service.

#[path = "../lib-3/bed.rs"]
mod bed;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use bed::{Act, Arrivals, BROKEN, HELD, NOT_RUN, Plan, Record, Runner, Store, Temp, attempt_id, call};

const HOST: &str = "ficu95.example";
const OLD_SERVICE: &str = "tramite-app";
const SERVICE: &str = "tramite-app-2";
/// Runners of each service.
const RUNNERS: usize = 4;
/// All runners reset this share of their requests (percent) for `GREY_FOR`.
const GREY_PERCENT: u64 = 45;
const GREY_FOR: Duration = Duration::from_secs(4);
/// Time for which the store turns the second router away.
const TURNED_AWAY_FOR: Duration = Duration::from_secs(4);
/// When the operator sends the new version, from then on.
const CHANGE_AT: Duration = Duration::from_millis(100);
/// `downgrade_slack_ms`.
const SLACK: Duration = Duration::from_millis(250);
const WORK: Duration = Duration::from_millis(30);
const CONSUMERS: usize = 16;

/// Version 2 adds a route, and moves another one, which is `unsafe`, to another service.
fn config(version: u64) -> Vec<u8> {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false}}"#
        )
    };
    let service = |name: &str| format!(r#"{{"name":"{name}","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}"#);
    let mut routes = vec![route("moved", "unsafe", if version > 1 { SERVICE } else { OLD_SERVICE })];
    routes.extend((version > 1).then(|| route("added", "safe", SERVICE)));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        routes.join(","),
        service(OLD_SERVICE),
        service(SERVICE)
    )
    .into_bytes()
}

/// A request on a route, sent after the new version was confirmed.
struct Asked {
    route: &'static str,
    attempt: String,
    sent: Instant,
    status: u16,
}

fn ask(addr: std::net::SocketAddr, route: &str) -> (String, Instant, bed::Answer) {
    let attempt = attempt_id();
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.clone()),
        ("X-Deadline-Ms", "4000".to_owned()),
        ("Api-Key", "n2ctnfzs989anu6wsjnb".to_owned()),
    ];
    let sent = Instant::now();
    let answer = call(addr, "POST", &format!("/{route}/2f"), &headers, b"a form", Duration::from_secs(5));
    (attempt, sent, answer)
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let root = PathBuf::from(std::env::args().nth(2).expect("the repository"));
    let code = play(&folder, &root);
    std::process::exit(code);
}

fn play(folder: &Path, root: &Path) -> i32 {
    let record = Record::create(folder);
    let temp = Temp::create("12");
    let store = Store::start();
    let (own, _) = store.door();
    let (other, is_turned_away) = store.door();
    let arrivals: Arrivals = Arc::default();
    store.put("op/config", &config(1));
    let is_grey = Arc::new(AtomicBool::new(false));
    let counter = Arc::new(AtomicU64::new(u64::from(std::process::id())));
    let decide = {
        let (is_grey, counter) = (is_grey.clone(), counter.clone());
        Arc::new(move |_: &bed::Req| {
            // A sequence of numbers without a pattern.
            let mut x = counter.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            x ^= x >> 32;
            if is_grey.load(Ordering::Relaxed) && x % 100 < GREY_PERCENT { Act::Reset } else { Act::Run(WORK, vec![b'x'; 800]) }
        })
    };
    let zones = ["lima-a", "lima-b", "lima-c", "lima-d"];
    let start = |n: usize, service: &str| Runner::start(&store, service, zones[n], 6, &arrivals, decide.clone());
    let _runners: Vec<Runner> = (0..RUNNERS).flat_map(|n| [start(n, OLD_SERVICE), start(n, SERVICE)]).collect();
    let plan = Plan { memory_mb: 110, zones: vec!["lima-a", "lima-b"], doors: vec![own, other] };
    let routers = bed::start_routers(root, &temp.0, &store, &plan);
    if !bed::wait_ready(&routers, Duration::from_secs(10)) {
        record.say("the routers aren't ready");
        return NOT_RUN;
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(10));
    let is_over = Arc::new(AtomicBool::new(false));
    let is_confirmed = Arc::new(AtomicBool::new(false));
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|n| {
            let (addr, is_over, is_confirmed) = (routers[0].callers, is_over.clone(), is_confirmed.clone());
            let (asked, record) = (asked.clone(), record.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    // Half of the consumers use the added route once it is confirmed.
                    let is_new = is_confirmed.load(Ordering::Relaxed);
                    let route = if n % 2 == 0 && is_new { "added" } else { "moved" };
                    let (attempt, sent, answer) = ask(addr, route);
                    record.line(format!("{attempt} /{route}/: {}", answer.text()));
                    if is_new {
                        asked.lock().unwrap().push(Asked { route, attempt, sent, status: answer.status });
                    }
                    sleep(Duration::from_millis(25));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(4));
    let trouble = bed::has_trouble();
    is_grey.store(trouble, Ordering::Relaxed);
    is_turned_away.store(trouble, Ordering::Relaxed);
    let began = Instant::now();
    record.say(format!("runners reset {GREY_PERCENT} of 100 requests, and the store turns {} away: {trouble}", routers[1].name));
    sleep(CHANGE_AT);
    store.put("op/config", &config(2));
    is_confirmed.store(true, Ordering::Relaxed);
    record.say("version 2 is confirmed, which adds a route and moves another one");
    sleep(GREY_FOR.max(TURNED_AWAY_FOR).saturating_sub(began.elapsed()));
    is_grey.store(false, Ordering::Relaxed);
    is_turned_away.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    check(&record, &arrivals, &asked.lock().unwrap(), &routers)
}

/// CONFIG: later than `SLACK` after a runner saw the effect of the new version through this router, requests are refused, or run by the
/// old service, as only the older version allows.
fn check(record: &Record, arrivals: &Arrivals, asked: &[Asked], routers: &[bed::Router]) -> i32 {
    let arrivals = arrivals.lock().unwrap();
    // Only the first router has consumers.
    let Some(effect) = arrivals.iter().filter(|arrival| arrival.service == SERVICE).map(|arrival| arrival.at).min() else {
        record.say("no runner saw the new version");
        return NOT_RUN;
    };
    let after = |asked: &&Asked| asked.sent > effect + SLACK;
    let denied: Vec<&Asked> = asked.iter().filter(|asked| matches!(asked.status, 401 | 403 | 404)).filter(after).collect();
    let by_old = |asked: &&Asked| arrivals.iter().any(|arrival| arrival.attempt == asked.attempt && arrival.service == OLD_SERVICE && arrival.has_run);
    let run_by_old: Vec<&Asked> = asked.iter().filter(by_old).filter(after).collect();
    for (asked, how) in denied.iter().map(|asked| (asked, "refused")).chain(run_by_old.iter().map(|asked| (asked, "run by the old service"))) {
        let since = (asked.sent - effect).as_secs_f64();
        record.line(format!("{} /{}/ was sent {since:.3} s after the first effect: {how}, {}", asked.attempt, asked.route, asked.status));
    }
    for router in routers {
        let lines = ["handover: a peer has the request", "handover: serves a request of a peer", "view: changed"];
        let counts: Vec<String> = lines.iter().map(|line| format!("{line}: {}", router.log_lines(line).len())).collect();
        record.say(format!("{}: {}", router.name, counts.join("; ")));
    }
    let last = denied.iter().chain(&run_by_old).map(|asked| (asked.sent - effect).as_secs_f64()).fold(0.0, f64::max);
    record.say(format!(
        "{} requests to {} since the confirmation; later than {SLACK:?} after a runner saw the new version, {} were refused with 404 and {} run by the old service, the last one {last:.3} s after it",
        asked.len(),
        routers[0].name,
        denied.len(),
        run_by_old.len()
    ));
    if denied.is_empty() && run_by_old.is_empty() { HELD } else { BROKEN }
}
