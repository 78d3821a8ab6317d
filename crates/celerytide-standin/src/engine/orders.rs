//! Orders to load models, adapters and versions or to change the role, with fencing numbers.

use snafu::Snafu;

/// Orders of this kind add a model to the list of models.
const LOAD_KIND: &str = "load";
/// Orders of this kind remove a model from the list.
const UNLOAD_KIND: &str = "unload";

celerytide_types::data! {
    /// An order to the engine.
    #[derive(Eq)]
    pub struct Order {
        /// What to do: `load`, `unload`, `role`, or any other word.
        pub kind: String,
        /// Name of the model, adapter, version or role.
        pub name: String,
        /// Fencing number.
        pub number: u64,
        /// Name of the sender.
        pub sender: String,
    }
}

/// Error: the fencing number of an order is below the highest accepted one.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("number {number} is below {highest_number}"))]
pub struct StaleNumber {
    number: u64,
    highest_number: u64,
}

/// The accepted orders.
#[derive(Debug, Default)]
pub struct OrderLog {
    fenced: bool,
    highest_number: u64,
    accepted: Vec<Order>,
}

impl OrderLog {
    /// An empty log; a `fenced` one refuses old numbers.
    pub fn new(fenced: bool) -> Self {
        Self {
            fenced,
            ..Self::default()
        }
    }

    /// Accepts an order, unless the log is fenced and its number is old.
    pub fn accept(&mut self, order: Order) -> Result<(), StaleNumber> {
        if self.fenced && order.number < self.highest_number {
            return StaleNumberSnafu {
                number: order.number,
                highest_number: self.highest_number,
            }
            .fail();
        }
        self.highest_number = self.highest_number.max(order.number);
        self.accepted.push(order);
        Ok(())
    }

    /// All accepted orders by arrival.
    pub fn accepted(&self) -> &Vec<Order> {
        &self.accepted
    }

    /// Models that are loaded by the accepted orders.
    pub fn loaded_models(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for order in &self.accepted {
            names.retain(|name| *name != order.name || (order.kind != LOAD_KIND && order.kind != UNLOAD_KIND));
            if order.kind == LOAD_KIND {
                names.push(order.name.clone());
            }
        }
        names
    }
}
