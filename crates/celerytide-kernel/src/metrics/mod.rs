//! The metrics registry of a process and its export as OpenMetrics text.

use std::cell::RefCell;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Content type of [`Metrics::text`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Registry to which services add their metrics when the process starts.
pub struct Metrics {
    registry: RefCell<Registry>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            registry: RefCell::new(Registry::with_prefix("celerytide")),
        }
    }
}

impl Metrics {
    /// Calls `add` with the registry, which prefixes all names with `celerytide`.
    pub fn register(&self, add: impl FnOnce(&mut Registry)) {
        add(&mut self.registry.borrow_mut());
    }

    /// Encodes all metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry.borrow()) {
            Ok(()) => text,
            Err(_) => String::from("# EOF\n"),
        }
    }
}
