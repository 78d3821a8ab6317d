//! The watches against a fake configuration service, and the HTTP client as their source.

mod common;

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_http::client::{Client, Options as ClientOptions};
use celerytide_membership::watch::{
    Backoff, ParseError, ReadError, Response, Source, WatchOptions, parse_endpoints, parse_instances, watch,
};
use celerytide_membership::{Freshness, Membership, Options};
use celerytide_types::now_boot;
use common::manifest;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(20);
const MANIFEST: &str = "/v1/kv/celerytide/manifest";
const INSTANCES: &str = "/v1/health/service/celerytide?";
const LIST: &str = r#"[{"Service":{"ID":"i-0","Address":"127.0.0.1","Port":80,"Meta":{"zone":"z-0","region":"r",
    "state":"live","entry_peer":"127.0.0.1:81","dispatch_peer":"127.0.0.1:82"}}}]"#;
const ENDPOINTS: &str = r#"[{"Service":{"ID":"e-0","Address":"127.0.0.1","Port":1,"Meta":{"state":"live"}}}]"#;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let built = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build();
    built.expect("the runtime starts").block_on(work)
}

/// Documents and reads of the fake service.
#[derive(Default)]
struct ServiceState {
    down: bool,
    manifest: Option<(u64, String)>,
    list_index: u64,
    reads: Vec<(SocketAddr, String)>,
}

#[derive(Clone, Default)]
struct Service(Rc<RefCell<ServiceState>>);

impl Source for Service {
    async fn read(
        &self,
        addr: SocketAddr,
        path: &str,
        _: Duration,
        _: usize,
        _: &CancellationToken,
    ) -> Result<Response, ReadError> {
        let waits = path.contains("index=");
        self.0.borrow_mut().reads.push((addr, path.to_owned()));
        if waits {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        let state = self.0.borrow();
        if state.down {
            return Err(ReadError::Timeout);
        }
        let (status, index, body) = match path {
            p if p.starts_with(MANIFEST) => match &state.manifest {
                Some((index, text)) => (200, *index, text.as_str()),
                None => (404, 1, ""),
            },
            p if p.starts_with(INSTANCES) || p.ends_with("/celerytide") => (200, state.list_index, LIST),
            _ => (200, state.list_index, ENDPOINTS),
        };
        Ok(Response {
            status,
            index: Some(index),
            body: body.as_bytes().to_vec(),
        })
    }
}

fn options() -> WatchOptions {
    WatchOptions {
        config_service: vec![
            "127.0.0.1:1".parse().expect("literal"),
            "127.0.0.1:2".parse().expect("literal"),
        ],
        start_jitter: Duration::from_millis(5),
        min_gap: Duration::from_millis(1),
        backoff_min: Duration::from_millis(1),
        backoff_max: Duration::from_millis(8),
        ..WatchOptions::default()
    }
}

/// Runs the watches until `done` holds, then cancels them.
fn watch_until(service: &Service, m: &Membership, opts: &WatchOptions, mut done: impl FnMut() -> bool) {
    block_on(async {
        let cx = CancellationToken::new();
        let poll = async {
            let until = now_boot().after(TIMEOUT);
            while !done() {
                assert!(now_boot() < until, "condition not reached within the timeout");
                m.tick(now_boot());
                monoio::time::sleep(Duration::from_millis(2)).await;
            }
            cx.cancel();
        };
        futures::join!(watch(m, service, opts, &cx), poll);
    });
}

#[test]
fn watches_apply_documents_and_wait_for_the_next_index() {
    let service = Service::default();
    service.0.borrow_mut().list_index = 7;
    let m = Membership::new(now_boot(), Options::default());
    let opts = options();
    watch_until(&service, &m, &opts, || m.freshness(now_boot()) == Freshness::Fresh);
    assert_eq!(
        m.view().manifest_version,
        0,
        "a manifest that is not published yet counts as confirmed"
    );
    assert_eq!((m.view().list_version, m.view().endpoints_version), (7, 7));
    service.0.borrow_mut().manifest = Some((9, manifest::text(3, "in")));
    let was_read = |path: &str| service.0.borrow().reads.iter().any(|(_, read)| read.as_str() == path);
    watch_until(&service, &m, &opts, || {
        let waits = ["manifest?raw&index=9&wait=20s", "manifest?raw&index=1&wait=20s"];
        let manifest = waits.iter().any(|w| was_read(&format!("/v1/kv/celerytide/{w}")));
        let list = was_read("/v1/health/service/celerytide?index=7&wait=20s");
        m.view().manifest_version == 3 && manifest && list
    });
    let state = service.0.borrow();
    let counted = opts.counters.manifest.get() + opts.counters.instances.get() + opts.counters.endpoints.get();
    assert_eq!(counted, state.reads.len() as u64);
}

#[test]
fn a_service_that_fell_behind_neither_changes_nor_confirms_views() {
    let service = Service::default();
    service.0.borrow_mut().list_index = 7;
    service.0.borrow_mut().manifest = Some((9, manifest::text(3, "in")));
    let fresh_for = Duration::from_millis(300);
    let m = Membership::new(
        now_boot(),
        Options {
            fresh_for,
            ..Options::default()
        },
    );
    let opts = options();
    watch_until(&service, &m, &opts, || {
        m.view().manifest_version == 3 && m.freshness(now_boot()) == Freshness::Fresh
    });
    service.0.borrow_mut().list_index = 6;
    service.0.borrow_mut().manifest = Some((8, manifest::text(2, "out")));
    watch_until(&service, &m, &opts, || {
        matches!(m.freshness(now_boot()), Freshness::Stale { .. })
    });
    assert_eq!((m.view().list_version, m.view().manifest_version), (7, 3));
}

#[test]
fn each_address_is_tried_while_the_service_is_down() {
    let service = Service::default();
    service.0.borrow_mut().down = true;
    let m = Membership::new(now_boot(), Options::default());
    let opts = options();
    watch_until(&service, &m, &opts, || opts.counters.failed.get() >= 12);
    let state = service.0.borrow();
    let at = |port: u16| state.reads.iter().filter(|(addr, _)| addr.port() == port).count();
    assert!(at(1) > 0 && at(2) > 0);
    assert!(state.reads.iter().all(|(_, path)| !path.contains("index=")));
    assert_eq!(m.view().generation, 0);
}

#[test]
fn backoff_doubles_to_its_maximum_and_resets() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (min, max) = (Duration::from_millis(100), Duration::from_millis(1000));
    let mut backoff = Backoff::new(min, max);
    for full in [100, 200, 400, 800, 1000, 1000] {
        let full = Duration::from_millis(full);
        let got = backoff.next(&mut rng);
        assert!(got >= full / 2 && got <= full, "{got:?} of {full:?}");
    }
    for _ in 0..100 {
        assert!(backoff.next(&mut rng) <= max);
    }
    backoff.reset();
    assert!(backoff.next(&mut rng) <= min);
}

