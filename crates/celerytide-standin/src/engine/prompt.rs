//! What a request asks for: its prompt in blocks, and the length of its answer.

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cache::BLOCK_TOKENS;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Median length of an answer, in tokens.
const MEDIAN_TOKENS: f64 = 120.0;
/// Spread of the logarithm of the length.
const LENGTH_SPREAD: f64 = 0.8;
/// Longest answer of a request that names no bound.
const MAX_TOKENS: usize = 4096;

/// A request's body, as far as an engine looks at it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model that was asked for.
    pub model: String,
    /// Tokens of all messages.
    pub tokens: usize,
    /// Hash of each whole block together with all blocks before it.
    pub blocks: Vec<u64>,
    /// Bound on the answer.
    pub max_tokens: Option<usize>,
    /// Tokens that were sent before, on another connection.
    pub resume_from: usize,
    /// Whether the answer comes token by token.
    pub stream: bool,
}

impl Prompt {
    /// Reads a body of `/v1/chat/completions` or `/v1/completions`; `None` if it is not JSON with a prompt.
    pub fn read(body: &[u8]) -> Option<Self> {
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

/// A message's content is a text or a list of parts.
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

/// Lengths of answers: log-normal, the same for the same seed and request id at every engine.
#[derive(Debug, Clone, Copy)]
pub struct ResponseLengths {
    seed: u64,
}

impl ResponseLengths {
    /// Lengths that follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// Length of the answer to the request `id`, in tokens, at least one unless the bound is zero.
    pub fn draw(&self, id: &str, max_tokens: Option<usize>) -> usize {
        let mut rng = StdRng::seed_from_u64(xxh3_64_with_seed(id.as_bytes(), self.seed));
        let length = (MEDIAN_TOKENS * (LENGTH_SPREAD * standard_normal(&mut rng)).exp()).round();
        // Negative and endless values do not come out of an exponential that is then bounded.
        let length = length.clamp(1.0, MAX_TOKENS as f64) as usize;
        length.min(max_tokens.unwrap_or(MAX_TOKENS))
    }
}

/// The Box-Muller transform of two uniform draws.
fn standard_normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
