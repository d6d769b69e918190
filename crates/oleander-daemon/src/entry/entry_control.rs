//! The state that the control thread of an entry owns, and the dispatch of events to it.

use crate::contracts::config_state::ConfigState;
use crate::contracts::snapshot_file::SnapshotFile;
use crate::entry::agent_table::AgentTable;
use crate::entry::choose_call::ChooseCall;
use crate::entry::config_summary::ConfigSummary;
use crate::entry::entry_cx::EntryCx;
use crate::entry::entry_event::EntryEvent;
use crate::entry::fleet_summary::FleetSummary;
use crate::entry::locate_call::LocateCall;
use crate::entry::peer_entries::PeerEntries;
use crate::entry::retry_scheduler::RetryScheduler;
use crate::entry::terms::Terms;
use crate::entry::terms_call::TermsCall;
use crate::entry::version_holds::VersionHolds;
use crate::entry::weight_rollouts::WeightRollouts;
use crate::prelude::*;

/// Time between two hello messages to each peer.
pub(crate) const HELLO_INTERVAL: Millis = Millis(1000);
/// Longest time for which a new entry holds requests back until all its agents have reported.
pub(crate) const SETTLE_LIMIT: Millis = Millis(3000);

/// The state of one incarnation of an entry.
///
/// Only the control thread changes it; other threads send it an [`EntryEvent`].
pub struct EntryControl {
    pub(crate) cx: EntryCx,
    pub(crate) agents: AgentTable,
    pub(crate) entries: PeerEntries,
    pub(crate) config: ConfigState,
    pub(crate) snapshot: SnapshotFile,
    /// When the next hello messages are due.
    pub(crate) hello_due: Millis,
    pub(crate) opened_at: Millis,
    /// Requests for an endpoint that found none before the agents had reported.
    pub(crate) held_calls: Vec<ChooseCall>,
    /// Requests for an incarnation whose agent has not reported yet.
    pub(crate) locating: Vec<LocateCall>,
    pub(crate) retries: RetryScheduler,
    pub(crate) weights: WeightRollouts,
    pub(crate) version_holds: VersionHolds,
    /// When the shutdown began; [`Millis::ZERO`] after a second request to stop.
    stopping_since: Option<Millis>,
}

impl EntryControl {
    /// Creates the state of a new incarnation, with the configuration of the snapshot file if
    /// there is one.
    pub fn new(cx: EntryCx, incarnation: Incarnation) -> Self {
        let snapshot = SnapshotFile::new(cx.cfg.data.as_deref(), &cx.cfg.node.store);
        let mut config = ConfigState::new(incarnation);
        config.restore(snapshot.load());
        Self {
            agents: AgentTable::new(&cx.cfg),
            entries: PeerEntries::new(&cx.cfg.node),
            config,
            snapshot,
            hello_due: Millis::ZERO,
            opened_at: now(),
            held_calls: Vec::new(),
            locating: Vec::new(),
            retries: RetryScheduler::new(cx.cfg.policy),
            weights: WeightRollouts::default(),
            version_holds: VersionHolds::default(),
            stopping_since: None,
            cx,
        }
    }

    /// Handles one event, or a tick if there is none; returns false once the process may end.
    pub fn handle(&mut self, event: Option<EntryEvent>) -> bool {
        let now = now();
        match event {
            None => self.tick(now),
            Some(EntryEvent::Frame(frame)) => self.on_frame(now, *frame),
            Some(EntryEvent::FrameRefused(_)) => self.cx.metrics.count_event("frame-refused"),
            Some(EntryEvent::Peer(change)) => self.on_peer_change(now, &change),
            Some(EntryEvent::Choose(call)) => self.choose(now, call),
            Some(EntryEvent::Locate(call)) => self.locate(now, call),
            Some(EntryEvent::Progress(progress)) => self.agents.record_progress(now, progress),
            Some(EntryEvent::Ended(end)) => self.agents.record_end(now, end),
            Some(EntryEvent::Listed(instances)) => self.on_instance_list(now, instances),
            Some(EntryEvent::StoreListing(objects)) => {
                let changed = self.config.on_store_listing(objects);
                self.on_config_changed(changed);
            }
            Some(EntryEvent::StoreChanges(objects)) => {
                let changed = self.config.on_store_changes(objects);
                self.on_config_changed(changed);
            }
            Some(EntryEvent::Terms(call)) => self.answer_terms(call),
            Some(EntryEvent::Describe(reply)) => drop(reply.try_send(self.summary())),
            Some(EntryEvent::Stop) => self.stop(now),
        }
        !self.may_end(now)
    }

    fn answer_terms(&self, call: TermsCall) {
        let contracts = self.config.contracts();
        let terms = match (&call.service, call.class) {
            (Some(service), _) => contracts.of_service(service).map(|contract| Terms {
                class: contract.services[service].class.clone(),
                contract: contract.clone(),
            }),
            (None, class) => class
                .or_else(|| contracts.default_class())
                .and_then(|class| {
                    let contract = contracts.of_class(&class)?.clone();
                    Some(Terms { class, contract })
                }),
        };
        let _ = call.reply.try_send(terms);
    }

    fn tick(&mut self, now: Millis) {
        let actions = self.agents.tick(now);
        self.apply_actions(actions);
        self.answer_held(now);
        self.answer_due(now);
        self.answer_locating(now);
        self.send_load_orders(now);
        if now >= self.hello_due {
            self.hello_due = now.plus(HELLO_INTERVAL);
            self.send_hellos();
        }
    }

    fn stop(&mut self, now: Millis) {
        if self.stopping_since.is_some() {
            self.stopping_since = Some(Millis::ZERO);
            return;
        }
        log::info!("event=stopping in-flight={}", self.cx.metrics.in_flight());
        self.stopping_since = Some(now);
    }

    /// Returns whether a stopping entry may end: once nothing is in flight and the load balancer
    /// has had time to notice that the entry is not ready, or at the drain limit.
    fn may_end(&self, now: Millis) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let limit = self.config.contracts().drain().unwrap_or(self.cx.cfg.drain);
        let waited = now.since(since);
        let is_idle = self.cx.metrics.in_flight() == 0 && waited >= self.cx.cfg.lame_duck;
        is_idle || waited >= limit
    }

    fn summary(&self) -> FleetSummary {
        let objects = self.config.objects().into_iter();
        let config = objects.map(|object| ConfigSummary {
            name: object.name,
            generation: object.generation.0,
        });
        FleetSummary {
            entry: self.cx.cfg.node.name.clone(),
            config_digest: format!("{:016x}", self.config.digest().digest),
            settled: self.is_settled(now()),
            config: config.collect(),
            agents: self.agents.views(),
            entries: self.entries.views(),
        }
    }
}
