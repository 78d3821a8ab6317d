//! Arbitrary bytes at the guard, the server and the client: never a panic, always an end, never a cut answer that
//! looks whole. The seeds are fixed; a longer search names its own: `FUZZ_FROM=1000 FUZZ_COUNT=20000 cargo test -p
//! celerytide-http --release --test fuzz`.

mod support;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use celerytide_http::Limits;
use celerytide_http::client::{Bounds, Call, Client, Options};
use celerytide_http::validate::{Head, TrailerLine, scan_chunk, scan_head, scan_trailer};
use http::Method;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use support::{Echo, HANG, Server, run_within};
use tokio_util::sync::CancellationToken;

const FROM: u64 = 1;
const COUNT: u64 = 400;
const ENTROPY: u64 = 2048;
const MAX_HEAD: usize = 2048;

/// Pieces of requests and answers, right and wrong ones.
const WORDS: &[&[u8]] = &[
    b"GET / HTTP/1.1\r\n",
    b"POST /a?b HTTP/1.1\r\n",
    b"HEAD * HTTP/1.0\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 204 \r\n",
    b"HTTP/1.1 999\r\n",
    b"host: x\r\n",
    b"content-length: 3\r\n",
    b"content-length: 99999999999999999999\r\n",
    b"Content-Length: 4\r\n",
    b"transfer-encoding: chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"connection: close\r\n",
    b"expect: 100-continue\r\n",
    b"x-request-id: a\r\n",
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"\r",
    b"\0",
    b":",
    b" ",
    b"abc",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"0\r\n",
    b"ffffffffffffffff\r\n",
    b"7fffffffffffffff\r\n",
    b"3;x=y\r\n",
    b"\xff\xfe",
    b"a: \xc3\xa4\r\n",
    b": v\r\n",
];

fn bytes(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
    let mut out = Vec::new();
    for _ in 0..u.int_in_range(0..=24)? {
        match u.int_in_range(0..=9)? {
            0 => out.push(u.arbitrary()?),
            1 => {
                let byte: u8 = u.arbitrary()?;
                let times = u.int_in_range(0..=3000)?;
                out.extend(std::iter::repeat_n(byte, times));
            }
            2 => {
                let name = "n".repeat(u.int_in_range(0..=80_000)?);
                out.extend_from_slice(format!("GET / HTTP/1.1\r\n{name}: v\r\n\r\n").as_bytes());
            }
            _ => out.extend_from_slice(u.choose(WORDS)?),
        }
    }
    Ok(out)
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect(name))
}

/// Gives each fixed table of seeds the usual time, and a longer search as much more.
fn run<T>(work: impl Future<Output = T>) -> T {
    let tables = setting("FUZZ_COUNT", COUNT).div_ceil(COUNT);
    run_within(HANG.saturating_mul(tables as u32), work)
}

