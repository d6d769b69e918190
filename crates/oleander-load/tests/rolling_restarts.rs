//! Graceful restarts of all daemons under traffic cut nothing off.

mod support;

use oleander_load::order_client::{self, Order, OrderEnd, OrderKind, Told};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use strum::VariantArray;
use support::{HANG, cfg, check_trainer, start, start_trainer, trainer_cfg};

/// Orders that are in flight at once.
const CALLERS: u64 = 8;

/// Sends orders one after another until told to stop.
async fn call(entries: Vec<SocketAddr>, caller: u64, stop: Arc<AtomicBool>) -> Vec<OrderEnd> {
    let mut ends = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let number = caller * 1_000_000 + ends.len() as u64;
        let kind = OrderKind::VARIANTS[ends.len() % OrderKind::VARIANTS.len()];
        let order = Order {
            number,
            kind,
            tokens: 60,
        };
        let first = ends.len() % entries.len();
        ends.push(order_client::send(&entries, first, Instant::now(), order).await);
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    ends
}

#[test]
fn rolling_restarts_of_all_entries_and_agents_cut_nothing_off() {
    smol::block_on(async {
        let mut deployment = start(cfg(3, 3)).await;
        let entries = deployment.entry_addresses();
        let trainer_cfg = trainer_cfg(&entries);
        let trainer = start_trainer(trainer_cfg.clone());
        let stop = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| smol::spawn(call(entries.clone(), caller, stop.clone())))
            .collect();
        for entry in 0..deployment.entries.len() {
            deployment.entries[entry].stop().await.expect("stopped");
            deployment.entries[entry].start().expect("started");
            deployment
                .wait_ready(Instant::now() + HANG)
                .await
                .expect("ready");
        }
        for endpoint in 0..deployment.endpoints.len() {
            deployment.endpoints[endpoint]
                .agent
                .stop()
                .await
                .expect("stopped");
            deployment.endpoints[endpoint]
                .agent
                .start()
                .expect("started");
            deployment
                .wait_ready(Instant::now() + HANG)
                .await
                .expect("ready");
        }
        stop.store(true, Ordering::Release);
        let mut failures = Vec::new();
        let mut sent = 0;
        for caller in callers {
            let ends = caller.await;
            sent += ends.len();
            let failed = |end: &OrderEnd| end.told != Told::Whole || end.broken > 0;
            failures.extend(ends.into_iter().filter(failed));
        }
        assert!(sent > 100, "orders sent: {sent}");
        assert_eq!(failures, Vec::new(), "of {sent} orders");
        check_trainer(&trainer, &trainer_cfg).await;
    });
}
