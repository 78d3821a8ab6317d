//! Tests of defaults in settings, and of key hashes.

use std::time::Duration;

use celerytide_manifest::{
    EntryTimeouts, HttpLimits, LogSettings, PolicyName, check_dispatch_settings, check_entry_settings, hash_key,
};

const ENTRY: &str = "\
instance: entry-1
zone: lima-a
region: lima-region
caller_address: 127.0.0.1:8080
operator_address: 127.0.0.1:9080
peer_address: 127.0.0.1:7080
platform:
  config_service: [127.0.0.1:8500]
";

#[test]
fn absent_fields_get_their_defaults() {
    let cfg = check_entry_settings("entry.yaml", ENTRY).expect("valid settings");
    assert_eq!(cfg.limits, HttpLimits::default());
    assert_eq!(cfg.timeouts, EntryTimeouts::default());
    assert_eq!(cfg.log, LogSettings::default());
    assert_eq!(cfg.platform.watch_wait, Duration::from_secs(20));
    assert!(cfg.platform.peers.is_empty());
}

#[test]
fn the_policy_is_a_baseline_only_if_set() {
    let text = ENTRY.replace("caller_address: 127.0.0.1:8080\n", "");
    let cfg = check_dispatch_settings("dispatch.yaml", &text).expect("valid settings");
    assert_eq!(cfg.policy, PolicyName::Celerytide);
    let text = format!("{text}policy: first-come\n");
    let cfg = check_dispatch_settings("dispatch.yaml", &text).expect("valid settings");
    assert_eq!(cfg.policy, PolicyName::FirstCome);
}

#[test]
fn keys_are_hashed_with_sha256() {
    let want = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
    assert_eq!(hash_key("key"), want);
}
