//! A TCP relay between two processes that injects network faults: delays, partitions, stalls and resets.
//!
//! One process has a route for each `--to`; a route listens on a port of its own at its target's IP address and forwards bytes to its target. Tests set
//! the mode of a route by `PUT /__routes/N` and read the state of all routes by `GET /__routes`.

mod connection;
mod mode;
mod route;

use std::{net::SocketAddr, rc::Rc};

use argh::FromArgs;
use celerytide_http::server::{Handler, Request, Responder};
use http::{Method, StatusCode};
use tokio_util::sync::CancellationToken;

pub use mode::Mode;

use crate::{daemon, probe, respond};
use route::Route;

/// Path of the state of all routes; `/N` is appended to set the mode of one.
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
    /// State of a route in the response to `GET /__routes`.
    pub struct RouteState {
        /// Address on which it listens.
        pub listen: SocketAddr,
        /// Address of its target.
        pub to: SocketAddr,
        /// Mode in force.
        pub mode: Mode,
        /// Open connections.
        pub open: usize,
        /// Open connections with bytes held back.
        pub held: usize,
        /// Open connections with bytes to the target held back.
        pub held_up: usize,
        /// Open connections with bytes from the target held back.
        pub held_down: usize,
    }
}

/// A relay with its routes, indexed in the order of `--to`.
pub struct Relay {
    routes: Vec<Rc<Route>>,
}

impl Relay {
    /// Opens a route for each target.
    pub fn open(options: &Options) -> Result<Rc<Self>, daemon::Error> {
        let open = |to: &SocketAddr| Route::open(*to).map_err(|source| daemon::Error::Listen { addr: *to, source });
        let routes = options.to.iter().map(open).collect::<Result<Vec<_>, _>>()?;
        for route in &routes {
            monoio::spawn(route::run_listener(route.clone()));
        }
        Ok(Rc::new(Self { routes }))
    }

    async fn set_route_mode(&self, req: &Request, out: Responder) {
        let index = req.uri.path().strip_prefix(ROUTES_PATH).unwrap_or_default();
        let index = index.trim_start_matches('/').parse::<usize>().ok();
        let route = index.and_then(|index| self.routes.get(index));
        let mode = serde_json::from_slice::<Mode>(&req.body.to_bytes()).ok();
        let (Some(route), Some(mode)) = (route, mode) else {
            return respond::error(out, StatusCode::BAD_REQUEST, "", "no such route or mode").await;
        };
        route.set_mode(mode);
        respond::json(out, StatusCode::OK, "", &route.state()).await;
    }
}

impl Handler for Relay {
    async fn handle(&self, req: Request, out: Responder, _cx: CancellationToken) {
        match req.method {
            Method::GET => {
                let states: Vec<RouteState> = self.routes.iter().map(|route| route.state()).collect();
                respond::json(out, StatusCode::OK, "", &states).await;
            }
            Method::PUT => self.set_route_mode(&req, out).await,
            _ => respond::error(out, StatusCode::METHOD_NOT_ALLOWED, "", "GET or PUT").await,
        }
    }
}

/// Reads the state of all routes of the relay whose control address is `control`.
pub fn routes(control: SocketAddr) -> Result<Vec<RouteState>, probe::Error> {
    probe::get_json(control, ROUTES_PATH)
}

/// Sets the mode of the route with index `route`.
pub fn set_mode(control: SocketAddr, route: usize, mode: &Mode) -> Result<(), probe::Error> {
    probe::put(control, &format!("{ROUTES_PATH}/{route}"), &respond::to_json(mode))
}
