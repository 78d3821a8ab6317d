//! The settings of an engine.

use std::{net::SocketAddr, time::Duration};

use argh::FromArgs;
use celerytide_types::{EndpointId, Millis};

use super::StepCost;

/// A model engine with continuous batching.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "engine")]
pub struct Options {
    /// address to listen on; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// name of the endpoint
    #[argh(option)]
    pub id: EndpointId,
    /// name of the model that it serves
    #[argh(option, default = "String::from(\"stand-in\")")]
    pub model: String,
    /// requests in one batch
    #[argh(option, default = "8")]
    pub slots: usize,
    /// requests that it bears at once while cold
    #[argh(option, default = "2")]
    pub cold_slots: usize,
    /// length of a cold start
    #[argh(option, default = "0.0")]
    pub cold_seconds: f64,
    /// time to read one token of a prompt
    #[argh(option, default = "20.0")]
    pub prefill_us_per_token: f64,
    /// time of one decode step of a batch of one
    #[argh(option, default = "10.0")]
    pub decode_ms: f64,
    /// part of a decode step that each further request in the batch adds
    #[argh(option, default = "0.02")]
    pub batch_slowdown: f64,
    /// tokens of prompts that the prefix cache holds
    #[argh(option, default = "65536")]
    pub cache_tokens: usize,
    /// refuse orders with an old number
    #[argh(switch)]
    pub fenced: bool,
    /// age of load reports and cache events
    #[argh(option, default = "0")]
    pub report_lag_ms: Millis,
    /// seed of answer lengths and of lost cache events
    #[argh(option, default = "1")]
    pub seed: u64,
}

impl Options {
    /// Time per prompt token and decode step; negative options count as zero.
    pub fn step_cost(&self) -> StepCost {
        StepCost {
            prefill_us_per_token: self.prefill_us_per_token.max(0.0),
            decode_ms: self.decode_ms.max(0.0),
            batch_slowdown: self.batch_slowdown.max(0.0),
        }
    }

    /// Length of a cold start; zero if the option is not a valid duration.
    pub fn cold_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.cold_seconds).unwrap_or_default()
    }
}
