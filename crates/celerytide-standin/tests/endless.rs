//! What the client of endpoints, of the store and of the configuration service makes of bytes without end.

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

const HEAD: Duration = Duration::from_millis(400);
const WHOLE: Duration = Duration::from_millis(800);
/// Time beyond these.
const LATE: Duration = Duration::from_millis(200);
const MAX_BODY: usize = 256 * 1024;

/// Sends `endless` to each of its callers.
fn endpoint(endless: Endless) -> SocketAddr {
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

async fn ask(client: &Client, addr: SocketAddr) -> Result<BufferedResponse, (Stage, Cause)> {
    let bounds = Bounds {
        head: HEAD,
        whole: WHOLE,
        ..Bounds::default()
    };
    ask_within(client, addr, bounds).await
}

async fn ask_within(client: &Client, addr: SocketAddr, bounds: Bounds) -> Result<BufferedResponse, (Stage, Cause)> {
    let mut call = Call::new(addr, Method::GET, "/x");
    call.bounds = bounds;
    let cx = CancellationToken::new();
    let sent = client.send_buffered(call, MAX_BODY, &cx).await;
    sent.map_err(|e| (e.stage, e.source))
}

/// What is sent, and how the call ends.
struct Row {
    endless: Endless,
    stage: Stage,
    cause: fn(&Cause) -> bool,
}

fn head_too_large(cause: &Cause) -> bool {
    matches!(
        cause,
        Cause::Protocol {
            source: ProtocolError::HeadTooLarge
        }
    )
}

fn interim(cause: &Cause) -> bool {
    matches!(cause, Cause::Interim)
}

fn head_late(cause: &Cause) -> bool {
    matches!(cause, Cause::HeadTimeout)
}

fn chunk(cause: &Cause) -> bool {
    matches!(
        cause,
        Cause::Protocol {
            source: ProtocolError::Chunk
        }
    )
}

fn too_large(cause: &Cause) -> bool {
    matches!(cause, Cause::TooLarge)
}

fn late(cause: &Cause) -> bool {
    matches!(cause, Cause::WholeTimeout)
}

const fn row(endless: Endless, stage: Stage, cause: fn(&Cause) -> bool) -> Row {
    Row { endless, stage, cause }
}

const ROWS: [Row; 14] = [
    row(Endless::Headers, Stage::Written, head_too_large),
    row(Endless::HeaderLine, Stage::Written, head_too_large),
    row(Endless::Interim, Stage::Written, interim),
    row(Endless::DripHead, Stage::Written, head_late),
    row(Endless::ChunkLine, Stage::Body, chunk),
    row(Endless::Trailers, Stage::Body, chunk),
    row(Endless::Chunk, Stage::Body, too_large),
    row(Endless::Chunks, Stage::Body, too_large),
    row(Endless::Length, Stage::Body, too_large),
    row(Endless::UntilClose, Stage::Body, too_large),
    row(Endless::Event, Stage::Body, too_large),
    row(Endless::DripBody, Stage::Body, late),
    row(Endless::Comments, Stage::Body, late),
    row(Endless::EmptyEvents, Stage::Body, late),
];

#[test]
fn each_kind_ends_within_its_bound_and_leaves_no_connection() {
    for row in &ROWS {
        let addr = endpoint(row.endless);
        run(async {
            let client = Client::new(Options {
                until_close: true,
                ..Options::default()
            });
            let began = Instant::now();
            let (stage, cause) = ask(&client, addr).await.expect_err("no answer");
            assert_eq!(stage, row.stage, "{:?}: {cause}", row.endless);
            assert!((row.cause)(&cause), "{:?}: {cause}", row.endless);
            assert!(stage.may_have_run(), "{:?}", row.endless);
            let took = began.elapsed();
            assert!(took < WHOLE + LATE, "{:?}: {took:?}", row.endless);
            assert_eq!(client.idle(), 0, "{:?}: the connection is kept", row.endless);
        });
    }
}

#[test]
fn what_follows_a_whole_answer_ends_the_connection() {
    let addr = endpoint(Endless::TrailingData);
    run(async {
        let client = Client::new(Options::default());
        let whole = ask(&client, addr).await.expect("an answer");
        assert_eq!(&whole.body[..], b"ok");
        monoio::time::sleep(Duration::from_millis(20)).await;
        let again = ask(&client, addr).await.expect("an answer on a connection of its own");
        assert_eq!(&again.body[..], b"ok");
    });
}

#[test]
fn answers_that_are_gathered_share_a_bound() {
    let addr = endpoint(Endless::Chunks);
    run(async {
        let client = Client::new(Options {
            max_buffered: MAX_BODY * 2,
            ..Options::default()
        });
        // What ends them is the bound on their bytes, however slowly these come.
        let ended = join_all((0..8).map(|_| ask_within(&client, addr, Bounds::default()))).await;
        assert!(
            ended.iter().all(|e| matches!(e, Err((_, Cause::TooLarge)))),
            "{ended:?}"
        );
        // What they held was given back.
        let addr = endpoint(Endless::TrailingData);
        assert!(ask(&client, addr).await.is_ok());
    });
}

#[test]
fn a_stream_stalls_only_where_bytes_come_and_no_event() {
    let at = |ms| BootTime::from_start(Duration::from_millis(ms));
    let mut progress = StallTimer::new(Duration::from_millis(500), at(0));
    assert!(!progress.is_stalled(at(500)));
    assert!(progress.is_stalled(at(501)));
    progress.reset(at(501));
    assert!(!progress.is_stalled(at(900)));
}
