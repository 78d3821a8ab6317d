//! Links between routers: a relay in front of each, through which all others reach it.

use celerytide_standin::launch::Process;
use celerytide_standin::relay::{self, Mode};

use super::Addresses;

/// The links to all routers of a fleet. Digests, which are datagrams, don't pass through them.
pub struct PeerLinks {
    relay: Process,
    routers: usize,
}

impl PeerLinks {
    /// Opens a link to each router, and has the router advertise it.
    pub fn open(addresses: &mut [Addresses]) -> PeerLinks {
        let targets: Vec<String> = addresses.iter().map(|at| at.peers.to_string()).collect();
        let args: Vec<&str> = targets.iter().flat_map(|to| ["--to", to.as_str()]).collect();
        let relay = Process::standin("relay", &args).expect("relay");
        let routes = relay::routes(relay.addr()).expect("routes");
        for (at, route) in addresses.iter_mut().zip(routes) {
            at.advertised = Some(route.listen);
        }
        PeerLinks {
            relay,
            routers: addresses.len(),
        }
    }

    /// Cuts the links to all routers.
    pub fn cut(&self) {
        self.set(Mode::Cut { up: true, down: true });
    }

    /// Ends the cut; connections of before it are reset.
    pub fn heal(&self) {
        self.set(Mode::Reset);
    }

    fn set(&self, mode: Mode) {
        (0..self.routers).for_each(|route| relay::set_mode(self.relay.addr(), route, &mode).expect("mode"));
    }
}
