//! A relay between two processes, for faults of the network.
//!
//! One process has a route for each `--to`; a route listens on a port of its own and forwards bytes to its target. The test
//! side tells each route by `PUT /__routes/N` how to treat bytes, and reads by `GET /__routes` what is held back.

mod conn;
mod mode;
mod route;

use std::{net::SocketAddr, rc::Rc};

use argh::FromArgs;
use celerytide_http::server::{Handler, Request, Responder};
use http::{Method, StatusCode};
use tokio_util::sync::CancellationToken;

pub use mode::Mode;

use crate::{daemon, probe, reply};
use route::Route;

/// Path of all routes; with `/N` of one.
pub const ROUTES_PATH: &str = "/__routes";

/// A relay of TCP connections.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "relay")]
pub struct Options {
    /// address to listen on for control; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// target of a route; one route for each
    #[argh(option)]
    pub to: Vec<SocketAddr>,
}

celerytide_types::data! {
    /// One route as `GET /__routes` shows it.
    pub struct RouteState {
        /// Where it listens.
        pub listen: SocketAddr,
        /// Where it forwards to.
        pub to: SocketAddr,
        /// How it treats bytes.
        pub mode: Mode,
        /// Open connections.
        pub open: usize,
        /// Open connections with bytes held back.
        pub held: usize,
        /// Of these, with bytes towards the target held back.
        pub held_up: usize,
        /// Of these, with bytes from the target held back.
        pub held_down: usize,
    }
}

/// The state of a relay.
pub struct Relay {
    routes: Vec<Rc<Route>>,
}

impl Relay {
    /// Opens every route.
    pub fn open(options: &Options) -> Result<Rc<Self>, daemon::Error> {
        let open = |to: &SocketAddr| Route::open(*to).map_err(|source| daemon::Error::Listen { addr: *to, source });
        let routes = options.to.iter().map(open).collect::<Result<Vec<_>, _>>()?;
        for route in &routes {
            monoio::spawn(route::accept(route.clone()));
        }
        Ok(Rc::new(Self { routes }))
    }

    async fn set(&self, req: &Request, out: Responder) {
        let index = req.uri.path().strip_prefix(ROUTES_PATH).unwrap_or_default();
        let index = index.trim_start_matches('/').parse::<usize>().ok();
        let route = index.and_then(|index| self.routes.get(index));
        let mode = serde_json::from_slice::<Mode>(&req.body).ok();
        let (Some(route), Some(mode)) = (route, mode) else {
            return reply::error(out, StatusCode::BAD_REQUEST, "", "no such route or mode").await;
        };
        route.set(mode);
        reply::json(out, StatusCode::OK, "", &route.state()).await;
    }
}

impl Handler for Relay {
    async fn handle(&self, req: Request, out: Responder, _cx: CancellationToken) {
        match req.method {
            Method::GET => {
                let states: Vec<RouteState> = self.routes.iter().map(|route| route.state()).collect();
                reply::json(out, StatusCode::OK, "", &states).await;
            }
            Method::PUT => self.set(&req, out).await,
            _ => reply::error(out, StatusCode::METHOD_NOT_ALLOWED, "", "GET or PUT").await,
        }
    }
}

/// Every route of the relay that is told at `control`.
pub fn routes(control: SocketAddr) -> Result<Vec<RouteState>, probe::Error> {
    probe::get_json(control, ROUTES_PATH)
}

/// Tells a route how to treat bytes.
pub fn set_mode(control: SocketAddr, route: usize, mode: &Mode) -> Result<(), probe::Error> {
    probe::put(control, &format!("{ROUTES_PATH}/{route}"), &reply::to_json(mode))
}
