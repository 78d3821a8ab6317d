//! Server-sent events: an incremental reader and a writer.

mod reader;
mod stall;
mod writer;

pub use reader::{Error, Event, Reader};
pub use stall::StallTimer;
pub use writer::{DONE, write_event};
