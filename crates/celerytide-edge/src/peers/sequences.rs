//! Sequences of the endpoints in a message, which follow it in a field of their own.
//!
//! Earlier releases read an endpoint without its sequence, and ignore what follows the last field that they know. Their
//! messages end before this field; the endpoints in them have no sequence.

use celerytide_catalog::{Change, Endpoint, EndpointStart, Kept, Sequence, Snapshot};
use celerytide_types::data;
use serde::{Deserialize, Deserializer};

use super::relay::FollowResult;

/// Sequences of endpoints in the order of the message.
pub type Sequences = Vec<Option<Sequence>>;

data! {
    /// Sequences of the endpoints in a reply to an exchange.
    #[derive(Default)]
    pub struct ReplySequences {
        /// Of the endpoints of its view.
        pub view: Sequences,
        /// Of the endpoints that keep leaving.
        pub leaving: Sequences,
        /// Of the endpoints that aren't used for some time.
        pub unproven: Sequences,
    }
}

/// Reads a last field, which earlier releases don't send.
pub(super) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(decoder: D) -> Result<T, D::Error> {
    Ok(T::deserialize(decoder).unwrap_or_default())
}

impl ReplySequences {
    /// Sequences of a reply with this view and this content.
    pub fn new(view: Option<&Snapshot>, kept: &Kept) -> ReplySequences {
        let endpoints = view.map(|view| view.endpoints.as_slice()).unwrap_or_default();
        ReplySequences {
            view: endpoints.iter().map(|endpoint| endpoint.sequence).collect(),
            leaving: kept.leaving.iter().map(|start| start.newest).collect(),
            unproven: kept.unproven.iter().map(|unproven| unproven.endpoint.newest).collect(),
        }
    }

    /// Gives the endpoints of a reply their sequences.
    pub fn restore(self, view: Option<&mut Snapshot>, kept: &mut Kept) {
        if let Some(view) = view {
            restore(view.endpoints.iter_mut().map(sequence), self.view);
        }
        restore(kept.leaving.iter_mut().map(newest), self.leaving);
        restore(
            kept.unproven.iter_mut().map(|unproven| newest(&mut unproven.endpoint)),
            self.unproven,
        );
    }
}

/// Sequences of the endpoints in a reader's reply.
pub fn of_result(result: &FollowResult) -> Sequences {
    match result {
        FollowResult::NotYet | FollowResult::Lost => Sequences::new(),
        FollowResult::Changes { changes, .. } => changes.iter().filter_map(written).map(|e| e.sequence).collect(),
        FollowResult::Whole(snapshot) => snapshot.endpoints.iter().map(|e| e.sequence).collect(),
    }
}

/// Gives the endpoints in a reader's reply their sequences.
pub fn restore_result(result: &mut FollowResult, sequences: Sequences) {
    match result {
        FollowResult::NotYet | FollowResult::Lost => {}
        FollowResult::Changes { changes, .. } => {
            let written = changes.iter_mut().filter_map(|change| match change {
                Change::Endpoint(endpoint) => Some(sequence(endpoint)),
                _ => None,
            });
            restore(written, sequences);
        }
        FollowResult::Whole(snapshot) => restore(snapshot.endpoints.iter_mut().map(sequence), sequences),
    }
}

fn written(change: &Change) -> Option<&Endpoint> {
    match change {
        Change::Endpoint(endpoint) => Some(endpoint),
        _ => None,
    }
}

fn sequence(endpoint: &mut Endpoint) -> &mut Option<Sequence> {
    &mut endpoint.sequence
}

fn newest(start: &mut EndpointStart) -> &mut Option<Sequence> {
    &mut start.newest
}

fn restore<'a>(slots: impl Iterator<Item = &'a mut Option<Sequence>>, sequences: Sequences) {
    for (slot, sequence) in slots.zip(sequences) {
        *slot = sequence;
    }
}
