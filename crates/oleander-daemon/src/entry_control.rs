//! The control state of an entry: what it does on each event.

use crate::agent_table::AgentTable;
use crate::config_state::ConfigState;
use crate::entry_cx::EntryCx;
use crate::entry_event::{
    ChooseCall, ConfigSummary, EntryEvent, EntryView, FleetSummary, NoRoute, RouteEnd, Terms,
    TermsCall,
};
use crate::fresh_holds::FreshHolds;
use crate::instance_list::{ListedInstance, ListedState, Role};
use crate::prelude::*;
use crate::retry_desk::RetryDesk;
use crate::store_client::ObjectList;
use indexmap::IndexMap;
use oleanderlock::choice_request::ChoiceRequest;
use oleanderlock::policy::Policy;
use oleanderlock::retry_budget::RetryDecision;
use oleanderlock::weigh::Weigh;

/// Time between two words to each peer.
const HELLO_EVERY: Millis = Millis(1000);
/// Time to come back when nothing is known of the endpoints.
const NO_ENDPOINT_RETRY: Millis = Millis(500);

/// Longest time for which a new entry holds requests back until it has heard its agents.
const SETTLE_LIMIT: Millis = Millis(3000);

/// The control state of an entry.
pub struct EntryControl {
    cx: EntryCx,
    agents: AgentTable,
    /// Other entries by link address.
    entries: IndexMap<String, EntryView>,
    config: ConfigState,
    hello_due: Millis,
    opened: Millis,
    /// Requests for an endpoint that came before the agents were heard.
    held: Vec<ChooseCall>,
    retries: RetryDesk,
    fresh: FreshHolds,
    stopping_since: Option<Millis>,
}

impl EntryControl {
    /// Creates the state.
    pub fn new(cx: EntryCx) -> Self {
        let agents = AgentTable::new(&cx.cfg);
        let retries = RetryDesk::new(cx.cfg.policy);
        Self {
            cx,
            agents,
            entries: IndexMap::new(),
            config: ConfigState::default(),
            hello_due: Millis::ZERO,
            opened: now(),
            held: Vec::new(),
            retries,
            fresh: FreshHolds::default(),
            stopping_since: None,
        }
    }

    /// Handles one event, or a tick; returns false when the process may end.
    pub fn handle(&mut self, event: Option<EntryEvent>) -> bool {
        let now = now();
        match event {
            None => self.tick(now),
            Some(EntryEvent::Frame(frame)) => self.frame(now, *frame),
            Some(EntryEvent::FrameRefused(_)) => self.cx.metrics.count("frame-refused"),
            Some(EntryEvent::Peer(change)) => self.peer_changed(&change),
            Some(EntryEvent::Choose(call)) => self.choose(now, call),
            Some(EntryEvent::Locate(incarnation, reply)) => {
                let _ = reply.try_send(self.agents.locate(now, incarnation));
            }
            Some(EntryEvent::Progress(progress)) => self.agents.progress(now, progress),
            Some(EntryEvent::Ended(end)) => self.ended(now, end),
            Some(EntryEvent::Listed(instances)) => self.listed(now, instances),
            Some(EntryEvent::Stored(objects)) => self.stored(objects),
            Some(EntryEvent::Terms(call)) => self.terms(call),
            Some(EntryEvent::Describe(reply)) => drop(reply.try_send(self.summary())),
            Some(EntryEvent::Stop) => self.stop(now),
        }
        !self.may_end(now)
    }

    fn frame(&mut self, now: Millis, frame: wire::Frame) {
        let incarnation = Incarnation(frame.incarnation);
        match frame.body {
            Some(Body::Report(report)) => self.reported(now, &frame.from, incarnation, &report),
            Some(Body::Hello(hello)) => self.hello_from_entry(&frame.from, &hello),
            Some(Body::JournalFetch(_)) => self.send_config(&frame.from),
            Some(Body::JournalEntries(entries)) => self.take_config(&entries),
            _ => self.cx.metrics.count("frame-unexpected"),
        }
    }

    fn reported(
        &mut self,
        now: Millis,
        link: &str,
        incarnation: Incarnation,
        report: &wire::Report,
    ) {
        if let Some(gone) = self.agents.reported(now, link, incarnation, report) {
            log::warn!("event=agent-gone incarnation={gone} reason=replaced");
            self.cx.inflight.gone(gone);
        }
        if report.config_digest != self.config.digest() {
            self.send_config(link);
        }
        self.choose_held(now);
    }