/// A change of a zone must take effect within 3 s once it can be read; its spread and application take part of that.
const MAX_RECOVERY_DELAY: Duration = Duration::from_secs(2);
const OUTAGE_FAILURES: usize = 64;

#[test]
fn the_next_read_after_a_long_outage_is_not_delayed() {
    let mut rng = SmallRng::seed_from_u64(2);
    let opts = WatchOptions::default();
    let mut backoff = Backoff::new(opts.backoff_min, opts.backoff_max);
    for _ in 0..OUTAGE_FAILURES {
        let delay = backoff.next(&mut rng);
        assert!(delay <= MAX_RECOVERY_DELAY, "{delay:?}");
    }
}

#[test]
fn a_list_with_one_invalid_entry_is_refused_entirely() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        want: Option<&'static str>,
    }
    let case = |name, from, to, want| Case { name, from, to, want };
    let cases = [
        case("valid", "", "", None),
        case("leaving", "live", "leaving", None),
        case("unknown state", "live", "maybe", Some("state")),
        case("address not an IP", "\"127.0.0.1\"", "\"host\"", Some("Address")),
        case(
            "entry peer without port",
            "127.0.0.1:81",
            "127.0.0.1",
            Some("entry_peer"),
        ),
        case("empty dispatch peer", "127.0.0.1:82", "", Some("dispatch_peer")),
        case("empty zone", "\"z-0\"", "\"\"", Some("zone")),
        case("empty region", "\"r\"", "\"\"", Some("region")),
        case("empty id", "\"i-0\"", "\"\"", Some("ID")),
        case("invalid JSON", "[{", "{", Some("json")),
    ];
    for case in cases {
        let text = if case.from.is_empty() {
            LIST.to_owned()
        } else {
            LIST.replacen(case.from, case.to, 1)
        };
        let got = match parse_instances(text.as_bytes()) {
            Ok(list) if list.len() == 1 => None,
            Ok(_) => Some("length"),
            Err(ParseError::Json { .. }) => Some("json"),
            Err(ParseError::Entry { field, .. }) => Some(field),
        };
        assert_eq!(got, case.want, "{}", case.name);
    }
    assert!(parse_endpoints(ENDPOINTS.as_bytes()).is_ok_and(|list| list[0].live));
    assert!(parse_endpoints(ENDPOINTS.replace("live", "").as_bytes()).is_err());
}

#[test]
fn the_http_client_reads_status_index_and_body() {
    struct Case {
        name: &'static str,
        response: &'static str,
        want: Result<Response, bool>,
    }
    let case = |name, response, want| Case { name, response, want };
    let ok = |index| {
        Ok(Response {
            status: 200,
            index,
            body: b"hello".to_vec(),
        })
    };
    let cases = [
        case(
            "index",
            "HTTP/1.1 200 OK\r\nX-Consul-Index: 42\r\nContent-Length: 5\r\n\r\nhello",
            ok(Some(42)),
        ),
        case(
            "no index",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            ok(None),
        ),
        case(
            "invalid index",
            "HTTP/1.1 200 OK\r\nX-Consul-Index: -1\r\nContent-Length: 5\r\n\r\nhello",
            ok(None),
        ),
        case(
            "body too large",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhellohell",
            Err(true),
        ),
        case(
            "truncated body",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
            Err(false),
        ),
    ];
    for case in cases {
        let got = block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let addr = listener.local_addr().expect("bound");
            let serve = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let (_, head) = stream.read(vec![0; 4096]).await;
                assert!(String::from_utf8_lossy(&head).starts_with("GET /x?raw HTTP/1.1\r\n"));
                stream.write_all(case.response).await.0.expect("written");
            };
            let client = Client::new(ClientOptions::default());
            let cx = CancellationToken::new();
            let read = client.read(addr, "/x?raw", TIMEOUT, 8, &cx);
            futures::join!(read, serve).0
        });
        let got = got.map_err(|e| matches!(e, ReadError::TooLarge { .. }));
        assert_eq!(got, case.want, "{}", case.name);
    }
}
