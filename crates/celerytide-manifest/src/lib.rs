//! The manifest and settings formats, with checks that name file, line and field.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod model;

pub use model::{
    Action, Class, Customer, EndpointSpec, Event, Manifest, Order, OrderKind, Service, ServiceKind, TicketRule, Zone,
    ZoneState,
};