    fn hello_from_entry(&mut self, link: &str, hello: &wire::Hello) {
        if let Some(entry) = self.entries.get_mut(link) {
            entry.config_digest = Some(format!("{:016x}", hello.config_digest));
        }
        if hello.config_digest != self.config.digest() {
            self.send_config(link);
        }
    }

    fn send_config(&self, link: &str) {
        let entries = wire::JournalEntries {
            epoch: 0,
            offset: 0,
            snapshot: true,
            entries: self.config.entries().cloned().collect(),
        };
        let _ = self.cx.peers.send(link, Body::JournalEntries(entries));
    }

    fn take_config(&mut self, entries: &wire::JournalEntries) {
        if self.config.take(entries) {
            log::info!("event=config digest={:016x}", self.config.digest());
            // Peers compare digests, so a word to each spreads the change at once.
            self.hello_due = Millis::ZERO;
        }
    }

    fn stored(&mut self, objects: ObjectList) {
        let entries = objects.objects.into_iter().filter_map(|object| {
            Some(wire::JournalEntry {
                name: object.name,
                generation: object.version,
                value: object.value?.into(),
                offset: 0,
            })
        });
        let entries = wire::JournalEntries {
            epoch: 0,
            offset: objects.revision,
            snapshot: false,
            entries: entries.collect(),
        };
        self.take_config(&entries);
    }

    fn listed(&mut self, now: Millis, instances: Vec<ListedInstance>) {
        let own = &self.cx.cfg.node.link;
        let (entries, agents): (Vec<_>, Vec<_>) = instances
            .into_iter()
            .filter(|instance| instance.link != *own)
            .partition(|instance| instance.role == Role::Entry);
        self.listed_entries(&entries);
        for dropped in self.agents.listed(now, &agents) {
            self.cx.peers.forget(&dropped.link);
            if let Some(incarnation) = dropped.incarnation {
                self.cx.inflight.gone(incarnation);
            }
        }
        for link in self.agents.links() {
            let _ = self.cx.peers.dial(link);
        }
    }

    fn listed_entries(&mut self, listed: &[ListedInstance]) {
        let live = |link: &String| {
            listed
                .iter()
                .any(|one| one.link == *link && one.state == ListedState::Live)
        };
        let gone: Vec<String> = self
            .entries
            .keys()
            .filter(|link| !live(link))
            .cloned()
            .collect();
        for link in gone {
            self.entries.swap_remove(&link);
            self.cx.peers.forget(&link);
        }
        for instance in listed
            .iter()
            .filter(|instance| instance.state == ListedState::Live)
        {
            let view = EntryView {
                name: instance.name.clone(),
                config_digest: None,
            };
            self.entries.entry(instance.link.clone()).or_insert(view);
            let _ = self.cx.peers.dial(&instance.link);
        }
    }

    fn peer_changed(&mut self, change: &PeerChange) {
        if change.connected {
            self.hello_due = Millis::ZERO;
            return;
        }
        self.agents.disconnected(&change.peer);
        self.cx.inflight.disconnected(&change.peer);
    }

    /// Decides on a retry, if it is one, and answers the request for an endpoint.
    fn choose(&mut self, now: Millis, call: ChooseCall) {
        match self.decide(now, &call) {
            RetryDecision::Retry(Millis::ZERO) => {
                if let Some(call) = self.hold_for_version(now, call) {
                    self.answer(now, call);
                }
            }
            RetryDecision::Retry(after) => self.retries.hold(now.plus(after), call),
            RetryDecision::GiveUp(refusal) => {
                let _ = call.reply.try_send(Err(NoRoute {
                    kind: refusal.error,
                    retry_after: refusal.retry_after,
                }));
            }
        }
    }

    fn hold_for_version(&mut self, now: Millis, call: ChooseCall) -> Option<ChooseCall> {
        let contract = self.config.contracts().of_class(&call.class);
        let is_product = self.cx.cfg.policy == Policy::Product;
        let Some(contract) = contract.filter(|_| is_product) else {
            return Some(call);
        };
        let newest = self.agents.newest(&call.target);
        self.fresh.hold(now, contract, newest, call)
    }

