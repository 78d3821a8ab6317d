//! Parses requests into prompts with block hashes, and draws the lengths of responses.

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cache::BLOCK_TOKENS;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Median length of a response.
const MEDIAN_TOKENS: f64 = 120.0;
/// Standard deviation of the logarithm of the length.
const LOG_LENGTH_STD_DEV: f64 = 0.8;
/// Longest response.
const MAX_TOKENS: usize = 4096;

/// The fields of a request body that an engine uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Requested model.
    pub model: String,
    /// Tokens of all messages.
    pub tokens: usize,
    /// Hash of each full block and of all blocks before it.
    pub blocks: Vec<u64>,
    /// Longest response in tokens.
    pub max_tokens: Option<usize>,
    /// Number of tokens that were sent before, on another connection.
    pub resume_from: usize,
    /// Whether the response is streamed.
    pub stream: bool,
}

impl Prompt {
    /// Parses a body of `/v1/chat/completions` or `/v1/completions`; `None` if it is not JSON with a prompt.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let text = prompt_text(&body)?;
        let number = |name: &str| {
            body.get(name)
                .and_then(Value::as_u64)
                .and_then(|n| usize::try_from(n).ok())
        };
        Some(Self {
            model: body.get("model").and_then(Value::as_str).unwrap_or_default().to_owned(),
            tokens: text.len() / BYTES_PER_TOKEN,
            blocks: hash_blocks(text.as_bytes()),
            max_tokens: number("max_tokens").or_else(|| number("max_completion_tokens")),
            resume_from: number("resume_from").unwrap_or(0),
            stream: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
        })
    }
}

fn prompt_text(body: &Value) -> Option<String> {
    if let Some(prompt) = body.get("prompt") {
        return Some(prompt.as_str()?.to_owned());
    }
    let messages = body.get("messages")?.as_array()?;
    Some(messages.iter().map(message_text).collect())
}

/// Text of a message, whose content is a string or a list of parts.
fn message_text(message: &Value) -> String {
    match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(parts)) => parts.iter().filter_map(|part| part.get("text")?.as_str()).collect(),
        _ => String::new(),
    }
}

fn hash_blocks(text: &[u8]) -> Vec<u64> {
    let blocks = text.chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    let chain = blocks.scan(0, |before, block| {
        *before = xxh3_64_with_seed(block, *before);
        Some(*before)
    });
    chain.collect()
}

/// Lengths of responses: log-normal, and the same at every engine for the same seed and request id.
#[derive(Debug, Clone, Copy)]
pub struct ResponseLengths {
    seed: u64,
}

impl ResponseLengths {
    /// Lengths drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// Length of the response to request `id` in tokens; at least one unless the bound is zero.
    pub fn draw(&self, id: &str, max_tokens: Option<usize>) -> usize {
        let mut rng = StdRng::seed_from_u64(xxh3_64_with_seed(id.as_bytes(), self.seed));
        let length = (MEDIAN_TOKENS * (LOG_LENGTH_STD_DEV * standard_normal(&mut rng)).exp()).round();
        // The cast is safe: an exponential is not negative, and `clamp` bounds it.
        let length = length.clamp(1.0, MAX_TOKENS as f64) as usize;
        length.min(max_tokens.unwrap_or(MAX_TOKENS))
    }
}

/// The Box-Muller transform of two uniform draws.
fn standard_normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
