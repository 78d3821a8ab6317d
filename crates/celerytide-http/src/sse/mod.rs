//! Server-sent events: an incremental reader and a writer.

mod progress;
mod reader;
mod writer;

pub use progress::StallTimer;
pub use reader::{Error, Event, Reader};
pub use writer::{DONE, write_event};
