//! Steps of recent requests, for `explain`. Holds causes and ids, never prompts, keys or bodies.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use celerytide_types::{ExecutionStatus, RequestId, data, now_unix_ms};

/// Requests kept by default.
pub const DEFAULT_CAPACITY: usize = 2048;
/// Steps kept of one request.
const MAX_STEPS: usize = 64;

data! {
    /// One step in the life of a request.
    pub struct Step {
        /// Wall time, milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// Name of the step.
        pub step: String,
        /// Detail for people.
        pub detail: String,
    }

    /// What is known of one request.
    pub struct RequestTrace {
        /// The request.
        pub request: RequestId,
        /// Its steps, oldest first.
        pub steps: Vec<Step>,
        /// Its final word, once said.
        pub word: Option<ExecutionStatus>,
        /// Cause of the final word.
        pub cause: Option<String>,
    }
}

/// The stories of recent requests.
pub struct TraceLog {
    inner: RefCell<Inner>,
}

struct Inner {
    capacity: usize,
    order: VecDeque<RequestId>,
    stories: HashMap<RequestId, RequestTrace>,
}

impl Default for TraceLog {
    fn default() -> TraceLog {
        TraceLog::with_capacity(DEFAULT_CAPACITY)
    }
}

impl TraceLog {
    /// A trail that keeps the last `capacity` requests.
    pub fn with_capacity(capacity: usize) -> TraceLog {
        let inner = Inner {
            capacity: capacity.max(1),
            order: VecDeque::new(),
            stories: HashMap::new(),
        };
        TraceLog {
            inner: RefCell::new(inner),
        }
    }

    /// Adds a step.
    pub fn add_step(&self, request: &str, step: &str, detail: &str) {
        let mut inner = self.inner.borrow_mut();
        let story = inner.story(request);
        if story.steps.len() < MAX_STEPS {
            let (step, detail) = (step.to_owned(), detail.to_owned());
            story.steps.push(Step {
                at_unix_ms: now_unix_ms(),
                step,
                detail,
            });
        }
    }

    /// Sets the final word.
    pub fn word(&self, request: &str, word: ExecutionStatus, cause: &str) {
        let mut inner = self.inner.borrow_mut();
        let story = inner.story(request);
        story.word = Some(word);
        story.cause = Some(cause.to_owned());
    }

    /// The story of `request`, if it is still kept.
    pub fn get(&self, request: &str) -> Option<RequestTrace> {
        self.inner.borrow().stories.get(request).cloned()
    }
}

impl Inner {
    fn story(&mut self, request: &str) -> &mut RequestTrace {
        if !self.stories.contains_key(request) {
            self.make_room();
            self.order.push_back(request.to_owned());
        }
        self.stories.entry(request.to_owned()).or_insert_with(|| RequestTrace {
            request: request.to_owned(),
            steps: Vec::new(),
            word: None,
            cause: None,
        })
    }

    fn make_room(&mut self) {
        if self.order.len() < self.capacity {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.stories.remove(&oldest);
        }
    }
}
