//! The server side: one task per connection, and one per exchange on it.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::{Connection, SendResponse};
use http::{Request, Response, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::Options;
use crate::activity::Activity;
use crate::connection::{CONNECTION_WINDOW_BYTES, MAX_STREAMS, STREAM_WINDOW_BYTES, watch_pings};
use crate::exchange::{Exchange, Incoming};
use crate::messages::Method;
use crate::socket::{self, Io};

/// Handles the exchanges that peers open.
pub trait Service: 'static {
    /// Handles one exchange until its end.
    fn serve(&self, method: Method, ex: Exchange) -> impl Future<Output = ()>;
}

/// Accepts connections until `cx` is cancelled; open connections continue until their exchanges end.
pub async fn serve<S: Service>(listener: TcpListener, opts: Options, service: Rc<S>, cx: CancellationToken) {
    let live = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = cx.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                monoio::spawn(serve_connection(
                    stream,
                    opts,
                    service.clone(),
                    cx.clone(),
                    ConnectionGuard::new(live.clone()),
                ));
            }
            Err(error) => {
                tracing::warn!(%error, "wire: cannot accept");
                monoio::time::sleep(opts.ping).await;
            }
        }
    }
}

/// Counts one live connection until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(live: Rc<Cell<usize>>) -> ConnectionGuard {
        live.set(live.get() + 1);
        ConnectionGuard(live)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

async fn serve_connection<S: Service>(
    stream: TcpStream,
    opts: Options,
    service: Rc<S>,
    cx: CancellationToken,
    _guard: ConnectionGuard,
) {
    let Ok(io) = socket::prepare(stream) else {
        return;
    };
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buffer_size(STREAM_WINDOW_BYTES as usize)
        .handshake::<Io, Bytes>(io);
    let Ok(Ok(mut connection)) = timeout(opts.connect, handshake).await else {
        return;
    };
    let pings = connection.ping_pong();
    let activity = Activity::default();
    monoio::select! {
        () = accept_all(&mut connection, service, cx, &activity) => {}
        () = watch_pings(pings, opts, activity.clone()) => tracing::warn!("wire: the peer did not answer a ping"),
    }
}

async fn accept_all<S: Service>(
    connection: &mut Connection<Io, Bytes>,
    service: Rc<S>,
    cx: CancellationToken,
    activity: &Activity,
) {
    let mut draining = false;
    loop {
        let accepted = monoio::select! {
            accepted = connection.accept() => accepted,
            () = cx.cancelled(), if !draining => {
                draining = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        match accepted {
            Some(Ok((request, respond))) => start_exchange(request, respond, service.clone(), activity),
            Some(Err(_)) | None => return,
        }
    }
}

fn start_exchange<S: Service>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    service: Rc<S>,
    activity: &Activity,
) {
    let Some(method) = Method::from_path(request.uri().path()) else {
        tracing::warn!(path = request.uri().path(), "wire: unknown method");
        let refused = Response::builder().status(StatusCode::NOT_FOUND).body(());
        if let Ok(refused) = refused {
            // A send error means that the connection has closed, which is handled by its own task.
            let _ = respond.send_response(refused, true);
        }
        return;
    };
    let Ok(tx) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let ex = Exchange::new(tx, Incoming::Open(request.into_body()), activity.open_exchange());
    monoio::spawn(async move { service.serve(method, ex).await });
}
