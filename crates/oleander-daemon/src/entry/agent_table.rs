//! The agents that an entry uses, and the choice of one for each attempt.

use crate::agent::agent_status::AgentStatus;
use crate::entry::agent::Agent;
use crate::entry::agent_table_action::AgentTableAction;
use crate::entry::agent_view::AgentView;
use crate::entry::entry_settings::EntryConfig;
use crate::entry::route::Route;
use crate::entry::route_end::RouteEnd;
use crate::entry::route_progress::RouteProgress;
use crate::prelude::*;
use crate::process::hash64::hash64;
use crate::store::listed_instance::ListedInstance;
use crate::store::listed_state::ListedState;
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use oleanderlock::choice_request::ChoiceRequest;
use oleanderlock::endpoint::{EndpointInfo, EndpointKey, EndpointState, Proximity};
use oleanderlock::endpoint_choice::{ChoiceAction, ChoiceConfig, EndpointChoice};
use oleanderlock::member_action::MemberAction;
use oleanderlock::member_state::MemberState;
use oleanderlock::membership::Membership;
use oleanderlock::membership_config::MembershipConfig;

/// Largest random number for the jitter of probes, in thousandths.
const JITTER_MAX_PER_MILLE: u64 = 1000;

/// The agents in use, by link address; their number is bounded by the platform's list.
pub struct AgentTable {
    pub(crate) own_name: String,
    pub(crate) domain: String,
    pub(crate) region: String,
    pub(crate) agents: IndexMap<String, Agent>,
    /// All listed agents by name; those outside of the subset can be used on demand.
    pub(crate) fleet: IndexMap<String, ListedInstance>,
    /// Names of agents outside of the subset that requests with a key need.
    pub(crate) on_demand: IndexSet<String>,
    /// Failure domains whose rollouts the entry plans, which takes the reports of all their agents.
    pub(crate) planned_domains: IndexSet<String>,
    pub(crate) choice: EndpointChoice,
    pub(crate) members: Membership,
}

impl AgentTable {
    /// Creates an empty table.
    pub fn new(cfg: &EntryConfig) -> Self {
        Self {
            own_name: cfg.node.name.clone(),
            domain: cfg.node.domain.clone(),
            region: cfg.node.region.clone(),
            agents: IndexMap::new(),
            fleet: IndexMap::new(),
            on_demand: IndexSet::new(),
            planned_domains: IndexSet::new(),
            choice: EndpointChoice::new(ChoiceConfig { policy: cfg.policy }),
            members: Membership::new(MembershipConfig::default()),
        }
    }

    /// Processes a report of the agent at `link`; ignored if the agent is not in use. A report of a
    /// new incarnation replaces the one before.
    pub fn apply_report(
        &mut self,
        now: Millis,
        link: &str,
        incarnation: Incarnation,
        report: &wire::Report,
    ) -> Vec<AgentTableAction> {
        let Some(agent) = self.agents.get_mut(link) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let name = agent.listed.name.clone();
        let is_other = |status: &mut AgentStatus| status.incarnation != incarnation;
        if let Some(old) = agent.status.take_if(is_other) {
            self.choice.remove(old.key);
            actions.push(AgentTableAction::Gone(old.incarnation));
        }
        let info = endpoint_info(&self.domain, &self.region, &agent.listed, report);
        let choice = &mut self.choice;
        let status = agent.status.get_or_insert_with(|| {
            let key = choice.insert(now, info.clone());
            AgentStatus::new(key, incarnation, now, report)
        });
        let endpoint = status.apply_report(now, report);
        choice.update_info(status.key, info);
        choice.apply_report(now, status.key, endpoint);
        let is_leaving = status.state == EndpointState::Leaving;
        let changes = match is_leaving {
            true => self.members.on_leaving(now, &name, incarnation),
            false => self.members.on_message(now, &name, incarnation),
        };
        self.apply_changes(changes, &mut actions);
        self.update_suspected(link);
        actions
    }

