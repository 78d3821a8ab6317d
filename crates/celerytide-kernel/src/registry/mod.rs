//! Registry of services by name.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use snafu::Snafu;
use tokio_util::sync::CancellationToken;

/// Why a service could not be registered or found.
#[derive(Debug, Snafu, PartialEq)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A service with this name is already registered.
    #[snafu(display("kernel: the name {name} is taken"))]
    Taken {
        /// Name of the service.
        name: &'static str,
    },
    /// No service with this name is registered.
    #[snafu(display("kernel: no service is named {name}"))]
    Absent {
        /// Name of the service.
        name: &'static str,
    },
    /// The service with this name has another type.
    #[snafu(display("kernel: the service {name} has another type"))]
    OtherType {
        /// Name of the service.
        name: &'static str,
    },
}

/// Service registry and root cancellation token of a process. Cheap to clone.
#[derive(Clone, Default)]
pub struct Kernel {
    services: Rc<RefCell<BTreeMap<&'static str, Rc<dyn Any>>>>,
    cx: CancellationToken,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Kernel {
        Kernel::default()
    }

    /// The root token, cancelled when the process should stop.
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

    /// Returns the service registered under `name`. Fails if there is none or its type is not `T`.
    pub fn find<T: 'static>(&self, name: &'static str) -> Result<Rc<T>, Error> {
        let found = self.services.borrow().get(name).cloned();
        let service = found.ok_or(Error::Absent { name })?;
        service.downcast::<T>().map_err(|_| Error::OtherType { name })
    }

    /// Returns the names of all services, sorted.
    pub fn names(&self) -> Vec<&'static str> {
        self.services.borrow().keys().copied().collect()
    }
}
