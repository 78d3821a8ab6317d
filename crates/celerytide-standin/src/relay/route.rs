//! One route: its listener, its mode and its connections.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    io,
    net::{IpAddr, SocketAddr, TcpListener as StdListener, TcpStream as StdStream},
    os::fd::{AsRawFd, OwnedFd},
    pin::pin,
    rc::{Rc, Weak},
    task::Poll,
    time::Duration,
};

use monoio::{
    net::{TcpListener, TcpStream},
    time,
};
use nix::{
    errno::Errno,
    sys::socket::{
        self, AddressFamily, Backlog, Shutdown, SockFlag, SockType, SockaddrStorage, listen, setsockopt, socket,
        sockopt,
    },
};

use super::{Mode, RouteState, connection, connection::Connection, mode::Direction};
use crate::sockets::reset_on_close;

/// Time between checks of the mode while no connections are accepted.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Connect timeout of the connections that fill the backlog of a stalled listener.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);
/// Most connections opened to fill that backlog.
const MAX_FILLERS: usize = 3;

/// One route: a listener and the connections to its target.
pub(super) struct Route {
    listen: SocketAddr,
    to: SocketAddr,
    listener: StdListener,
    mode: Cell<Mode>,
    /// Number of mode changes.
    generation: Cell<u64>,
    conns: RefCell<Vec<Weak<Connection>>>,
    /// Connections that are left unaccepted to keep the backlog of the listener full.
    backlog_fillers: RefCell<Vec<StdStream>>,
}

impl Route {
    pub(super) fn open(to: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = bind_lasting(to.ip())?;
        listener.set_nonblocking(true)?;
        reset_on_close(&listener)?;
        Ok(Rc::new(Self {
            listen: listener.local_addr()?,
            to,
            listener,
            mode: Cell::default(),
            generation: Cell::default(),
            conns: RefCell::default(),
            backlog_fillers: RefCell::default(),
        }))
    }

    pub(super) fn set_mode(&self, mode: Mode) {
        match mode {
            Mode::Silent => self.for_each_connection(|conn| conn.silence()),
            Mode::Reset => self.for_each_connection(|conn| conn.reset()),
            Mode::Stall => self.stall(),
            Mode::Refuse => self.refuse(),
            _ => {}
        }
        if is_closed(self.mode.get()) && !is_closed(mode) {
            self.backlog_fillers.borrow_mut().clear();
            let _ = listen(&self.listener, Backlog::MAXCONN);
        }
        let lasting = match mode {
            Mode::Silent | Mode::Reset => Mode::Pass,
            lasting => lasting,
        };
        self.mode.set(lasting);
        self.generation.set(self.generation.get() + 1);
    }

    /// Fills the backlog of the listener, so that the kernel drops further connection requests.
    fn stall(&self) {
        if let Ok(none) = Backlog::new(0) {
            let _ = listen(&self.listener, none);
        }
        for _ in 0..MAX_FILLERS {
            match StdStream::connect_timeout(&self.listen, FILL_TIMEOUT) {
                Ok(filler) => self.backlog_fillers.borrow_mut().push(filler),
                Err(_) => return,
            }
        }
    }

    /// Stops listening; the address stays bound.
    fn refuse(&self) {
        self.backlog_fillers.borrow_mut().clear();
        let _ = socket::shutdown(self.listener.as_raw_fd(), Shutdown::Read);
    }

    pub(super) fn mode(&self) -> Mode {
        self.mode.get()
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    pub(super) fn state(&self) -> RouteState {
        let conns: Vec<Rc<Connection>> = self.open_conns();
        let held = |direction: Direction| conns.iter().filter(|conn| conn.is_held(direction)).count();
        let either = |conn: &&Rc<Connection>| conn.is_held(Direction::Up) || conn.is_held(Direction::Down);
        RouteState {
            listen: self.listen,
            to: self.to,
            mode: self.mode.get(),
            open: conns.len(),
            held: conns.iter().filter(either).count(),
            held_up: held(Direction::Up),
            held_down: held(Direction::Down),
        }
    }

    fn for_each_connection(&self, apply: impl Fn(&Connection)) {
        for conn in self.open_conns() {
            apply(&conn);
        }
    }

    fn open_conns(&self) -> Vec<Rc<Connection>> {
        let conns = self.conns.borrow();
        let known = conns.iter().filter_map(Weak::upgrade);
        known.filter(|conn| conn.is_open()).collect()
    }

    fn register(&self, conn: &Rc<Connection>) {
        let mut conns = self.conns.borrow_mut();
        conns.retain(|conn| conn.upgrade().is_some_and(|conn| conn.is_open()));
        conns.push(Rc::downgrade(conn));
    }
}

/// Accepts connections until the process ends.
pub(super) async fn run_listener(route: Rc<Route>) {
    let listener = route.listener.try_clone().and_then(TcpListener::from_std);
    let Ok(listener) = listener else {
        return;
    };
    loop {
        match accept_next(&route, &listener).await {
            Some(Ok((from, _))) => {
                monoio::spawn(serve(route.clone(), from));
            }
            Some(Err(_)) => {}
            None => time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Whether no connection is accepted in this mode.
fn is_closed(mode: Mode) -> bool {
    matches!(mode, Mode::Stall | Mode::Refuse)
}

/// Accepts the next connection; `None` while none is accepted. The connections that fill the backlog must stay in
/// it, since after accepting one another caller could take its place.
async fn accept_next(route: &Route, listener: &TcpListener) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    let mut next = pin!(listener.accept());
    poll_fn(|cx| match route.mode() {
        mode if is_closed(mode) => Poll::Ready(None),
        _ => next.as_mut().poll(cx).map(Some),
    })
    .await
}

/// Listens on a free port, which the socket keeps while it doesn't listen. The kernel takes back a port that it has chosen
/// itself, so that the socket that listens is bound to the port of another one.
fn bind_lasting(ip: IpAddr) -> io::Result<StdListener> {
    let chosen = bind_reusable(SocketAddr::new(ip, 0))?;
    let port = StdListener::from(chosen.try_clone()?).local_addr()?.port();
    let kept = bind_reusable(SocketAddr::new(ip, port))?;
    listen(&kept, Backlog::MAXCONN)?;
    Ok(kept.into())
}

fn bind_reusable(addr: SocketAddr) -> io::Result<OwnedFd> {
    let fd = socket(AddressFamily::Inet, SockType::Stream, SockFlag::SOCK_CLOEXEC, None)?;
    setsockopt(&fd, sockopt::ReuseAddr, &true)?;
    socket::bind(fd.as_raw_fd(), &SockaddrStorage::from(addr))?;
    Ok(fd)
}

async fn serve(route: Rc<Route>, from: TcpStream) {
    let conn = Rc::new(Connection::default());
    let Ok(to) = start_connect(route.to) else {
        return;
    };
    route.register(&conn);
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    connection::forward(route, conn, from, to).await;
}

/// Starts a connection without waiting; writes wait until it is established.
fn start_connect(to: SocketAddr) -> io::Result<TcpStream> {
    let flags = SockFlag::SOCK_NONBLOCK | SockFlag::SOCK_CLOEXEC;
    let fd = socket(AddressFamily::Inet, SockType::Stream, flags, None)?;
    reset_on_close(&fd)?;
    match socket::connect(fd.as_raw_fd(), &SockaddrStorage::from(to)) {
        Ok(()) | Err(Errno::EINPROGRESS) => TcpStream::from_std(StdStream::from(fd)),
        Err(error) => Err(error.into()),
    }
}
