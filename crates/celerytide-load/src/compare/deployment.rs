//! Deployment for comparisons: one instance, and endpoints that are never the bottleneck.

use crate::fleet::Deployment;

const ENGINE_COUNT: usize = 4;
const ENGINE_SLOTS: u32 = 128;
const PLAIN_COUNT: usize = 2;
const PLAIN_SLOTS: u32 = 512;
/// Rate limit beyond what any measurement sends.
const UNLIMITED_PER_SECOND: f64 = 1e6;
const UNLIMITED_BURST: u32 = 1_000_000;

/// Builds a deployment with one instance and fast endpoints without cold starts.
pub(super) fn build(decode_ms: f64) -> Result<Deployment, serde_saphyr::Error> {
    let mut deployment = Deployment::demo(1)?;
    deployment.name = "compare".to_owned();
    deployment.engines.count = ENGINE_COUNT;
    deployment.engines.slots = ENGINE_SLOTS;
    deployment.engines.cold_slots = ENGINE_SLOTS;
    deployment.engines.cold_seconds = 0.0;
    deployment.engines.decode_ms = decode_ms;
    deployment.engines.batch_slowdown = 0.0;
    deployment.engines.prefill_us_per_token = 0.0;
    deployment.plain.count = PLAIN_COUNT;
    deployment.plain.slots = PLAIN_SLOTS;
    for customer in &mut deployment.customers {
        customer.requests_per_second = UNLIMITED_PER_SECOND;
        customer.burst = UNLIMITED_BURST;
    }
    Ok(deployment)
}
