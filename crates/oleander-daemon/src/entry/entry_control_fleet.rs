//! Handlers for other processes: reports, configuration gossip, the instance list and links.

use crate::entry::agent_table_action::AgentTableAction;
use crate::entry::entry_control::EntryControl;
use crate::prelude::*;
use crate::store::listed_instance::ListedInstance;
use crate::store::role::Role;
use oleanderlock::load_order::LoadOrder;

impl EntryControl {
    pub(crate) fn on_frame(&mut self, now: Millis, frame: wire::Frame) {
        let incarnation = Incarnation(frame.incarnation);
        let from = frame.from;
        match frame.body {
            Some(Body::Report(report)) => self.on_report(now, &from, incarnation, &report),
            Some(Body::Hello(hello)) => {
                let digest = hello.config.unwrap_or_default();
                self.entries.record_digest(&from, digest.digest);
                self.compare_digests(now, &from, &digest);
            }
            Some(Body::JournalDigest(digest)) => self.compare_digests(now, &from, &digest),
            Some(Body::JournalFetch(fetch)) => {
                let entries = self.config.on_fetch(&fetch);
                self.send(&from, entries);
            }
            Some(Body::JournalEntries(entries)) => {
                let outcome = self.config.on_entries(now, &from, entries);
                if let Some(next) = outcome.fetch {
                    self.send(&next.peer, Body::JournalFetch(next.fetch.into()));
                }
                self.on_config_changed(outcome.changed);
            }
            // The next report of the agent has the result of the order.
            Some(Body::WeightStatus(_)) => {}
            _ => self.cx.metrics.count_event("frame-unexpected"),
        }
    }

    fn on_report(
        &mut self,
        now: Millis,
        link: &str,
        incarnation: Incarnation,
        report: &wire::Report,
    ) {
        let actions = self.agents.apply_report(now, link, incarnation, report);
        self.apply_actions(actions);
        self.weights.on_report(now, link, report);
        self.compare_digests(now, link, &report.config.unwrap_or_default());
        self.answer_held(now);
        self.answer_locating(now);
    }

    fn compare_digests(&mut self, now: Millis, link: &str, digest: &wire::JournalDigest) {
        if let Some(reply) = self.config.on_digest(now, link, digest) {
            self.send(link, reply);
        }
    }

    /// Saves a changed configuration, makes the next tick send it to all peers, and starts the
    /// rollouts of the versions that it publishes.
    ///
    /// Peers compare the digests in hello messages, so a hello makes them fetch the change.
    pub(crate) fn on_config_changed(&mut self, changed: bool) {
        if !changed {
            return;
        }
        let digest = self.config.digest().digest;
        log::info!("event=config digest={digest:016x}");
        self.hello_due = Millis::ZERO;
        self.snapshot.save(self.config.objects());
        for (model, published) in self.config.published_versions() {
            self.weights
                .publish(model, published.version, published.fence);
        }
    }

    pub(crate) fn on_instance_list(&mut self, now: Millis, instances: Vec<ListedInstance>) {
        let own = &self.cx.cfg.node.link;
        let (entries, agents): (Vec<_>, Vec<_>) = instances
            .into_iter()
            .filter(|instance| instance.link != *own)
            .partition(|instance| instance.role == Role::Entry);
        for link in self.entries.apply_listing(&entries) {
            self.cx.peers.remove(&link);
        }
        for link in self.entries.gossip_links() {
            let _ = self.cx.peers.dial(link);
        }
        self.cx.store.share_among(self.entries.names().count());
        let actions = self.agents.apply_listing(now, agents, self.entries.names());
        self.apply_actions(actions);
        self.update_roles();
    }

    /// Sets whether this entry watches the store, and the failure domains for which it plans
    /// rollouts; both follow from the live entries.
    fn update_roles(&mut self) {
        self.cx.watch.set(self.entries.is_watcher());
        let is_small_fleet = self.agents.is_small_fleet();
        let domains = self
            .entries
            .planned_domains(self.agents.domains(), is_small_fleet);
        self.agents.set_planned_domains(domains.clone());
        self.weights.set_domains(domains);
    }

    pub(crate) fn on_peer_change(&mut self, now: Millis, change: &PeerChange) {
        if change.connected {
            self.agents.on_link_up(now, &change.peer);
            self.hello_to(&change.peer);
            return;
        }
        self.weights.on_gone(&change.peer);
        self.entries.on_link_down(&change.peer);
        self.update_roles();
        let actions = self.agents.on_link_down(now, &change.peer);
        self.apply_actions(actions);
        self.cx.inflight.on_link_down(&change.peer);
    }

    pub(crate) fn apply_actions(&mut self, actions: Vec<AgentTableAction>) {
        for action in actions {
            match action {
                AgentTableAction::Use(link) => drop(self.cx.peers.dial(&link)),
                AgentTableAction::Forget(link) => {
                    self.weights.on_gone(&link);
                    self.cx.peers.remove(&link);
                }
                AgentTableAction::Probe(link) => self.hello_to(&link),
                AgentTableAction::Ejected { name, reason } => {
                    log::warn!("event=ejected agent={name} reason={reason}");
                    self.cx.metrics.count_event("ejected");
                }
                AgentTableAction::Gone(incarnation) => {
                    log::warn!("event=agent-gone incarnation={incarnation}");
                    self.cx.inflight.on_agent_gone(incarnation);
                }
            }
        }
    }

    /// Sends the load orders that are due in the rollouts that this entry plans.
    pub(crate) fn send_load_orders(&mut self, now: Millis) {
        for order in self.weights.tick(now) {
            let LoadOrder {
                worker,
                model,
                version,
                fence,
            } = order;
            log::info!("event=weight-order worker={worker} model={model} version={version}");
            let order = wire::WeightOrder {
                fence: fence.0,
                model,
                version: version.0,
            };
            let sent = self
                .cx
                .peers
                .send_connected(&worker, Body::WeightOrder(order));
            if sent.is_err() {
                self.cx.metrics.count_event("weight-order-not-sent");
            }
        }
    }

    /// Sends a hello message to all agents in use and to the entries that gossip with this one.
    pub(crate) fn send_hellos(&self) {
        for link in self.agents.links().chain(self.entries.gossip_links()) {
            self.hello_to(link);
        }
    }

    fn hello_to(&self, link: &str) {
        let hello = wire::Hello {
            domain: self.cx.cfg.node.domain.clone(),
            config: Some(self.config.digest()),
        };
        let _ = self.cx.peers.send_connected(link, Body::Hello(hello));
    }

    /// Sends a message of the configuration journal. A message that can't be sent is dropped: the
    /// next comparison of digests sends it again.
    fn send(&self, link: &str, body: Body) {
        let _ = self.cx.peers.send(link, body);
    }
}
