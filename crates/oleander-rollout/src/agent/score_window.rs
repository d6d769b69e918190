//! Bound on the concurrent scoring calls of an agent.

use crate::prelude::*;
use event_listener::Event;
use oleanderlock::routing::call_window::CallWindow;
use std::cell::RefCell;

/// Bound on the concurrent scoring calls of an agent.
#[derive(Debug, Default)]
pub struct ScoreWindow {
    window: RefCell<CallWindow>,
    freed: Event,
}

/// A scoring call that counts as running until it is dropped.
#[derive(Debug)]
pub struct RunningScore<'a> {
    owner: &'a ScoreWindow,
}

impl ScoreWindow {
    /// Waits until a further call may start.
    pub async fn start(&self) -> RunningScore<'_> {
        loop {
            let listener = self.freed.listen();
            if self.window.borrow_mut().start() {
                return RunningScore { owner: self };
            }
            listener.await;
        }
    }

    /// Records a response that took `took`, to a call with this latency objective.
    pub fn record_response(&self, took: Millis, objective: Millis) {
        let mut window = self.window.borrow_mut();
        window.record_response(now(), took, objective);
    }

    /// Records that a call was refused or not answered.
    pub fn record_refusal(&self) {
        self.window.borrow_mut().record_refusal(now());
    }
}

impl Drop for RunningScore<'_> {
    fn drop(&mut self) {
        self.owner.window.borrow_mut().end();
        self.owner.freed.notify(1);
    }
}
