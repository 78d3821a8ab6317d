//! Tests of exchanges over loopback.

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

fn run<F: Future>(test: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime");
    runtime.block_on(test)
}

fn start(cx: &CancellationToken) -> SocketAddr {
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
fn messages_of_any_size_come_back_whole() {
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
    run(async {
        let cx = CancellationToken::new();
        let links = ConnectionPool::new(Options::default(), cx.clone());
        let addr = start(&cx);
        for case in cases {
            let echo = Echo {
                text: "x".repeat(case.bytes),
            };
            let back: Echo = links.call(addr, Method::Gossip, &echo).await.expect(case.name);
            assert_eq!(back, echo, "{}", case.name);
        }
        assert_eq!(links.count(), 1);
        cx.cancel();
    });
}

#[test]
fn a_refused_connection_says_that_nothing_was_sent() {
    run(async {
        let cx = CancellationToken::new();
        let closed = TcpListener::bind("127.0.0.1:0")
            .expect("bind")
            .local_addr()
            .expect("addr");
        let links = ConnectionPool::new(Options::default(), cx);
        let failed = links
            .call::<_, Echo>(closed, Method::Gossip, &Echo { text: String::new() })
            .await;
        assert!(failed.is_err_and(|e| e.is_unsent()));
    });
}

#[test]
fn a_silent_connection_fails_and_a_new_one_works() {
    run(async {
        let cx = CancellationToken::new();
        let opts = Options {
            connect: Duration::from_millis(200),
            ping: Duration::from_millis(20),
            silence: Duration::from_millis(100),
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("addr");
        let links = ConnectionPool::new(opts, cx.clone());
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
                let first = links.call::<_, Echo>(addr, Method::Gossip, &echo).await;
                assert!(matches!(first, Err(Error::H2 { .. } | Error::Ended)), "{first:?}");
                let second: Echo = links.call(addr, Method::Gossip, &echo).await.expect("new connection");
                assert_eq!(second, echo);
            } => {}
        }
    });
}

struct UnusedCase {
    name: &'static str,
    quiet_exchange: bool,
    stays: bool,
}

#[test]
fn an_unused_connection_is_closed_and_opened_again() {
    let cases = [
        UnusedCase {
            name: "nothing open",
            quiet_exchange: false,
            stays: false,
        },
        UnusedCase {
            name: "a quiet exchange",
            quiet_exchange: true,
            stays: true,
        },
    ];
    let opts = Options {
        ping: Duration::from_millis(5),
        ..Options::default()
    };
    for case in cases {
        run(async {
            let cx = CancellationToken::new();
            let addr = start(&cx);
            let links = ConnectionPool::new(opts, cx.clone());
            let echo = Echo { text: "a".into() };
            let mut kept = links.open(addr, Method::Muster, &echo).await.expect("open");
            let _: Echo = kept.recv_required().await.expect("echo");
            kept.set_background();
            let kept = Some(kept).filter(|_| case.quiet_exchange);
            monoio::time::sleep(opts.ping * 40).await;
            assert_eq!(links.count() == 1, case.stays, "{}", case.name);
            let back: Echo = links.call(addr, Method::Gossip, &echo).await.expect("call");
            assert_eq!(back, echo, "{}", case.name);
            drop(kept);
            cx.cancel();
        });
    }
}
