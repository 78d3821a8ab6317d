//! Memory account of a process: what its servers' connections may hold together.
//!
//! - **Decisions** are those of the [`Ledger`], which performs no I/O.
//! - **Bodies** of more than [`INLINE_BYTES`] are held in blocks of one size, which are reused. Buffers of many sizes,
//!   freed in another order than they were taken, would leave holes in the allocator's memory that stay resident.
//! - **Resident memory** is measured while the process runs; no block is added while it is near the limit.
//!
//! docs/design/memory.md describes the design.

mod account;
mod blocks;
mod holder;
mod ledger;
mod limit;
mod owners;
mod payload;

pub use account::{Account, Closing, Refusal, Usage};
pub use ledger::{CONNECTION_BYTES, HolderId, Ledger, NoRoom, Part, STALL_TIME};
pub use limit::{Limit, LimitSource};
pub use payload::Payload;

pub(crate) use holder::{Holder, current_holder, with_holder};
pub(crate) use payload::{Collector, INLINE_BYTES};
