//! A request whose outcome an entry does not know yet.

use crate::prelude::*;
use std::sync::Arc;

/// What is known of an attempt that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SentState {
    /// It has no response yet, or its response was lost.
    MayHaveRun,
    /// The endpoint ran it and failed.
    Failed,
}

/// An attempt that was sent and that its endpoint has not refused.
#[derive(Clone, Debug)]
struct SentAttempt {
    instance: String,
    at: Millis,
    state: SentState,
    ended: bool,
}

/// A request whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) workspace: Arc<str>,
    /// Whether a window that was written contains it.
    pub(super) counted: bool,
    attempts: Vec<SentAttempt>,
}

impl OpenRequest {
    pub(super) fn new(workspace: Arc<str>) -> Self {
        Self {
            workspace,
            counted: false,
            attempts: Vec::new(),
        }
    }

    pub(super) fn record_sent(&mut self, instance: &str, at: Millis) {
        // A message is built again if the connection it was built for had been closed.
        if let Some(attempt) = self.running(instance) {
            attempt.at = at;
            return;
        }
        self.attempts.push(SentAttempt {
            instance: instance.to_owned(),
            at,
            state: SentState::MayHaveRun,
            ended: false,
        });
    }

    pub(super) fn record_not_run(&mut self, instance: &str) {
        self.attempts
            .retain(|attempt| attempt.ended || attempt.instance != instance);
    }

    pub(super) fn record_lost(&mut self, instance: &str) {
        if let Some(attempt) = self.running(instance) {
            attempt.ended = true;
        }
    }

    pub(super) fn record_failed(&mut self, instance: &str) {
        if let Some(attempt) = self.running(instance) {
            attempt.ended = true;
            attempt.state = SentState::Failed;
        }
    }

    /// Returns when the attempt that is in progress at an endpoint was sent.
    pub(super) fn sent_at(&self, instance: &str) -> Option<Millis> {
        let mut attempts = self.attempts.iter();
        let running = attempts.find(|attempt| !attempt.ended && attempt.instance == instance);
        running.map(|attempt| attempt.at)
    }

    /// Returns when the request began to run as far as known, unless a later answer says otherwise:
    /// at the last endpoint that failed, otherwise at the first one that may have run it. `None` if
    /// it has run nowhere.
    pub(super) fn began_at(&self) -> Option<Millis> {
        let mut failed = self.attempts.iter();
        let failed = failed.rfind(|attempt| attempt.state == SentState::Failed);
        failed.or(self.attempts.first()).map(|attempt| attempt.at)
    }

    fn running(&mut self, instance: &str) -> Option<&mut SentAttempt> {
        let mut attempts = self.attempts.iter_mut();
        attempts.find(|attempt| !attempt.ended && attempt.instance == instance)
    }
}
