//! Store machines that are to be emptied.
//!
//! No machine holds anything that lasts, so a machine is empty as soon as it does not lead.

use super::dispatcher::Dispatcher;
use crate::prelude::*;
use oleander_platform::object::RETIREMENT_KIND;
use oleander_platform::retirement;

/// Says of each machine that is to be emptied, but for this one, that it is.
pub async fn run(dispatcher: &Dispatcher) {
    let retiring = dispatcher.view.get().retiring.clone();
    for node in retiring.iter().filter(|node| **node != dispatcher.cfg.node) {
        let status = retirement::done();
        let written = dispatcher
            .store
            .put_status(RETIREMENT_KIND, node, &status)
            .await;
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
