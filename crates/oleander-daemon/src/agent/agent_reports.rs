//! Reports of an agent to the entries, and the configuration that it fetches from them.

use crate::agent::agent_control::AgentControl;
use crate::entry::attempt::{Attempt, Waiter};
use crate::prelude::*;

/// Time without a heartbeat after which an entry gets no more reports.
const ENTRY_TIMEOUT: Millis = Millis::from_secs(10);

impl AgentControl {
    /// Answers the heartbeat of an entry with a report, so that each side knows that the other is up.
    pub(crate) fn on_hello(&mut self, now: Millis, from: String, hello: &wire::Hello) {
        self.compare_digest(now, &from, &hello.config.unwrap_or_default());
        self.report_to(now, &from);
        self.entries.insert(from, now);
    }

    /// Answers the configuration digest of an entry, with a fetch or with the digest of this agent.
    pub(crate) fn compare_digest(&mut self, now: Millis, from: &str, digest: &wire::JournalDigest) {
        if let Some(reply) = self.config.on_digest(now, from, digest) {
            self.cx.send(from, reply);
        }
    }

    /// Puts fetched configuration in force and fetches the next part, if there is more.
    pub(crate) fn merge_config(&mut self, now: Millis, from: &str, entries: wire::JournalEntries) {
        let outcome = self.config.on_entries(now, from, entries);
        if let Some(next) = outcome.fetch {
            self.cx
                .send(&next.peer, Body::JournalFetch(next.fetch.into()));
        }
        if !outcome.changed {
            return;
        }
        self.admission
            .set_classes(&self.config.contracts().grants());
        let digest = self.config.digest().digest;
        log::info!("event=config digest={digest:016x}");
        self.report_to_all(now);
    }

    /// Removes silent entries, and cancels idempotent attempts for which no other entry waits.
    pub(crate) fn drop_silent_entries(&mut self, now: Millis) {
        let silent = self.entries.extract_if(.., |_, last_heartbeat| {
            now.since(*last_heartbeat) >= ENTRY_TIMEOUT
        });
        for (entry, _) in silent {
            self.cx.close_link(&entry);
        }
        let entries = &self.entries;
        let has_no_waiter = |attempt: &&Attempt| {
            let is_known = |waiter: &Waiter| entries.contains_key(&waiter.entry);
            attempt.submission.idempotent && !attempt.waiters.iter().any(is_known)
        };
        let without_waiter = self.attempts.values().filter(has_no_waiter);
        let tickets: Vec<Ticket> = without_waiter.map(Attempt::ticket).collect();
        for ticket in tickets {
            self.cancel_attempt(now, ticket);
        }
    }

    pub(crate) fn report_to_all(&mut self, now: Millis) {
        self.report_pending = false;
        for entry in self.entries.keys() {
            self.report_to(now, entry);
        }
    }

    pub(crate) fn report_to(&self, now: Millis, entry: &str) {
        let version = self.probe.and_then(|probe| probe.version);
        let report = wire::Report {
            state: self.state().into(),
            load: Some(self.load(now)),
            domain: self.cx.cfg.node.domain.clone(),
            targets: self.cx.cfg.targets.clone(),
            version: version.unwrap_or_default().0,
            version_unknown: self.cx.is_engine() && version.is_none(),
            config: Some(self.config.digest()),
            clock_ms: now.0,
            loading: self.loading.unwrap_or_default().0,
            name: self.cx.cfg.node.name.clone(),
        };
        self.cx.send(entry, Body::Report(report));
    }

    pub(crate) fn load(&self, now: Millis) -> wire::Load {
        let load = self.admission.load(now);
        wire::Load {
            running: load.running,
            queued: load.queued,
            capacity: load.capacity,
            wait_ms: load.wait.0,
        }
    }

    pub(crate) fn state(&self) -> wire::AgentState {
        if self.leaving_since.is_some() {
            wire::AgentState::Leaving
        } else if self.quarantined {
            wire::AgentState::Quarantined
        } else {
            wire::AgentState::Serving
        }
    }
}
