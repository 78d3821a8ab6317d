//! The HTTP client for endpoints, the store and the configuration service ends endless responses at its limits.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::thread::spawn;
use std::time::{Duration, Instant};

use celerytide_http::client::{Bounds, BufferedResponse, Call, Cause, Client, Options, Stage};
use celerytide_http::sse::StallTimer;
use celerytide_http::validate::ProtocolError;
use celerytide_standin::platform::Endless;
use celerytide_types::BootTime;
use futures::future::join_all;
use http::Method;
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio_util::sync::CancellationToken;

const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that a request may take beyond its timeout.
const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(200);
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Starts a server that sends `endless` to each client.
fn serve_endless(endless: Endless) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for mut conn in listener.incoming().flatten() {
            spawn(move || {
                let mut buf = [0; 1024];
                if conn.read(&mut buf).is_ok() {
                    endless.send(&mut conn, "");
                }
            });
        }
    });
    addr
}

fn run<T>(work: impl Future<Output = T>) -> T {
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    built.expect("runtime").block_on(work)
}

async fn get(client: &Client, addr: SocketAddr) -> Result<BufferedResponse, (Stage, Cause)> {
    let bounds = Bounds {
        head_timeout: HEAD_TIMEOUT,
        total_timeout: RESPONSE_TIMEOUT,
        ..Bounds::default()
    };
    get_with_bounds(client, addr, bounds).await
}

async fn get_with_bounds(
    client: &Client,
    addr: SocketAddr,
    bounds: Bounds,
) -> Result<BufferedResponse, (Stage, Cause)> {
    let mut call = Call::new(addr, Method::GET, "/x");
    call.bounds = bounds;
    let cx = CancellationToken::new();
    let sent = client.send_buffered(call, MAX_BODY_BYTES, &cx).await;
    sent.map_err(|e| (e.stage, e.source))
}

/// An endless response, and how the request ends.
struct Case {
    endless: Endless,
    stage: Stage,
    cause: fn(&Cause) -> bool,
}

fn is_head_too_large(cause: &Cause) -> bool {
    matches!(
        cause,
        Cause::Protocol {
            source: ProtocolError::HeadTooLarge
        }
    )
}

fn is_interim(cause: &Cause) -> bool {
    matches!(cause, Cause::Interim)
}

fn is_head_timeout(cause: &Cause) -> bool {
    matches!(cause, Cause::HeadTimeout)
}

fn is_bad_chunk(cause: &Cause) -> bool {
    matches!(
        cause,
        Cause::Protocol {
            source: ProtocolError::Chunk
        }
    )
}

fn is_too_large(cause: &Cause) -> bool {
    matches!(cause, Cause::TooLarge)
}

fn is_response_timeout(cause: &Cause) -> bool {
    matches!(cause, Cause::TotalTimeout)
}

const fn case(endless: Endless, stage: Stage, cause: fn(&Cause) -> bool) -> Case {
    Case { endless, stage, cause }
}

const CASES: [Case; 14] = [
    case(Endless::Headers, Stage::Written, is_head_too_large),
    case(Endless::HeaderLine, Stage::Written, is_head_too_large),
    case(Endless::Interim, Stage::Written, is_interim),
    case(Endless::DripHead, Stage::Written, is_head_timeout),
    case(Endless::ChunkLine, Stage::Body, is_bad_chunk),
    case(Endless::Trailers, Stage::Body, is_bad_chunk),
    case(Endless::Chunk, Stage::Body, is_too_large),
    case(Endless::Chunks, Stage::Body, is_too_large),
    case(Endless::Length, Stage::Body, is_too_large),
    case(Endless::UntilClose, Stage::Body, is_too_large),
    case(Endless::Event, Stage::Body, is_too_large),
    case(Endless::DripBody, Stage::Body, is_response_timeout),
    case(Endless::Comments, Stage::Body, is_response_timeout),
    case(Endless::EmptyEvents, Stage::Body, is_response_timeout),
];

#[test]
fn each_endless_response_ends_within_its_limit_and_closes_the_connection() {
    for case in &CASES {
        let addr = serve_endless(case.endless);
        run(async {
            let client = Client::new(Options {
                until_close: true,
                ..Options::default()
            });
            let start = Instant::now();
            let (stage, cause) = get(&client, addr).await.expect_err("no response");
            assert_eq!(stage, case.stage, "{:?}: {cause}", case.endless);
            assert!((case.cause)(&cause), "{:?}: {cause}", case.endless);
            assert!(stage.may_have_run(), "{:?}", case.endless);
            let took = start.elapsed();
            assert!(
                took < RESPONSE_TIMEOUT + TIMEOUT_TOLERANCE,
                "{:?}: {took:?}",
                case.endless
            );
            assert_eq!(client.idle_count(), 0, "{:?}: the connection stays open", case.endless);
        });
    }
}

#[test]
fn trailing_data_closes_the_connection() {
    let addr = serve_endless(Endless::TrailingData);
    run(async {
        let client = Client::new(Options::default());
        let response = get(&client, addr).await.expect("a response");
        assert_eq!(&response.body[..], b"ok");
        monoio::time::sleep(Duration::from_millis(20)).await;
        let again = get(&client, addr).await.expect("a response on a new connection");
        assert_eq!(&again.body[..], b"ok");
    });
}

#[test]
fn buffered_responses_share_a_byte_limit() {
    let addr = serve_endless(Endless::Chunks);
    run(async {
        let client = Client::new(Options {
            max_buffered: MAX_BODY_BYTES * 2,
            ..Options::default()
        });
        // The byte limit ends them, however slowly the bytes arrive.
        let results = join_all((0..8).map(|_| get_with_bounds(&client, addr, Bounds::default()))).await;
        assert!(
            results.iter().all(|e| matches!(e, Err((_, Cause::TooLarge)))),
            "{results:?}"
        );
        // Their bytes no longer count towards the limit.
        let addr = serve_endless(Endless::TrailingData);
        assert!(get(&client, addr).await.is_ok());
    });
}

#[test]
fn a_stream_stalls_after_the_timeout_without_an_event() {
    let at = |ms| BootTime::from_start(Duration::from_millis(ms));
    let mut stall_timer = StallTimer::new(Duration::from_millis(500), at(0));
    assert!(!stall_timer.is_stalled(at(500)));
    assert!(stall_timer.is_stalled(at(501)));
    stall_timer.reset(at(501));
    assert!(!stall_timer.is_stalled(at(900)));
}
