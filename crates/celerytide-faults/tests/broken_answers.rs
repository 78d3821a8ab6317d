//! Endpoints whose answers aren't whole HTTP answers, behind a real entry.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use celerytide_faults::{Harness, HarnessOptions};
use celerytide_load::caller::CallOutcome;
use http::Method;

/// Requests of each case and kind.
const REQUESTS: usize = 8;
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Text that only the raw endpoint sends.
const BROKEN: &str = "broken";
/// Zone of the raw endpoints, by which the status of the pools tells them.
const RAW: &str = "zone-b";

/// Answers with all defects; a body of six bytes that looks whole follows each.
const ANSWERS: [&str; 7] = [
    "HTTP/1.1 000 OK\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 600 OK\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 999 OK\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 200 OK\r\nContent Length: 2\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 200 OK\r\nx\u{1}y: 2\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nno colon\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nbroken",
];

/// An endpoint that sends one answer to each request.
struct RawEndpoint {
    addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl RawEndpoint {
    fn start(answer: &'static str) -> RawEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let addr = listener.local_addr().expect("address");
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = requests.clone();
        spawn(move || {
            for peer in listener.incoming().flatten() {
                let counted = counted.clone();
                spawn(move || serve(peer, answer, &counted));
            }
        });
        RawEndpoint { addr, requests }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Sends the answer and ends the connection in good order.
fn serve(mut peer: TcpStream, answer: &str, requests: &AtomicUsize) {
    let mut buf = [0; 16 * 1024];
    if matches!(peer.read(&mut buf), Ok(n) if n > 0) {
        requests.fetch_add(1, Ordering::SeqCst);
        // The entry may have closed the connection.
        let _ = peer.write_all(answer.as_bytes());
    }
}

/// A deployment in which a raw endpoint stands in place of the first plain endpoint, and another one in place of the first
/// engine.
struct Bed {
    harness: Harness,
    plain: RawEndpoint,
    engine: RawEndpoint,
}

impl Bed {
    fn start(answer: &'static str, plain_endpoints: usize) -> Bed {
        let opts = HarnessOptions {
            instances: 1,
            plain_endpoints,
            ..HarnessOptions::default()
        };
        let mut bed = Bed {
            harness: Harness::start(&opts).expect("deployment"),
            plain: RawEndpoint::start(answer),
            engine: RawEndpoint::start(answer),
        };
        let addrs = [bed.plain.addr, bed.engine.addr];
        let replace = |manifest: &mut celerytide_manifest::Manifest| {
            for service in &mut manifest.services {
                let is_plain = service.id == "forms";
                if let Some(endpoint) = service.endpoints.first_mut() {
                    endpoint.address = addrs[usize::from(!is_plain)];
                    endpoint.zone = RAW.into();
                }
            }
        };
        let before = bed.versions();
        bed.harness.fleet.publish(replace).expect("manifest");
        let end = Instant::now() + PUBLISH_TIMEOUT;
        while bed.versions().iter().zip(&before).any(|(now, before)| now == before) {
            assert!(Instant::now() < end, "the manifest is not in force");
            sleep(POLL_INTERVAL);
        }
        // A dispatch names the new version before its pools have the new endpoints.
        while bed.raw_endpoints() < addrs.len() {
            assert!(Instant::now() < end, "the pools have no raw endpoints");
            sleep(POLL_INTERVAL);
        }
        bed
    }

    /// Number of raw endpoints in the pools of the dispatch.
    fn raw_endpoints(&self) -> usize {
        let status = self.harness.dispatch_status(0);
        let pools = status["pools"].as_array().cloned().unwrap_or_default();
        let endpoints = pools
            .iter()
            .flat_map(|pool| pool["status"]["endpoints"].as_array().cloned().unwrap_or_default());
        endpoints
            .filter(|endpoint| {
                let is_first = endpoint["id"].as_str().is_some_and(|id| id.ends_with("-0"));
                is_first && endpoint["zone"] == RAW
            })
            .count()
    }

    /// Versions of the manifest at the entry and at the dispatch.
    fn versions(&self) -> [Option<u64>; 2] {
        let statuses = [self.harness.entry_status(0), self.harness.dispatch_status(0)];
        statuses.map(|status| status["manifest"]["version"].as_u64())
    }

    async fn get(&self, id: &str) -> CallOutcome {
        self.harness.plain(0, id, Method::GET, "/services/forms/p").await
    }
}

/// Whether the caller got the whole answer of a sound endpoint.
fn is_answered(outcome: &CallOutcome) -> bool {
    let is_from_raw = outcome.body.windows(BROKEN.len()).any(|part| part == BROKEN.as_bytes());
    outcome.word == "done" && outcome.status == 200 && outcome.is_complete && !is_from_raw
}

/// Guards against: an entry passes on a broken answer of an endpoint though another one could answer.
#[test]
fn an_entry_passes_on_a_broken_answer() {
    for answer in ANSWERS {
        let bed = Bed::start(answer, 2);
        Harness::block_on(async {
            for i in 0..REQUESTS {
                let safe = bed.get(&format!("r-{i}")).await;
                assert!(is_answered(&safe), "{answer:?}: {safe:?}");
                let chat = bed.harness.chat(0, &format!("c-{i}"), 2).await;
                assert!(is_answered(&chat), "{answer:?}: {chat:?}");
            }
        });
        let reached = [&bed.plain, &bed.engine].map(|raw| raw.requests() > 0);
        assert_eq!(reached, [true; 2], "{answer:?}");
    }
}

/// Guards against: an entry passes on a broken answer to an action that may have run, or says that it did not run.
#[test]
fn a_broken_answer_to_an_action_is_called_done_or_not_run() {
    for answer in ANSWERS {
        let bed = Bed::start(answer, 1);
        Harness::block_on(async {
            let ticket = bed.harness.take_ticket(0).await.expect("ticket");
            let once = bed.harness.submit(0, "s", Some(&ticket)).await;
            let told = (once.word.as_str(), once.status);
            assert_eq!(told, ("unknown", 502), "{answer:?}: {once:?}");
            assert_eq!(bed.plain.requests(), 1, "{answer:?}");
        });
    }
}
