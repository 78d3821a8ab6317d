//! The deployment for comparisons: one instance, and endpoints that are never the bound.

use crate::fleet::Deployment;

const ENGINES: usize = 4;
const ENGINE_SLOTS: u32 = 128;
const PLAIN_SERVICES: usize = 2;
const PLAIN_SLOTS: u32 = 512;
/// More than any measurement sends.
const UNLIMITED_PER_SECOND: f64 = 1e6;
const UNLIMITED_BURST: u32 = 1_000_000;

/// One instance before quick endpoints without cold starts.
pub(super) fn deployment(decode_ms: f64) -> Result<Deployment, serde_saphyr::Error> {
    let mut plan = Deployment::demo(1)?;
    plan.name = "compare".to_owned();
    plan.engines.count = ENGINES;
    plan.engines.slots = ENGINE_SLOTS;
    plan.engines.cold_slots = ENGINE_SLOTS;
    plan.engines.cold_seconds = 0.0;
    plan.engines.decode_ms = decode_ms;
    plan.engines.batch_slowdown = 0.0;
    plan.engines.prefill_us_per_token = 0.0;
    plan.plain.count = PLAIN_SERVICES;
    plan.plain.slots = PLAIN_SLOTS;
    for customer in &mut plan.customers {
        customer.requests_per_second = UNLIMITED_PER_SECOND;
        customer.burst = UNLIMITED_BURST;
    }
    Ok(plan)
}
