//! Services by name.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use snafu::Snafu;
use tokio_util::sync::CancellationToken;

/// Why a service was not found or not registered.
#[derive(Debug, Snafu, PartialEq)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Two services under one name.
    #[snafu(display("kernel: the name {name} is taken"))]
    Taken {
        /// The name.
        name: &'static str,
    },
    /// No service under that name.
    #[snafu(display("kernel: no service is named {name}"))]
    Absent {
        /// The name.
        name: &'static str,
    },
    /// A service of another type under that name.
    #[snafu(display("kernel: the service {name} has another type"))]
    OtherType {
        /// The name.
        name: &'static str,
    },
}

/// The registry and the process's root cancellation token. Cheap to clone.
#[derive(Clone, Default)]
pub struct Kernel {
    services: Rc<RefCell<BTreeMap<&'static str, Rc<dyn Any>>>>,
    cx: CancellationToken,
}

impl Kernel {
    /// An empty kernel.
    pub fn new() -> Kernel {
        Kernel::default()
    }

    /// The root token; cancelled when the process shall stop.
    pub fn cx(&self) -> &CancellationToken {
        &self.cx
    }

    /// Registers `service` under `name`. Fails if the name is taken.
    pub fn register<T: 'static>(&self, name: &'static str, service: Rc<T>) -> Result<Rc<T>, Error> {
        let mut services = self.services.borrow_mut();
        if services.contains_key(name) {
            return TakenSnafu { name }.fail();
        }
        services.insert(name, service.clone());
        Ok(service)
    }

    /// Finds the service under `name`. Fails if there is none or it has another type.
    pub fn find<T: 'static>(&self, name: &'static str) -> Result<Rc<T>, Error> {
        let found = self.services.borrow().get(name).cloned();
        let service = found.ok_or(Error::Absent { name })?;
        service.downcast::<T>().map_err(|_| Error::OtherType { name })
    }

    /// Names of all services, sorted.
    pub fn names(&self) -> Vec<&'static str> {
        self.services.borrow().keys().copied().collect()
    }
}
