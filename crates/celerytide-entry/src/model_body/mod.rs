//! Parses the fields of a model request's body that routing needs: model, stream, token bound and prompt.

use std::borrow::Cow;

use bytes::{BufMut, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::response::ErrorResponse;

/// Bytes of prompt that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Size of a prefix block, the unit in which prompts are compared for cache hits.
const PREFIX_BLOCK_BYTES: usize = 1024;
/// Most prefix blocks whose hashes are sent to the pool's owner.
const MAX_PREFIX_BLOCKS: usize = 16;

/// The body of a model request.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelBody {
    /// Name of the requested model.
    pub model: String,
    /// Whether the caller asked for a streamed response.
    pub stream: bool,
    /// Largest number of tokens to generate, if the caller set one.
    pub max_tokens: Option<u32>,
    /// Estimated length of the prompt, from its size in bytes.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's leading blocks; each covers all blocks before it too.
    pub prefix: Vec<u64>,
    /// The body's bytes as received.
    pub raw: Bytes,
}

#[derive(Deserialize)]
struct Fields<'a> {
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

/// Parses the body of a model request. The error response names the field at fault.
pub fn parse(body: Bytes) -> Result<ModelBody, ErrorResponse> {
    let fields: Fields<'_> = serde_json::from_slice(&body).map_err(|error| invalid_json(&error))?;
    let Some(model) = fields.model else {
        return Err(ErrorResponse::bad_request(
            "missing-field",
            "model",
            "the field 'model' is missing",
        ));
    };
    let Some(prompt) = fields.messages.or(fields.prompt) else {
        return Err(ErrorResponse::bad_request(
            "missing-field",
            "messages",
            "neither 'messages' nor 'prompt' is there",
        ));
    };
    let text = prompt.get().as_bytes();
    Ok(ModelBody {
        model: model.into_owned(),
        stream: fields.stream.unwrap_or(false),
        max_tokens: fields.max_tokens.or(fields.max_completion_tokens),
        prompt_tokens: u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        prefix: prefix_hashes(text),
        raw: body.clone(),
    })
}

impl ModelBody {
    /// Hash of the request, equal for repetitions by the same customer.
    pub fn content_hash(&self, customer: &str, path: &str) -> u64 {
        let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
        let seed = xxh3_64_with_seed(path.as_bytes(), seed);
        xxh3_64_with_seed(&self.raw, seed)
    }

    /// The body that asks an engine to resume the response after `tokens` tokens.
    pub fn resume_body(&self, tokens: u32) -> Bytes {
        let Some(open) = self.raw.iter().position(|b| *b == b'{') else {
            return self.raw.clone();
        };
        let rest = self.raw.slice(open + 1..);
        let mut body = BytesMut::with_capacity(rest.len() + 40);
        body.put_slice(format!("{{\"resume_from\":{tokens},").as_bytes());
        body.put_slice(&rest);
        body.freeze()
    }
}

fn invalid_json(error: &serde_json::Error) -> ErrorResponse {
    // serde_json's message can quote the body, so only the position is reported.
    let message = format!(
        "the body is not the JSON object expected: line {}, column {}",
        error.line(),
        error.column()
    );
    ErrorResponse::bad_request("bad-json", "body", &message)
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
