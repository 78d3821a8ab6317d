//! Orders to engines: issued once, numbered by the manifest version, and never by a process that doesn't own the engine.

use std::time::Duration;

use celerytide_faults::{Harness, HarnessOptions, wait_until};
use celerytide_manifest::{Order, OrderKind};
use celerytide_standin::probe;
use monoio::time::sleep;
use serde_json::Value;

/// Timeout for issuing an order; orders to unfenced engines are delayed by five seconds.
const ORDER_TIMEOUT: Duration = Duration::from_secs(16);
/// Time within which a repeated order would be seen.
const REPEAT_WINDOW: Duration = Duration::from_secs(2);

struct OrderCase {
    name: &'static str,
    fenced: bool,
}

fn accepted_orders(harness: &Harness, engine: usize) -> Vec<Value> {
    let addr = harness.fleet.engines[engine].process.addr();
    probe::get_json(addr, "/orders").unwrap_or_default()
}

fn load_adapter(harness: &Harness, engine: usize, name: &str) -> Order {
    let endpoint = harness.fleet.engines[engine].info.id.clone();
    Order {
        endpoint,
        kind: OrderKind::LoadAdapter,
        name: name.to_owned(),
    }
}

#[test]
fn an_order_is_issued_once_and_again_only_when_it_changes() {
    let cases = [
        OrderCase {
            name: "fenced",
            fenced: true,
        },
        OrderCase {
            name: "unfenced",
            fenced: false,
        },
    ];
    for case in cases {
        let started = Harness::start_with(&HarnessOptions::default(), |plan| plan.engines.fenced = case.fenced);
        let mut harness = started.expect(case.name);
        Harness::block_on(async {
            let first = load_adapter(&harness, 0, "adapter-a");
            harness.fleet.publish(|m| m.orders = vec![first]).expect("publish");
            let is_issued = wait_until(ORDER_TIMEOUT, || accepted_orders(&harness, 0).len() == 1).await;
            assert!(is_issued, "{}: {:?}", case.name, accepted_orders(&harness, 0));
            let number = accepted_orders(&harness, 0)[0]["number"].as_u64();
            assert_eq!(number, Some(harness.fleet.manifest.version), "{}", case.name);
            sleep(REPEAT_WINDOW).await;
            assert_eq!(accepted_orders(&harness, 0).len(), 1, "{}: repeated", case.name);
            harness.fleet.publish(|_| {}).expect("publish");
            sleep(REPEAT_WINDOW).await;
            assert_eq!(
                accepted_orders(&harness, 0).len(),
                1,
                "{}: repeated by a manifest that orders the same",
                case.name
            );
            let second = load_adapter(&harness, 0, "adapter-b");
            harness.fleet.publish(|m| m.orders = vec![second]).expect("publish");
            let is_issued = wait_until(ORDER_TIMEOUT, || accepted_orders(&harness, 0).len() == 2).await;
            assert!(is_issued, "{}: {:?}", case.name, accepted_orders(&harness, 0));
            let last = &accepted_orders(&harness, 0)[1];
            assert_eq!(
                last["number"].as_u64(),
                Some(harness.fleet.manifest.version),
                "{}",
                case.name
            );
            assert_eq!(
                accepted_orders(&harness, 1),
                Vec::<Value>::new(),
                "{}: another engine was ordered",
                case.name
            );
        });
    }
}