    fn decide(&mut self, now: Millis, call: &ChooseCall) -> RetryDecision {
        let Some(contract) = self.config.contracts().of_class(&call.class) else {
            return RetryDecision::Retry(Millis::ZERO);
        };
        let has_other = self.agents.has_other(&call.target, &call.excluded);
        self.retries.decide(now, contract, call, has_other)
    }

    /// Answers a request for an endpoint, or holds it back while the agents are not heard yet.
    fn answer(&mut self, now: Millis, call: ChooseCall) {
        let answer = self.route(now, &call);
        if answer.is_err() && !self.is_settled(now) {
            self.held.push(call);
            return;
        }
        if answer.is_err() {
            self.cx.metrics.count("no-route");
        }
        let _ = call.reply.try_send(answer);
    }

    fn choose_held(&mut self, now: Millis) {
        for call in std::mem::take(&mut self.held) {
            self.answer(now, call);
        }
    }

    fn choose_due(&mut self, now: Millis) {
        while let Some(call) = self.retries.due(now) {
            self.answer(now, call);
        }
        for call in self.fresh.due(now, |target| self.agents.newest(target)) {
            self.answer(now, call);
        }
    }

    /// A new entry knows its agents once all that are listed were heard, or after a while.
    fn is_settled(&self, now: Millis) -> bool {
        let warm = now.since(self.opened) >= SETTLE_LIMIT;
        warm || self.agents.all_heard()
    }

    fn route(
        &mut self,
        now: Millis,
        call: &ChooseCall,
    ) -> Result<crate::entry_event::Route, NoRoute> {
        let contract = self.config.contracts().of_class(&call.class);
        let weigh = contract.map_or(Weigh::Idle, |contract| contract.weigh);
        let req = ChoiceRequest {
            target: &call.target,
            prefix: call.prefix,
            deadline: call.deadline,
            kind: call.kind,
            weigh,
            excluded: &call.excluded,
            draw: rand::random(),
        };
        if !self.agents.serves(&call.target) {
            return Err(NoRoute {
                kind: ErrorKind::UnknownTarget,
                retry_after: NO_ENDPOINT_RETRY,
            });
        }
        let anywhere = ChoiceRequest {
            excluded: &[],
            ..req
        };
        let route = self.agents.choose(now, &req);
        let route = route.or_else(|| self.agents.choose(now, &anywhere));
        route.ok_or(NoRoute {
            kind: ErrorKind::NoEndpoint,
            retry_after: NO_ENDPOINT_RETRY,
        })
    }

    fn ended(&mut self, now: Millis, end: RouteEnd) {
        self.agents.ended(now, end);
    }

    fn terms(&self, call: TermsCall) {
        let contracts = self.config.contracts();
        let found = match (&call.service, call.class) {
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
        let _ = call.reply.try_send(found);
    }

    fn tick(&mut self, now: Millis) {
        for gone in self.agents.tick(now) {
            log::warn!("event=agent-gone incarnation={gone} reason=silent");
            self.cx.inflight.gone(gone);
        }
        self.choose_held(now);
        self.choose_due(now);
        if now >= self.hello_due {
            self.hello_due = now.plus(HELLO_EVERY);
            self.say_hello();
        }
    }

    fn say_hello(&self) {
        let hello = wire::Hello {
            domain: self.cx.cfg.node.domain.clone(),
            config_digest: self.config.digest(),
        };
        let links = self.agents.links().chain(self.entries.keys());
        for link in links {
            let _ = self
                .cx
                .peers
                .send_connected(link, Body::Hello(hello.clone()));
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

    /// A stopping entry ends when nothing is in flight, or at the contract's limit.
    fn may_end(&self, now: Millis) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let limit = self.config.contracts().drain().unwrap_or(self.cx.cfg.drain);
        self.cx.metrics.in_flight() == 0 || now.since(since) >= limit
    }

    fn summary(&self) -> FleetSummary {
        let config = self.config.entries().map(|entry| ConfigSummary {
            name: entry.name.clone(),
            generation: entry.generation,
        });
        FleetSummary {
            entry: self.cx.cfg.node.name.clone(),
            config_digest: format!("{:016x}", self.config.digest()),
            settled: self.is_settled(now()),
            config: config.collect(),
            agents: self.agents.views(),
            entries: self.entries.values().cloned().collect(),
        }
    }
}