    /// Processes the loss of the link to an agent.
    pub fn on_link_down(&mut self, now: Millis, link: &str) -> Vec<AgentTableAction> {
        let Some(agent) = self.agents.get(link) else {
            return Vec::new();
        };
        let name = agent.listed.name.clone();
        let changes = self.members.on_link_down(now, &name);
        let mut actions = Vec::new();
        self.apply_changes(changes, &mut actions);
        actions
    }

    /// Records that the link to an agent is up.
    pub fn on_link_up(&mut self, now: Millis, link: &str) {
        if let Some(agent) = self.agents.get(link) {
            self.members.on_link_up(now, &agent.listed.name);
        }
    }

    /// Ejects endpoints that are slow, failing or silent, and updates the states of agents that send
    /// nothing.
    pub fn tick(&mut self, now: Millis) -> Vec<AgentTableAction> {
        let ejected = self.choice.tick(now);
        let mut actions: Vec<AgentTableAction> = ejected
            .into_iter()
            .filter_map(|ChoiceAction::Eject(key, reason)| {
                let name = self.route_of(key)?.name;
                Some(AgentTableAction::Ejected { name, reason })
            })
            .collect();
        let changes = self
            .members
            .tick(now, rand::random_range(0..=JITTER_MAX_PER_MILLE));
        self.apply_changes(changes, &mut actions);
        actions
    }

    pub(crate) fn apply_changes(
        &mut self,
        changes: Vec<MemberAction>,
        actions: &mut Vec<AgentTableAction>,
    ) {
        for change in changes {
            match change {
                MemberAction::Probe { name } => {
                    actions.extend(self.link_of(&name).map(AgentTableAction::Probe));
                }
                MemberAction::Changed { name, state } => {
                    log::info!("event=agent-state agent={name} state={state}");
                    self.apply_state(&name, state, actions);
                }
            }
        }
    }

    fn apply_state(&mut self, name: &str, state: MemberState, actions: &mut Vec<AgentTableAction>) {
        let Some(link) = self.link_of(name) else {
            return;
        };
        if state != MemberState::Gone {
            return self.update_suspected(&link);
        }
        let status = self.agents[&link].status.take();
        if let Some(status) = status {
            self.choice.remove(status.key);
            actions.push(AgentTableAction::Gone(status.incarnation));
        }
        if self.members.get(name).is_none() {
            self.agents.swap_remove(&link);
            self.on_demand.swap_remove(name);
            actions.push(AgentTableAction::Forget(link));
        }
    }

    /// Sets in the choice whether an agent is suspected, and so gets no new work.
    fn update_suspected(&mut self, link: &str) {
        let Some(agent) = self.agents.get(link) else {
            return;
        };
        let Some(status) = &agent.status else { return };
        let member = self.members.get(&agent.listed.name);
        let is_available = member.is_some_and(|member| member.state == MemberState::Available);
        self.choice.set_suspected(status.key, !is_available);
    }

    fn link_of(&self, name: &str) -> Option<String> {
        let mut agents = self.agents.iter();
        let found = agents.find(|(_, agent)| agent.listed.name == name);
        found.map(|(link, _)| link.clone())
    }

    /// Returns whether every agent in use that is not leaving has reported; false while there is
    /// none.
    pub fn all_reported(&self) -> bool {
        let staying = |agent: &&Agent| agent.listed.state == ListedState::Live;
        let mut expected = self.agents.values().filter(staying).peekable();
        expected.peek().is_some() && expected.all(|agent| agent.status.is_some())
    }

    /// Returns whether an agent has reported that it serves the target.
    pub fn serves(&self, target: &[u8]) -> bool {
        let mut status = self.reporting_agents();
        status.any(|status| status.targets.iter().any(|served| served == target))
    }

    /// Chooses an agent and counts the attempt as in flight there; the caller must report its end.
    pub fn choose(&mut self, now: Millis, req: &ChoiceRequest) -> Option<Route> {
        let key = self.choice.choose(now, req)?;
        let route = self.route_of(key)?;
        self.choice.record_start(now, key);
        Some(route)
    }

