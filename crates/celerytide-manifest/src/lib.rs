//! The manifest and settings formats, with checks that name file, line and field.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod check;
mod fault;
mod model;
mod settings;

pub use check::{Checked, check_dispatch_settings, check_entry_settings, check_manifest, hash_key};
pub use fault::Fault;
pub use model::{
    Action, Class, Customer, EndpointSpec, Event, Manifest, Order, OrderKind, Service, ServiceKind, TicketRule, Zone,
    ZoneState,
};
pub use settings::{
    DispatchSettings, DispatchTimeouts, EntrySettings, EntryTimeouts, HttpLimits, LogFormat, LogLevel, LogSettings,
    Platform,
};
