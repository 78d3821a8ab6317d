//! Arbitrary bytes for validation, server and client: no panic, no hang, and no truncated response that looks complete.
//! The seeds are fixed; a longer run sets its own: `FUZZ_FROM=1000 FUZZ_COUNT=20000 cargo test -p celerytide-http
//! --release --test fuzz`.

mod support;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use celerytide_http::Limits;
use celerytide_http::client::{Bounds, Call, Client, Options};
use celerytide_http::validate::{HeadScan, TrailerLine, scan_chunk_line, scan_head, scan_trailer_line};
use http::Method;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use support::{Echo, Server, TEST_TIMEOUT, run_with_timeout};
use tokio_util::sync::CancellationToken;

const FIRST_SEED: u64 = 1;
const SEED_COUNT: u64 = 400;
const ENTROPY_BYTES: u64 = 2048;
const MAX_HEAD_BYTES: usize = 2048;

/// Valid and invalid fragments of requests and responses.
const FRAGMENTS: &[&[u8]] = &[
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

fn random_bytes(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
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
            _ => out.extend_from_slice(u.choose(FRAGMENTS)?),
        }
    }
    Ok(out)
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect(name))
}

/// Runs `work` with the usual timeout for each [`SEED_COUNT`] seeds.
fn run<T>(work: impl Future<Output = T>) -> T {
    let batches = env_number("FUZZ_COUNT", SEED_COUNT).div_ceil(SEED_COUNT);
    run_with_timeout(TEST_TIMEOUT.saturating_mul(batches as u32), work)
}

/// Generates one value for each seed.
fn generate<T>(make: fn(&mut Unstructured<'_>) -> Result<T>) -> Vec<(u64, T)> {
    let (from, count) = (
        env_number("FUZZ_FROM", FIRST_SEED),
        env_number("FUZZ_COUNT", SEED_COUNT),
    );
    let mut generated = Vec::new();
    for seed in from..from + count {
        let seed = seed << 32 | ENTROPY_BYTES;
        arbtest(|u| {
            generated.push((seed, make(u)?));
            Ok(())
        })
        .seed(seed);
    }
    generated
}

#[test]
fn validation_returns_a_result_for_any_bytes() {
    for (seed, input) in generate(random_bytes) {
        let mut scanned = 0;
        let mut result = Ok(HeadScan::Partial { scanned });
        for end in 0..=input.len() {
            result = scan_head(&input[..end], scanned, MAX_HEAD_BYTES);
            match result {
                Ok(HeadScan::Partial { scanned: next }) => {
                    assert!(next >= scanned && next <= end, "seed {seed:#x}");
                    assert!(end < MAX_HEAD_BYTES + 2, "seed {seed:#x}: no end in sight");
                    scanned = next;
                }
                Ok(HeadScan::Complete { skip, len }) => {
                    assert_eq!(skip + len, end, "seed {seed:#x}");
                    break;
                }
                Err(_) => break,
            }
        }
        let at_once = scan_head(&input, 0, MAX_HEAD_BYTES);
        if let Ok(HeadScan::Complete { .. }) = result {
            assert_eq!(at_once, result, "seed {seed:#x}: depends on how the bytes arrive");
        }
        if let Ok(Some(line)) = scan_chunk_line(&input) {
            assert!(
                line.digits > 0 && line.digits <= line.len && line.len + 2 <= input.len(),
                "seed {seed:#x}"
            );
        }
        if let Ok(Some(TrailerLine::Field(len))) = scan_trailer_line(&input) {
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

async fn send_raw(addr: SocketAddr, input: Vec<u8>) -> Vec<u8> {
    let mut peer = TcpStream::connect_addr(addr).await.expect("connect");
    // The server may reject the request and close at any byte.
    let _ = peer.write_all(input).await;
    let _ = peer.shutdown().await;
    read_to_end(&mut peer).await
}

#[test]
fn the_server_survives_any_bytes() {
    run(async {
        let server = Server::start(Limits::default(), Echo);
        for (seed, input) in generate(random_bytes) {
            let got = send_raw(server.addr, input).await;
            assert!(got.is_empty() || got.starts_with(b"HTTP/1.1 "), "seed {seed:#x}");
            let after = send_raw(server.addr, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec()).await;
            assert!(after.starts_with(b"HTTP/1.1 200 OK\r\n"), "seed {seed:#x}");
        }
        server.stop().await;
    });
}

#[test]
fn every_byte_at_every_place_gets_a_response() {
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
                let got = send_raw(server.addr, [&input.concat()[..], b"\r\n\r\n"].concat()).await;
                let expected = got.starts_with(b"HTTP/1.1 200") || got.starts_with(b"HTTP/1.1 400");
                assert!(expected, "{byte:#x} at {place}: {}", String::from_utf8_lossy(&got));
            }
        }
        server.stop().await;
    });
}

