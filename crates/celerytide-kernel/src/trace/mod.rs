//! Traces of recent requests, shown by `explain`. They hold causes and ids, never prompts, keys or bodies.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use celerytide_types::{ExecutionStatus, RequestId, data, now_unix_ms};

/// Default number of requests kept.
pub const DEFAULT_CAPACITY: usize = 2048;
/// Maximum number of steps kept for a request; later ones are dropped.
const MAX_STEPS: usize = 64;

data! {
    /// A step in the processing of a request.
    pub struct Step {
        /// Wall-clock time in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// Name of the step, which tools may rely on.
        pub step: String,
        /// Human-readable detail.
        pub detail: String,
    }

    /// The trace of one request.
    pub struct RequestTrace {
        /// Id of the request.
        pub request: RequestId,
        /// Steps, oldest first.
        pub steps: Vec<Step>,
        /// Execution status, once reported to the caller; serialized as `word`, the name that clients know.
        #[serde(rename = "word")]
        pub status: Option<ExecutionStatus>,
        /// Cause of the outcome.
        pub cause: Option<String>,
    }
}

/// Traces of the most recently started requests, up to a maximum number.
pub struct TraceLog {
    inner: RefCell<Traces>,
}

struct Traces {
    capacity: usize,
    order: VecDeque<RequestId>,
    traces: HashMap<RequestId, RequestTrace>,
}

impl Default for TraceLog {
    fn default() -> TraceLog {
        TraceLog::with_capacity(DEFAULT_CAPACITY)
    }
}

impl TraceLog {
    /// Creates a log that keeps the `capacity` most recently started requests, at least one.
    pub fn with_capacity(capacity: usize) -> TraceLog {
        let inner = Traces {
            capacity: capacity.max(1),
            order: VecDeque::new(),
            traces: HashMap::new(),
        };
        TraceLog {
            inner: RefCell::new(inner),
        }
    }

    /// Adds a step to the trace of `request`.
    pub fn add_step(&self, request: &str, step: &str, detail: &str) {
        let mut inner = self.inner.borrow_mut();
        let trace = inner.trace(request);
        if trace.steps.len() < MAX_STEPS {
            let (step, detail) = (step.to_owned(), detail.to_owned());
            trace.steps.push(Step {
                at_unix_ms: now_unix_ms(),
                step,
                detail,
            });
        }
    }

    /// Sets the outcome of `request`.
    pub fn set_outcome(&self, request: &str, status: ExecutionStatus, cause: &str) {
        let mut inner = self.inner.borrow_mut();
        let trace = inner.trace(request);
        trace.status = Some(status);
        trace.cause = Some(cause.to_owned());
    }

    /// Returns the trace of `request`, if it is still kept.
    pub fn get(&self, request: &str) -> Option<RequestTrace> {
        self.inner.borrow().traces.get(request).cloned()
    }
}

impl Traces {
    fn trace(&mut self, request: &str) -> &mut RequestTrace {
        if !self.traces.contains_key(request) {
            self.evict_oldest();
            self.order.push_back(request.to_owned());
        }
        self.traces.entry(request.to_owned()).or_insert_with(|| RequestTrace {
            request: request.to_owned(),
            steps: Vec::new(),
            status: None,
            cause: None,
        })
    }

    /// Evicts the oldest trace if the capacity is reached.
    fn evict_oldest(&mut self) {
        if self.order.len() < self.capacity {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.traces.remove(&oldest);
        }
    }
}
