//! Server-sent events: an incremental reader and a writer.

mod reader;
mod writer;

pub use reader::{Error, Event, Reader};
pub use writer::{DONE, write_event};
