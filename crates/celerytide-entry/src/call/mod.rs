//! What a model call's body says, as far as routing needs it.

use std::borrow::Cow;

use bytes::{BufMut, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::answer::Final;

/// Bytes of prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of one block of the prompt's prefix.
const PREFIX_BLOCK_BYTES: usize = 1024;
/// Blocks of the prefix that are told to the pool's owner.
const MAX_PREFIX_BLOCKS: usize = 16;

/// A model call.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCall {
    /// Model named by the caller.
    pub model: String,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Bound on the answer's length.
    pub max_tokens: Option<u32>,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's leading blocks, each over all before it.
    pub prefix: Vec<u64>,
    /// The body as it came.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct Shape<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// Reads a model call from its body. Fails with the answer that names the wrong field.
pub fn read(body: Bytes) -> Result<ModelCall, Final> {
    let shape: Shape<'_> = serde_json::from_slice(&body).map_err(|error| not_json(&error))?;
    let Some(model) = shape.model else {
        return Err(Final::bad("missing-field", "model", "the field 'model' is missing"));
    };
    let Some(prompt) = shape.messages.or(shape.prompt) else {
        return Err(Final::bad(
            "missing-field",
            "messages",
            "neither 'messages' nor 'prompt' is there",
        ));
    };
    let text = prompt.get().as_bytes();
    Ok(ModelCall {
        model: model.into_owned(),
        stream: shape.stream.unwrap_or(false),
        max_tokens: shape.max_tokens.or(shape.max_completion_tokens),
        prompt_tokens: u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        prefix: prefix_hashes(text),
        body: body.clone(),
    })
}

impl ModelCall {
    /// The body that asks an engine to go on after `tokens`.
    pub fn resume_body(&self, tokens: u32) -> Bytes {
        let Some(open) = self.body.iter().position(|b| *b == b'{') else {
            return self.body.clone();
        };
        let rest = self.body.slice(open + 1..);
        let mut body = BytesMut::with_capacity(rest.len() + 40);
        body.put_slice(format!("{{\"resume_from\":{tokens},").as_bytes());
        body.put_slice(&rest);
        body.freeze()
    }
}

fn not_json(error: &serde_json::Error) -> Final {
    // The library's message can quote the body; only the place is told.
    let place = format!(
        "the body is not the JSON object expected: line {}, column {}",
        error.line(),
        error.column()
    );
    Final::bad("bad-json", "body", &place)
}

fn prefix_hashes(text: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    let blocks = text.chunks_exact(PREFIX_BLOCK_BYTES).take(MAX_PREFIX_BLOCKS);
    blocks
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