    /// Returns the route to an incarnation and counts the attempt as in flight there; `None` while
    /// the incarnation has not reported.
    pub fn locate(&mut self, now: Millis, incarnation: Incarnation) -> Option<Route> {
        let is_same = |status: &&AgentStatus| status.incarnation == incarnation;
        let key = self.reporting_agents().find(is_same)?.key;
        self.choice.record_start(now, key);
        self.route_of(key)
    }

    /// Returns whether an endpoint that is not among the `excluded` takes work for the target.
    pub fn has_candidate(&self, target: &[u8], excluded: &[EndpointKey]) -> bool {
        self.choice.has_candidate(target, excluded)
    }

    /// Returns the newest weight version that an endpoint of the target serves.
    pub fn newest_version(&self, target: &[u8]) -> Option<Version> {
        self.choice.newest_version(target)
    }

    /// Records the pace of an attempt for the choice.
    pub fn record_progress(&mut self, now: Millis, progress: RouteProgress) {
        let RouteProgress {
            key,
            elapsed,
            units,
        } = progress;
        self.choice.record_pace(now, key, elapsed, units);
    }

    /// Records the end of an attempt, with the pace and load that came with it.
    pub fn record_end(&mut self, now: Millis, end: RouteEnd) {
        if end.units > 0 {
            self.choice
                .record_pace(now, end.key, end.elapsed, end.units);
        }
        if let Some(load) = end.load {
            self.choice.update_load(now, end.key, load);
        }
        self.choice.record_end(now, end.key, end.end);
    }

    /// Returns the link addresses of the agents in use.
    pub fn links(&self) -> impl Iterator<Item = &String> {
        self.agents.keys()
    }

    /// Returns the agents in use as `GET /v1/fleet` shows them.
    pub fn views(&self) -> Vec<AgentView> {
        self.agents
            .iter()
            .map(|(link, agent)| self.view(link, agent))
            .collect()
    }

    fn view(&self, link: &str, agent: &Agent) -> AgentView {
        let status = agent.status.as_ref();
        let member = self.members.get(&agent.listed.name);
        let state = match (status, member.map(|member| member.state)) {
            (None, _) => "unheard".to_owned(),
            (Some(status), Some(MemberState::Available) | None)
                if self.choice.is_ejected(now(), status.key) =>
            {
                "ejected".to_owned()
            }
            (Some(status), Some(MemberState::Available) | None) => status.state.to_string(),
            (Some(_), Some(state)) => state.to_string(),
        };
        AgentView {
            name: agent.listed.name.clone(),
            domain: agent.listed.domain.clone(),
            link: link.to_owned(),
            state,
            incarnation: status.map(|status| status.incarnation.to_string()),
            version: status
                .and_then(|status| status.version)
                .map(|version| version.0),
            in_flight: status.map_or(0, |status| self.choice.in_flight(status.key)),
            config_digest: status
                .map(|status| format!("{:016x}", status.config_digest))
                .unwrap_or_default(),
        }
    }

    fn route_of(&self, key: EndpointKey) -> Option<Route> {
        let mut agents = self.agents.iter();
        agents.find_map(|(link, agent)| {
            let status = agent.status.as_ref().filter(|status| status.key == key)?;
            Some(Route {
                key,
                name: agent.listed.name.clone(),
                link: link.clone(),
                incarnation: status.incarnation,
                clock: status.clock,
            })
        })
    }

    fn reporting_agents(&self) -> impl Iterator<Item = &AgentStatus> {
        self.agents
            .values()
            .filter_map(|agent| agent.status.as_ref())
    }
}

fn endpoint_info(
    domain: &str,
    region: &str,
    agent: &ListedInstance,
    report: &wire::Report,
) -> EndpointInfo {
    let proximity = if agent.domain == domain {
        Proximity::Domain
    } else if agent.region == region {
        Proximity::Region
    } else {
        Proximity::Remote
    };
    let targets = report.targets.iter();
    EndpointInfo {
        identity: hash64(agent.name.as_bytes()),
        proximity,
        targets: targets.map(|target| Bytes::from(target.clone())).collect(),
    }
}
