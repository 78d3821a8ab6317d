//! Reading and writing one connection.

mod body;
mod encode;
mod reader;
mod socket;
mod writer;

pub(crate) use body::{Body, Piece};
pub(crate) use encode::{Length, answer_head, chunk_end, chunk_line, request_head};
pub(crate) use reader::{AnswerHead, HeadError, Reader, RequestHead};
pub(crate) use socket::{connect, listen};
pub(crate) use writer::{WriteError, Writer};
