//! Formats of the manifest and the settings, and checks whose faults name file, line, column and field.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod check;
mod customers;
mod fault;
mod formats;
mod model;
mod report;
mod schema;
mod settings;
mod shape;
mod split;
mod yaml;

pub use check::{
    CheckedManifest, DOCUMENT_MAX_BYTES, SECTION_MAX_BYTES, SectionFault, check_dispatch_settings,
    check_entry_settings, check_manifest, check_section, detect_kind, hash_key, join_sections,
};
pub use customers::{CustomerIndex, InvalidKeyHash, KeyHash, SECTION_KEY_PREFIX, Section, section_key};
pub use fault::Fault;
pub use model::{
    Action, Class, Customer, EndpointSpec, Event, Manifest, Order, OrderKind, Service, ServiceKind, TicketRule, Zone,
    ZoneState,
};
pub use schema::DocumentKind;
pub use settings::{
    DispatchSettings, DispatchTimeouts, EntrySettings, EntryTimeouts, HttpLimits, LogFormat, LogLevel, LogSettings,
    Platform, PolicyName,
};
pub use split::{SPLIT_MAX_BYTES, Split, SplitError, SplitSection, split};