/// Writes the next of `responses` to each connection, piece by piece, then closes it.
async fn endpoint(listener: TcpListener, responses: Vec<Vec<Vec<u8>>>) {
    for pieces in responses {
        let (mut peer, _) = listener.accept().await.expect("accept");
        let _ = peer.read(vec![0; 4096]).await;
        for piece in pieces {
            // The client may fail and close at any byte.
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
        max_head_bytes: MAX_HEAD_BYTES,
        ..Bounds::default()
    };
    call
}

#[test]
fn the_client_survives_any_bytes() {
    run(async {
        let generated = generate(random_bytes);
        let listener = TcpListener::bind(support::ANY_PORT).expect("listener");
        let addr = listener.local_addr().expect("address");
        let responses = generated.iter().map(|(_, response)| vec![response.clone()]).collect();
        monoio::spawn(endpoint(listener, responses));
        let client = Client::new(Options::default());
        for (seed, response) in generated {
            let got = client
                .send_buffered(call(addr), MAX_HEAD_BYTES, &CancellationToken::new())
                .await;
            let accepted = got.is_ok();
            assert!(
                !accepted || response.starts_with(b"HTTP/1.") || response.starts_with(b"\r\n"),
                "seed {seed:#x}"
            );
        }
    });
}

/// A valid chunked response, its body, and the offsets at which it is truncated and split.
struct TruncatedResponse {
    response: Vec<u8>,
    body: Vec<u8>,
    cut_at: usize,
    split: usize,
}

fn truncated_response(u: &mut Unstructured<'_>) -> Result<TruncatedResponse> {
    let mut response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let mut body = Vec::new();
    for _ in 0..u.int_in_range(0..=5)? {
        let len = match u.int_in_range(0..=4)? {
            0 => u.int_in_range(60_000..=70_000)?,
            _ => u.int_in_range(1..=40)?,
        };
        let data: Vec<u8> = u.bytes(8)?.iter().copied().cycle().take(len).collect();
        let extension = *u.choose(&["", ";a", "; b=\"c\""])?;
        response.extend_from_slice(format!("{len:x}{extension}\r\n").as_bytes());
        response.extend_from_slice(&data);
        response.extend_from_slice(b"\r\n");
        body.extend_from_slice(&data);
    }
    response.extend_from_slice(u.choose(&[&b"0\r\n\r\n"[..], b"000;x\r\n\r\n", b"0\r\na: b\r\n\r\n"])?);
    let cut_at = u.int_in_range(0..=response.len() - 1)?;
    let split = u.int_in_range(0..=response.len())?;
    Ok(TruncatedResponse {
        response,
        body,
        cut_at,
        split,
    })
}

#[test]
fn a_response_is_complete_only_with_its_last_byte() {
    run(async {
        let generated = generate(truncated_response);
        let listener = TcpListener::bind(support::ANY_PORT).expect("listener");
        let addr = listener.local_addr().expect("address");
        let pieces = |case: &TruncatedResponse, end: usize| {
            let split = case.split.min(end);
            vec![case.response[..split].to_vec(), case.response[split..end].to_vec()]
        };
        let responses = generated
            .iter()
            .flat_map(|(_, case)| [pieces(case, case.response.len()), pieces(case, case.cut_at)])
            .collect();
        monoio::spawn(endpoint(listener, responses));
        let client = Client::new(Options::default());
        let cx = CancellationToken::new();
        for (seed, case) in generated {
            let result = client.send_buffered(call(addr), case.body.len(), &cx).await;
            let complete = result.unwrap_or_else(|e| panic!("seed {seed:#x}: {e}"));
            assert!(complete.body == case.body, "seed {seed:#x}: wrong body");
            let truncated = client.send_buffered(call(addr), case.body.len(), &cx).await;
            assert!(
                truncated.is_err(),
                "seed {seed:#x}: truncated at {} of {}",
                case.cut_at,
                case.response.len()
            );
        }
    });
}
