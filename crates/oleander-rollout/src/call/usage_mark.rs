//! Counts one request of a workspace.

use crate::prelude::*;
use oleanderlock::duties::usage_counts::UsageCounts;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// Counts one request of a workspace, once an endpoint has begun to run it. Without an answer, it
/// counts when this is dropped, such as when the client has closed its connection.
#[derive(Debug)]
pub struct UsageMark {
    counts: Rc<RefCell<UsageCounts>>,
    id: u64,
}

impl UsageMark {
    /// Returns the mark of a request that was sent nowhere yet.
    pub fn new(counts: &Rc<RefCell<UsageCounts>>, workspace: &Arc<str>) -> Rc<Self> {
        Rc::new(Self {
            counts: Rc::clone(counts),
            id: counts.borrow_mut().begin(Arc::clone(workspace)),
        })
    }

    /// Records that the request is about to be sent to an endpoint.
    pub fn record_sent(&self, instance: &str) {
        let mut counts = self.counts.borrow_mut();
        counts.record_sent(self.id, instance, now());
    }

    /// Records that an endpoint has not run the request.
    pub fn record_not_run(&self, instance: &str) {
        self.counts.borrow_mut().record_not_run(self.id, instance);
    }

    /// Records that the response of an endpoint was lost.
    pub fn record_lost(&self, instance: &str) {
        self.counts.borrow_mut().record_lost(self.id, instance);
    }

    /// Records that an endpoint ran the request and failed.
    pub fn record_failed(&self, instance: &str) {
        self.counts.borrow_mut().record_failed(self.id, instance);
    }

    /// Records that an endpoint has answered the request.
    pub fn record_answer(&self, instance: &str) {
        self.counts.borrow_mut().record_answer(self.id, instance);
    }

    /// Records that the first event of the stream that the request asks for has arrived.
    pub fn record_first_event(&self) {
        self.counts.borrow_mut().record_first_event(self.id, now());
    }
}

impl Drop for UsageMark {
    fn drop(&mut self) {
        self.counts.borrow_mut().finish(self.id);
    }
}
