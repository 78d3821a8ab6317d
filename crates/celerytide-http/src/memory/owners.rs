//! Who memory is charged to besides the process: addresses and customers.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::IpAddr;

/// Who a connection's memory is charged to: bulk charges to both, small ones to the address.
#[derive(Debug, Clone, Copy)]
pub(super) struct Owners {
    pub(super) address: IpAddr,
    pub(super) customer: Option<u64>,
}

/// Charges of one address.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct AddressCharges {
    pub(super) total: usize,
    pub(super) bulk: usize,
}

/// Charges by owner.
#[derive(Debug, Default)]
pub(super) struct Charges {
    addresses: HashMap<IpAddr, AddressCharges>,
    /// Bulk charges by customer.
    customers: HashMap<u64, usize>,
}

impl Charges {
    pub(super) fn of_address(&self, address: IpAddr) -> AddressCharges {
        self.addresses.get(&address).copied().unwrap_or_default()
    }

    pub(super) fn bulk_of_customer(&self, customer: u64) -> usize {
        self.customers.get(&customer).copied().unwrap_or_default()
    }

    pub(super) fn add(&mut self, owners: &Owners, total: usize, bulk: usize) {
        let address = self.addresses.entry(owners.address).or_default();
        address.total += total;
        address.bulk += bulk;
        if let Some(customer) = owners.customer {
            *self.customers.entry(customer).or_default() += bulk;
        }
    }

    pub(super) fn subtract(&mut self, owners: &Owners, total: usize, bulk: usize) {
        subtract(&mut self.addresses, &owners.address, |charges| {
            charges.total -= total;
            charges.bulk -= bulk;
            charges.total == 0
        });
        if let Some(customer) = owners.customer {
            subtract(&mut self.customers, &customer, |held| {
                *held -= bulk;
                *held == 0
            });
        }
    }
}

/// Changes an entry, and removes it if `change` returns true.
fn subtract<K: Eq + Hash, V>(all: &mut HashMap<K, V>, key: &K, change: impl FnOnce(&mut V) -> bool) {
    if all.get_mut(key).is_some_and(change) {
        all.remove(key);
    }
}

/// The address by which a peer is counted: that of its network for IPv6, of which one peer has many.
pub(super) fn network(address: IpAddr) -> IpAddr {
    let IpAddr::V6(v6) = address else {
        return address;
    };
    let [a, b, c, d, ..] = v6.segments();
    let network = IpAddr::from([a, b, c, d, 0, 0, 0, 0]);
    v6.to_ipv4_mapped().map_or(network, IpAddr::V4)
}
