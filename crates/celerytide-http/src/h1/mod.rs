//! Reads and writes HTTP/1.1 messages on one connection.

mod body;
mod encode;
mod reader;
mod socket;
mod turn;
mod writer;

pub(crate) use body::{Body, Piece};
pub(crate) use encode::{BodyLength, put_chunk_line, put_last_chunk, put_request_head, put_response_head};
pub(crate) use reader::{HeadError, Reader, RequestHead, ResponseHead};
pub(crate) use socket::{connect, listen};
pub(crate) use turn::yield_now;
pub(crate) use writer::{WriteError, Writer};