/// Draws one value for each seed.
fn draw<T>(make: fn(&mut Unstructured<'_>) -> Result<T>) -> Vec<(u64, T)> {
    let (from, count) = (setting("FUZZ_FROM", FROM), setting("FUZZ_COUNT", COUNT));
    let mut drawn = Vec::new();
    for seed in from..from + count {
        let seed = seed << 32 | ENTROPY;
        arbtest(|u| {
            drawn.push((seed, make(u)?));
            Ok(())
        })
        .seed(seed);
    }
    drawn
}

#[test]
fn the_guard_gives_a_verdict_on_any_bytes() {
    for (seed, input) in draw(bytes) {
        let mut scanned = 0;
        let mut verdict = Ok(Head::Partial { scanned });
        for end in 0..=input.len() {
            verdict = scan_head(&input[..end], scanned, MAX_HEAD);
            match verdict {
                Ok(Head::Partial { scanned: next }) => {
                    assert!(next >= scanned && next <= end, "seed {seed:#x}");
                    assert!(end < MAX_HEAD + 2, "seed {seed:#x}: no end in sight");
                    scanned = next;
                }
                Ok(Head::Whole { skip, len }) => {
                    assert_eq!(skip + len, end, "seed {seed:#x}");
                    break;
                }
                Err(_) => break,
            }
        }
        let at_once = scan_head(&input, 0, MAX_HEAD);
        if let Ok(Head::Whole { .. }) = verdict {
            assert_eq!(at_once, verdict, "seed {seed:#x}: depends on how the bytes arrive");
        }
        if let Ok(Some(line)) = scan_chunk(&input) {
            assert!(
                line.digits > 0 && line.digits <= line.len && line.len + 2 <= input.len(),
                "seed {seed:#x}"
            );
        }
        if let Ok(Some(TrailerLine::Field(len))) = scan_trailer(&input) {
            assert!(len > 2 && len <= input.len(), "seed {seed:#x}");
        }
    }
}

async fn read_to_end(peer: &mut TcpStream) -> Vec<u8> {
    let mut all = Vec::new();
    loop {
        let (res, buf) = peer.read(vec![0; 4096]).await;
        match res {
            Ok(n) if n > 0 => all.extend_from_slice(&buf[..n]),
            _ => return all,
        }
    }
}

async fn throw(addr: SocketAddr, input: Vec<u8>) -> Vec<u8> {
    let mut peer = TcpStream::connect_addr(addr).await.expect("connect");
    // The server may refuse and close at any byte.
    let _ = peer.write_all(input).await;
    let _ = peer.shutdown().await;
    read_to_end(&mut peer).await
}

#[test]
fn the_server_survives_any_bytes() {
    run(async {
        let server = Server::start(Limits::default(), Echo);
        for (seed, input) in draw(bytes) {
            let got = throw(server.addr, input).await;
            assert!(got.is_empty() || got.starts_with(b"HTTP/1.1 "), "seed {seed:#x}");
            let after = throw(server.addr, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec()).await;
            assert!(after.starts_with(b"HTTP/1.1 200 OK\r\n"), "seed {seed:#x}");
        }
        server.stop().await;
    });
}

#[test]
fn every_byte_at_every_place_gets_an_answer() {
    run(async {
        let server = Server::start(Limits::default(), Echo);
        for byte in 0..=u8::MAX {
            for place in 0..5 {
                let mut parts: [Vec<u8>; 5] = ["GET", "/a", "a", "b", ""].map(Vec::from);
                parts[place].insert(parts[place].len() / 2, byte);
                let [method, path, name, value, end] = &parts;
                let input = [
                    method,
                    &b" "[..],
                    path,
                    b" HTTP/1.1\r\nhost: x\r\n",
                    name,
                    b": ",
                    value,
                    b"\r\n",
                    end,
                ];
                let got = throw(server.addr, [&input.concat()[..], b"\r\n\r\n"].concat()).await;
                let expected = got.starts_with(b"HTTP/1.1 200") || got.starts_with(b"HTTP/1.1 400");
                assert!(expected, "{byte:#x} at {place}: {}", String::from_utf8_lossy(&got));
            }
        }
        server.stop().await;
    });
}

/// Answers each connection with the next of `answers`, written in pieces, then closes.
async fn endpoint(listener: TcpListener, answers: Vec<Vec<Vec<u8>>>) {
    for pieces in answers {
        let (mut peer, _) = listener.accept().await.expect("accept");
        let _ = peer.read(vec![0; 4096]).await;
        for piece in pieces {
            // The client may give up at any byte.
            let _ = peer.write_all(piece).await;
            monoio::time::sleep(Duration::from_micros(200)).await;
        }
        let _ = peer.shutdown().await;
    }
}

fn call(addr: SocketAddr) -> Call {
    let mut call = Call::new(addr, Method::GET, "/");
    call.fresh = true;
    call.bounds = Bounds {
        max_head: MAX_HEAD,
        ..Bounds::default()
    };
    call
}

#[test]
fn the_client_survives_any_bytes() {
    run(async {
        let drawn = draw(bytes);
        let listener = TcpListener::bind(support::ANY_PORT).expect("listener");
        let addr = listener.local_addr().expect("address");
        let answers = drawn.iter().map(|(_, answer)| vec![answer.clone()]).collect();
        monoio::spawn(endpoint(listener, answers));
        let client = Client::new(Options::default());
        for (seed, answer) in drawn {
            let got = client
                .send_buffered(call(addr), MAX_HEAD, &CancellationToken::new())
                .await;
            let whole = got.is_ok();
            assert!(
                !whole || answer.starts_with(b"HTTP/1.") || answer.starts_with(b"\r\n"),
                "seed {seed:#x}"
            );
        }
    });
}

/// A valid chunked answer, its body, and where it is cut and split.
struct Cut {
    answer: Vec<u8>,
    body: Vec<u8>,
    cut: usize,
    split: usize,
}

fn cut(u: &mut Unstructured<'_>) -> Result<Cut> {
    let mut answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let mut body = Vec::new();
    for _ in 0..u.int_in_range(0..=5)? {
        let len = match u.int_in_range(0..=4)? {
            0 => u.int_in_range(60_000..=70_000)?,
            _ => u.int_in_range(1..=40)?,
        };
        let data: Vec<u8> = u.bytes(8)?.iter().copied().cycle().take(len).collect();
        let extension = *u.choose(&["", ";a", "; b=\"c\""])?;
        answer.extend_from_slice(format!("{len:x}{extension}\r\n").as_bytes());
        answer.extend_from_slice(&data);
        answer.extend_from_slice(b"\r\n");
        body.extend_from_slice(&data);
    }
    answer.extend_from_slice(u.choose(&[&b"0\r\n\r\n"[..], b"000;x\r\n\r\n", b"0\r\na: b\r\n\r\n"])?);
    let cut = u.int_in_range(0..=answer.len() - 1)?;
    let split = u.int_in_range(0..=answer.len())?;
    Ok(Cut {
        answer,
        body,
        cut,
        split,
    })
}

#[test]
fn an_answer_is_whole_only_with_its_last_byte() {
    run(async {
        let drawn = draw(cut);
        let listener = TcpListener::bind(support::ANY_PORT).expect("listener");
        let addr = listener.local_addr().expect("address");
        let pieces = |case: &Cut, end: usize| {
            let split = case.split.min(end);
            vec![case.answer[..split].to_vec(), case.answer[split..end].to_vec()]
        };
        let answers = drawn
            .iter()
            .flat_map(|(_, case)| [pieces(case, case.answer.len()), pieces(case, case.cut)])
            .collect();
        monoio::spawn(endpoint(listener, answers));
        let client = Client::new(Options::default());
        let cx = CancellationToken::new();
        for (seed, case) in drawn {
            let whole = client.send_buffered(call(addr), case.body.len(), &cx).await;
            let whole = whole.unwrap_or_else(|e| panic!("seed {seed:#x}: {e}"));
            assert!(whole.body == case.body, "seed {seed:#x}: another body");
            let cut = client.send_buffered(call(addr), case.body.len(), &cx).await;
            assert!(
                cut.is_err(),
                "seed {seed:#x}: cut at {} of {}",
                case.cut,
                case.answer.len()
            );
        }
    });
}
