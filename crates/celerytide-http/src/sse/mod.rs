//! Server-sent events: an incremental reader and a writer.

mod progress;
mod reader;
mod writer;

pub use progress::Progress;
pub use reader::{Error, Event, Reader};
pub use writer::{DONE, write_event};
