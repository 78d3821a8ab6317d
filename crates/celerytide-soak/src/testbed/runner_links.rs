//! Links of each router to all runners and to the store: a relay for each router.

use std::net::SocketAddr;

use celerytide_standin::launch::Process;
use celerytide_standin::platform::Store;
use celerytide_standin::relay::{self, Mode};

/// What becomes of the connections of a router that is cut off from all runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutForm {
    /// Open connections and new ones hang.
    Hang,
    /// Open connections are reset and new ones refused.
    Reset,
    /// Open connections live on and new ones are refused.
    LiveOn,
}

impl CutForm {
    /// Modes of each link, set one after the other.
    fn modes(self) -> &'static [Mode] {
        match self {
            CutForm::Hang => &[Mode::Silent, Mode::Stall],
            CutForm::Reset => &[Mode::Reset, Mode::Refuse],
            CutForm::LiveOn => &[Mode::Refuse],
        }
    }
}

/// The links of all routers of a fleet.
pub struct RunnerLinks {
    routers: Vec<Links>,
    /// Mode of the links to each runner, but for those of routers that are cut off.
    modes: Vec<Mode>,
    /// A route to the store for each router.
    stores: Process,
    /// Where each router reads the store.
    store_addrs: Vec<SocketAddr>,
}

/// The links of one router, with a route to each runner.
struct Links {
    relay: Process,
    is_cut: bool,
}

impl RunnerLinks {
    /// Opens links to the runners and to the store for this number of routers.
    pub fn open(store: &Store, runners: &[SocketAddr], routers: usize) -> RunnerLinks {
        let relays: Vec<Process> = (0..routers).map(|_| open_relay(runners)).collect();
        let views: Vec<SocketAddr> = relays.iter().map(|relay| open_view(store, relay)).collect();
        let stores = open_relay(&views);
        let routes = relay::routes(stores.addr()).expect("routes");
        let links = |relay| Links { relay, is_cut: false };
        RunnerLinks {
            routers: relays.into_iter().map(links).collect(),
            modes: vec![Mode::Pass; runners.len()],
            stores,
            store_addrs: routes.iter().map(|route| route.listen).collect(),
        }
    }

    /// Address at which a router connects to the store.
    pub fn store_addr(&self, router: usize) -> SocketAddr {
        self.store_addrs[router]
    }

    /// Sets how the connections of all routers to a runner are treated. Routers that are cut off stay so.
    pub fn set_runner(&mut self, runner: usize, mode: Mode) {
        self.modes[runner] = mode;
        let connected = self.routers.iter().filter(|links| !links.is_cut);
        connected.for_each(|links| links.set(runner, mode));
    }

    /// Sets how the connections of all routers to the store are treated.
    pub fn set_store(&self, mode: Mode) {
        (0..self.store_addrs.len()).for_each(|route| set(&self.stores, route, mode));
    }

    /// Cuts routers off from all runners.
    pub fn cut_off(&mut self, routers: &[usize], form: CutForm) {
        for router in routers {
            let links = &mut self.routers[*router];
            links.is_cut = true;
            for mode in form.modes() {
                (0..self.modes.len()).for_each(|runner| links.set(runner, *mode));
            }
        }
    }

    /// Ends the cut; connections of before it are reset.
    pub fn heal(&mut self, routers: &[usize]) {
        for router in routers {
            let links = &mut self.routers[*router];
            links.is_cut = false;
            for (runner, mode) in self.modes.iter().enumerate() {
                links.set(runner, Mode::Reset);
                links.set(runner, *mode);
            }
        }
    }
}

impl Links {
    fn set(&self, runner: usize, mode: Mode) {
        set(&self.relay, runner, mode);
    }
}

fn set(relay: &Process, route: usize, mode: Mode) {
    relay::set_mode(relay.addr(), route, &mode).expect("the relay takes a mode");
}

fn open_relay(targets: &[SocketAddr]) -> Process {
    let targets: Vec<String> = targets.iter().map(SocketAddr::to_string).collect();
    let args: Vec<&str> = targets.iter().flat_map(|to| ["--to", to.as_str()]).collect();
    Process::standin("relay", &args).expect("relay")
}

/// Opens a view of the store in which the runners have the addresses of this relay.
fn open_view(store: &Store, relay: &Process) -> SocketAddr {
    let routes = relay::routes(relay.addr()).expect("routes");
    let replaced: Vec<(SocketAddr, SocketAddr)> = routes.iter().map(|route| (route.to, route.listen)).collect();
    store.open_view(&replaced).expect("view")
}
