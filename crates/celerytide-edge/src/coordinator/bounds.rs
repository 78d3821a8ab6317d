//! Bounds on numbers that come from headers of callers: no caller may have others refused, or fill a datagram, by what it
//! states about its prompt.

use celerytide_catalog::Service;

use super::messages::{Block, PlaceRequest};

/// Longest prompt that is counted in full if the memory of the engines isn't known, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 1_000_000;
/// Blocks of a prompt that are told and remembered; a prompt with more still fits into a datagram.
const MAX_BLOCKS: usize = 64;

/// Most tokens that one request counts with: an engine can't hold more.
pub fn max_tokens(service: &Service) -> u32 {
    let capacity = service
        .engine_tokens
        .map(|tokens| tokens.try_into().unwrap_or(u32::MAX));
    capacity.unwrap_or(DEFAULT_MAX_TOKENS)
}

/// The leading blocks that an engine can hold, at most [`MAX_BLOCKS`].
pub fn leading_blocks(blocks: &[Block], service: &Service) -> Vec<Block> {
    let mut left = max_tokens(service);
    let fits = |block: &&Block| {
        let rest = left.checked_sub(block.tokens);
        left = rest.unwrap_or_default();
        rest.is_some()
    };
    blocks.iter().take(MAX_BLOCKS).take_while(fits).copied().collect()
}

/// A request with numbers within the bounds.
pub fn bounded(request: &PlaceRequest, service: &Service) -> PlaceRequest {
    let mut request = request.clone();
    let demand = &mut request.demand;
    demand.blocks = leading_blocks(&demand.blocks, service);
    demand.tokens = demand.tokens.min(max_tokens(service));
    demand.max_output_tokens = demand.max_output_tokens.min(max_tokens(service));
    request
}
