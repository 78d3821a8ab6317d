//! Orders to engines: given once, numbered by the manifest, never by a process that doesn't own the engine.

use std::time::Duration;

use celerytide_faults::{Harness, HarnessOptions, wait_until};
use celerytide_manifest::{Order, OrderKind};
use celerytide_standin::probe;
use monoio::time::sleep;
use serde_json::Value;

/// Time in which an order must have been given; unfenced engines wait five seconds longer.
const GIVEN: Duration = Duration::from_secs(16);
/// Time in which a repeated order would show.
const REPEAT: Duration = Duration::from_secs(2);

struct OrderCase {
    name: &'static str,
    fenced: bool,
}

fn accepted(harness: &Harness, engine: usize) -> Vec<Value> {
    let addr = harness.fleet.engines[engine].process.addr();
    probe::get_json(addr, "/orders").unwrap_or_default()
}

fn load(harness: &Harness, engine: usize, name: &str) -> Order {
    let endpoint = harness.fleet.engines[engine].info.id.clone();
    Order {
        endpoint,
        kind: OrderKind::LoadAdapter,
        name: name.to_owned(),
    }
}

#[test]
fn an_order_is_given_once_and_again_only_when_it_changes() {
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
            let first = load(&harness, 0, "adapter-a");
            harness.fleet.publish(|m| m.orders = vec![first]).expect("publish");
            let given = wait_until(GIVEN, || accepted(&harness, 0).len() == 1).await;
            assert!(given, "{}: {:?}", case.name, accepted(&harness, 0));
            let number = accepted(&harness, 0)[0]["number"].as_u64();
            assert_eq!(number, Some(harness.fleet.manifest.version), "{}", case.name);
            sleep(REPEAT).await;
            assert_eq!(accepted(&harness, 0).len(), 1, "{}: repeated", case.name);
            harness.fleet.publish(|_| {}).expect("publish");
            sleep(REPEAT).await;
            assert_eq!(
                accepted(&harness, 0).len(),
                1,
                "{}: repeated by a manifest that orders the same",
                case.name
            );
            let second = load(&harness, 0, "adapter-b");
            harness.fleet.publish(|m| m.orders = vec![second]).expect("publish");
            let given = wait_until(GIVEN, || accepted(&harness, 0).len() == 2).await;
            assert!(given, "{}: {:?}", case.name, accepted(&harness, 0));
            let last = &accepted(&harness, 0)[1];
            assert_eq!(
                last["number"].as_u64(),
                Some(harness.fleet.manifest.version),
                "{}",
                case.name
            );
            assert_eq!(
                accepted(&harness, 1),
                Vec::<Value>::new(),
                "{}: another engine was ordered",
                case.name
            );
        });
    }
}
