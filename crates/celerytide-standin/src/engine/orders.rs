//! Orders to load models, adapters and versions or to change role.

use snafu::Snafu;

/// Orders of this kind add a model to the list of models.
const LOAD: &str = "load";
/// Orders of this kind take a model off the list.
const UNLOAD: &str = "unload";

celerytide_types::data! {
    /// An order.
    #[derive(Eq)]
    pub struct Order {
        /// What to do: `load`, `unload`, `role`, or any other word.
        pub kind: String,
        /// What it concerns.
        pub name: String,
        /// Fencing number.
        pub number: u64,
        /// Who gives it.
        pub sender: String,
    }
}

/// Why an order was refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("number {number} is below {highest}"))]
pub struct Stale {
    number: u64,
    highest: u64,
}

/// The accepted orders.
#[derive(Debug, Default)]
pub struct Orders {
    fenced: bool,
    highest: u64,
    accepted: Vec<Order>,
}

impl Orders {
    /// No orders yet; a `fenced` engine refuses old numbers.
    pub fn new(fenced: bool) -> Self {
        Self {
            fenced,
            ..Self::default()
        }
    }

    /// Takes an order.
    pub fn take(&mut self, order: Order) -> Result<(), Stale> {
        if self.fenced && order.number < self.highest {
            return StaleSnafu {
                number: order.number,
                highest: self.highest,
            }
            .fail();
        }
        self.highest = self.highest.max(order.number);
        self.accepted.push(order);
        Ok(())
    }

    /// All accepted orders, in the order in which they came.
    pub fn accepted(&self) -> &Vec<Order> {
        &self.accepted
    }

    /// The models that orders have loaded.
    pub fn loaded(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for order in &self.accepted {
            names.retain(|name| *name != order.name || (order.kind != LOAD && order.kind != UNLOAD));
            if order.kind == LOAD {
                names.push(order.name.clone());
            }
        }
        names
    }
}
