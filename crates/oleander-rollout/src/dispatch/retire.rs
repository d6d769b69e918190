//! Retirement of machines.
//!
//! Dispatchers keep no durable data on their machine, so a machine is empty as soon as its
//! dispatcher does not lead. A leader goes on leading until another dispatcher can.

use super::dispatcher::Dispatcher;
use crate::prelude::*;
use crate::store::store_error::StoreError;
use oleander_platform::object::RETIREMENT_KIND;
use oleander_platform::retirement;

/// Reports that the machine of this leader can't be emptied yet, because no other dispatcher could
/// lead; once for each retirement.
pub async fn report_running(dispatcher: &Dispatcher) {
    let node = &dispatcher.cfg.node;
    if dispatcher.state.borrow().retirement_reported {
        return;
    }
    let written = put_status(dispatcher, node, &retirement::running_status()).await;
    event(log::Level::Warn, "no-successor", || {
        format!("node={node} result={written:?} reason=\"no other dispatcher answers\"")
    });
    dispatcher.state.borrow_mut().retirement_reported = written.is_ok();
}

/// Reports every machine that is to be retired, except that of this leader, as empty.
pub async fn run(dispatcher: &Dispatcher) {
    let retiring = dispatcher.view.get().retiring.clone();
    for node in retiring.iter().filter(|node| **node != dispatcher.cfg.node) {
        let written = put_status(dispatcher, node, &retirement::done_status()).await;
        event(log::Level::Info, "machine-emptied", || {
            format!("node={node} result={written:?}")
        });
        if written.is_ok() {
            dispatcher.view.update(|view| {
                view.retiring.shift_remove(node);
            });
        }
    }
}

async fn put_status(
    dispatcher: &Dispatcher,
    node: &str,
    status: &serde_json::Value,
) -> Result<(), StoreError> {
    let store = &dispatcher.store;
    store.put_status(RETIREMENT_KIND, node, status).await
}
