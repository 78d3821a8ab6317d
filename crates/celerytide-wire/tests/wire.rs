//! Exchanges over loopback: message sizes, failed and unused connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::data;
use celerytide_wire::messages::Method;
use celerytide_wire::{ConnectionPool, Error, Exchange, Options, Service, serve};
use monoio::io::AsyncReadRent;
use monoio::net::TcpListener;
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio_util::sync::CancellationToken;

data! {
    struct Echo {
        text: String,
    }
}

struct EchoService;

impl Service for EchoService {
    async fn serve(&self, _method: Method, mut ex: Exchange) {
        while let Ok(Some(echo)) = ex.recv::<Echo>().await {
            if ex.send(&echo).await.is_err() {
                return;
            }
        }
    }
}

fn run_test<F: Future>(test: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime");
    runtime.block_on(test)
}

fn start_server(cx: &CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr");
    monoio::spawn(serve(listener, Options::default(), Rc::new(EchoService), cx.clone()));
    addr
}

struct EchoCase {
    name: &'static str,
    bytes: usize,
}

#[test]
fn messages_of_any_size_arrive_complete() {
    let cases = [
        EchoCase {
            name: "empty",
            bytes: 0,
        },
        EchoCase {
            name: "small",
            bytes: 100,
        },
        EchoCase {
            name: "beyond the stream window",
            bytes: 1 << 20,
        },
    ];
    run_test(async {
        let cx = CancellationToken::new();
        let pool = ConnectionPool::new(Options::default(), cx.clone());
        let addr = start_server(&cx);
        for case in cases {
            let echo = Echo {
                text: "x".repeat(case.bytes),
            };
            let back: Echo = pool.call(addr, Method::Gossip, &echo).await.expect(case.name);
            assert_eq!(back, echo, "{}", case.name);
        }
        assert_eq!(pool.count(), 1);
        cx.cancel();
    });
}

#[test]
fn a_refused_connection_is_reported_as_unsent() {
    run_test(async {
        let cx = CancellationToken::new();
        let closed = TcpListener::bind("127.0.0.1:0")
            .expect("bind")
            .local_addr()
            .expect("addr");
        let pool = ConnectionPool::new(Options::default(), cx);
        let failed = pool
            .call::<_, Echo>(closed, Method::Gossip, &Echo { text: String::new() })
            .await;
        assert!(failed.is_err_and(|e| e.is_unsent()));
    });
}

#[test]
fn an_unanswered_ping_fails_the_exchange_and_the_next_call_reconnects() {
    run_test(async {
        let cx = CancellationToken::new();
        let opts = Options {
            connect: Duration::from_millis(200),
            ping: Duration::from_millis(20),
            ping_timeout: Duration::from_millis(100),
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("addr");
        let pool = ConnectionPool::new(opts, cx.clone());
        let server = async {
            let (mut first, _) = listener.accept().await.expect("accept");
            let service = Rc::new(EchoService);
            monoio::spawn(async move {
                loop {
                    let (read, _) = first.read(vec![0_u8; 4096]).await;
                    if !matches!(read, Ok(n) if n > 0) {
                        return;
                    }
                }
            });
            serve(listener, opts, service, cx.clone()).await;
        };
        monoio::select! {
            () = server => panic!("server ended"),
            () = async {
                let echo = Echo { text: "a".into() };
                let first = pool.call::<_, Echo>(addr, Method::Gossip, &echo).await;
                assert!(matches!(first, Err(Error::H2 { .. } | Error::Ended)), "{first:?}");
                let second: Echo = pool.call(addr, Method::Gossip, &echo).await.expect("new connection");
                assert_eq!(second, echo);
            } => {}
        }
    });
}

struct UnusedConnectionCase {
    name: &'static str,
    background_exchange: bool,
    stays_open: bool,
}

#[test]
fn an_unused_connection_is_closed_and_reopened_on_demand() {
    let cases = [
        UnusedConnectionCase {
            name: "no exchange",
            background_exchange: false,
            stays_open: false,
        },
        UnusedConnectionCase {
            name: "a background exchange",
            background_exchange: true,
            stays_open: true,
        },
    ];
    let opts = Options {
        ping: Duration::from_millis(5),
        ..Options::default()
    };
    for case in cases {
        run_test(async {
            let cx = CancellationToken::new();
            let addr = start_server(&cx);
            let pool = ConnectionPool::new(opts, cx.clone());
            let echo = Echo { text: "a".into() };
            let mut exchange = pool.open(addr, Method::Muster, &echo).await.expect("open");
            let _: Echo = exchange.recv_required().await.expect("echo");
            exchange.set_background();
            let exchange = Some(exchange).filter(|_| case.background_exchange);
            monoio::time::sleep(opts.ping * 40).await;
            assert_eq!(pool.count() == 1, case.stays_open, "{}", case.name);
            let back: Echo = pool.call(addr, Method::Gossip, &echo).await.expect("call");
            assert_eq!(back, echo, "{}", case.name);
            drop(exchange);
            cx.cancel();
        });
    }
}
