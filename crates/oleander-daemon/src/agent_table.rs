//! The agents that an entry uses, and the choice among them.

use crate::entry_event::{AgentView, Route, RouteEnd, RouteProgress};
use crate::entry_settings::EntryConfig;
use crate::instance_list::{ListedInstance, ListedState};
use crate::prelude::*;
use bytes::Bytes;
use indexmap::IndexMap;
use oleanderlock::agent_clock::AgentClock;
use oleanderlock::choice_request::ChoiceRequest;
use oleanderlock::endpoint::{
    EndpointKey, EndpointReport, EndpointState, EndpointTerms, Proximity,
};
use oleanderlock::endpoint_choice::{ChoiceConfig, EndpointChoice};
use oleanderlock::load::Load;

/// Silence after which an agent is suspected.
const SUSPECT_AFTER: Millis = Millis(3000);
/// Silence after which an agent is taken to be gone.
const GONE_AFTER: Millis = Millis(10_000);

/// One agent.
struct Agent {
    name: String,
    domain: String,
    region: String,
    leaving: bool,
    heard: Option<Heard>,
}

/// What an agent said of itself.
struct Heard {
    key: EndpointKey,
    incarnation: Incarnation,
    clock: AgentClock,
    at: Millis,
    version: Option<Version>,
    state: EndpointState,
    suspected: bool,
    config_digest: u64,
    targets: Vec<Bytes>,
}

/// An agent that is no longer listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DroppedAgent {
    /// Link address.
    pub link: String,
    /// The incarnation last heard.
    pub incarnation: Option<Incarnation>,
}

/// Agents by link address; bounded by the platform's list.
pub struct AgentTable {
    domain: String,
    region: String,
    agents: IndexMap<String, Agent>,
    choice: EndpointChoice,
}

impl AgentTable {
    /// Creates an empty table.
    pub fn new(cfg: &EntryConfig) -> Self {
        Self {
            domain: cfg.node.domain.clone(),
            region: cfg.node.region.clone(),
            agents: IndexMap::new(),
            choice: EndpointChoice::new(ChoiceConfig { policy: cfg.policy }),
        }
    }

    /// Takes the platform's list; returns the agents that are no longer on it.
    pub fn listed(&mut self, now: Millis, listed: &[ListedInstance]) -> Vec<DroppedAgent> {
        for instance in listed {
            let agent = self
                .agents
                .entry(instance.link.clone())
                .or_insert_with(|| Agent {
                    name: instance.name.clone(),
                    domain: instance.domain.clone(),
                    region: instance.region.clone(),
                    leaving: false,
                    heard: None,
                });
            agent.leaving = instance.state == ListedState::Leaving;
        }
        let gone = |link: &&String| !listed.iter().any(|instance| instance.link == **link);
        let gone: Vec<String> = self.agents.keys().filter(gone).cloned().collect();
        gone.into_iter()
            .filter_map(|link| self.drop_silent(now, link))
            .collect()
    }

    /// The list lags, so an agent that still reports stays.
    fn drop_silent(&mut self, now: Millis, link: String) -> Option<DroppedAgent> {
        let heard = self.agents.get(&link)?.heard.as_ref();
        if heard.is_some_and(|heard| now.since(heard.at) < SUSPECT_AFTER) {
            return None;
        }
        let agent = self.agents.swap_remove(&link)?;
        let incarnation = agent.heard.as_ref().map(|heard| heard.incarnation);
        if let Some(heard) = agent.heard {
            self.choice.remove(heard.key);
        }
        Some(DroppedAgent { link, incarnation })
    }

    /// Takes an agent's report; returns the incarnation that it replaces.
    pub fn reported(
        &mut self,
        now: Millis,
        link: &str,
        incarnation: Incarnation,
        report: &wire::Report,
    ) -> Option<Incarnation> {
        let agent = self.agents.get_mut(link)?;
        let replaced = agent
            .heard
            .take_if(|heard| heard.incarnation != incarnation);
        if let Some(old) = &replaced {
            self.choice.remove(old.key);
        }
        let terms = terms(&self.domain, &self.region, agent, report);
        let choice = &mut self.choice;
        let heard = agent.heard.get_or_insert_with(|| Heard {
            key: choice.insert(now, terms.clone()),
            incarnation,
            clock: AgentClock::new(Millis(report.clock_ms), now),
            at: now,
            version: None,
            state: EndpointState::Serving,
            suspected: false,
            config_digest: 0,
            targets: Vec::new(),
        });
        heard.clock.observe(Millis(report.clock_ms), now);
        heard.at = now;
        heard.version =
            (!report.version_unknown && report.version > 0).then_some(Version(report.version));
        heard.state = match agent.leaving {
            true => EndpointState::Leaving,
            false => state_of(report.state()),
        };
        heard.suspected = false;
        heard.config_digest = report.config_digest;
        heard.targets.clone_from(&terms.targets);
        let endpoint = EndpointReport {
            state: heard.state,
            load: report.load.as_ref().map(load_of).unwrap_or_default(),
            version: heard.version,
        };
        choice.amend(heard.key, terms);
        choice.suspect(heard.key, false);
        choice.report(now, heard.key, endpoint);
        replaced.map(|old| old.incarnation)
    }

    /// Suspects an agent whose connection broke.
    pub fn disconnected(&mut self, link: &str) {
        let heard = self
            .agents
            .get_mut(link)
            .and_then(|agent| agent.heard.as_mut());
        if let Some(heard) = heard {
            heard.suspected = true;
            self.choice.suspect(heard.key, true);
        }
    }

    /// Suspects silent agents; returns the incarnations that are gone.
    pub fn tick(&mut self, now: Millis) -> Vec<Incarnation> {
        self.choice.tick(now);
        let mut gone = Vec::new();
        for agent in self.agents.values_mut() {
            let Some(heard) = agent.heard.as_mut() else {
                continue;
            };
            let silence = now.since(heard.at);
            if silence >= SUSPECT_AFTER && !heard.suspected {
                heard.suspected = true;
                self.choice.suspect(heard.key, true);
            }
            if silence >= GONE_AFTER {
                gone.push(heard.incarnation);
                self.choice.remove(heard.key);
                agent.heard = None;
            }
        }
        gone
    }

    /// Tells whether every listed agent that is not leaving was heard.
    pub fn all_heard(&self) -> bool {
        let mut expected = self
            .agents
            .values()
            .filter(|agent| !agent.leaving)
            .peekable();
        expected.peek().is_some() && expected.all(|agent| agent.heard.is_some())
    }

    /// Tells whether any agent is known to serve the target.
    pub fn serves(&self, target: &[u8]) -> bool {
        let mut heard = self
            .agents
            .values()
            .filter_map(|agent| agent.heard.as_ref());
        heard.any(|heard| heard.targets.iter().any(|served| served == target))
    }

    /// Chooses an agent and counts the attempt there.
    pub fn choose(&mut self, now: Millis, req: &ChoiceRequest) -> Option<Route> {
        let key = self.choice.choose(now, req)?;
        let route = self.route_of(key)?;
        self.choice.started(now, key);
        Some(route)
    }

    /// Returns the way to an incarnation and counts the attempt there.
    pub fn locate(&mut self, now: Millis, incarnation: Incarnation) -> Option<Route> {
        let found = self
            .agents
            .values()
            .filter_map(|agent| agent.heard.as_ref());
        let mut found = found.filter(|heard| heard.incarnation == incarnation);
        let key = found.next()?.key;
        self.choice.started(now, key);
        self.route_of(key)
    }

    /// Tells whether an endpoint that is not among the `excluded` takes work for the target.
    pub fn has_other(&self, target: &[u8], excluded: &[EndpointKey]) -> bool {
        self.choice.has_other(target, excluded)
    }

    /// Returns the newest version that an endpoint of the target serves.
    pub fn newest(&self, target: &[u8]) -> Option<Version> {
        self.choice.newest(target)
    }

    /// Takes the progress of an attempt.
    pub fn progress(&mut self, now: Millis, progress: RouteProgress) {
        let RouteProgress {
            key,
            elapsed,
            units,
        } = progress;
        self.choice.observe(now, key, elapsed, units);
    }

    /// Takes the end of an attempt.
    pub fn ended(&mut self, now: Millis, end: RouteEnd) {
        if end.units > 0 {
            self.choice.observe(now, end.key, end.elapsed, end.units);
        }
        if let Some(load) = end.load {
            self.choice.load(now, end.key, load);
        }
        self.choice.ended(now, end.key, end.end);
    }

    /// Returns the link addresses.
    pub fn links(&self) -> impl Iterator<Item = &String> {
        self.agents.keys()
    }

    /// Describes the agents for people.
    pub fn views(&self) -> Vec<AgentView> {
        self.agents
            .iter()
            .map(|(link, agent)| self.view(link, agent))
            .collect()
    }

    fn view(&self, link: &str, agent: &Agent) -> AgentView {
        let heard = agent.heard.as_ref();
        let state = heard.map_or_else(
            || "unheard".to_owned(),
            |heard| {
                if heard.suspected {
                    "suspected".to_owned()
                } else {
                    heard.state.to_string()
                }
            },
        );
        AgentView {
            name: agent.name.clone(),
            domain: agent.domain.clone(),
            link: link.to_owned(),
            state,
            incarnation: heard.map(|heard| heard.incarnation.to_string()),
            version: heard
                .and_then(|heard| heard.version)
                .map(|version| version.0),
            in_flight: heard.map_or(0, |heard| self.choice.in_flight(heard.key)),
            config_digest: heard
                .map(|heard| format!("{:016x}", heard.config_digest))
                .unwrap_or_default(),
        }
    }

    fn route_of(&self, key: EndpointKey) -> Option<Route> {
        let mut agents = self.agents.iter();
        agents.find_map(|(link, agent)| {
            let heard = agent.heard.as_ref().filter(|heard| heard.key == key)?;
            Some(Route {
                key,
                name: agent.name.clone(),
                link: link.clone(),
                incarnation: heard.incarnation,
                clock: heard.clock,
            })
        })
    }
}

fn terms(domain: &str, region: &str, agent: &Agent, report: &wire::Report) -> EndpointTerms {
    let proximity = if agent.domain == domain {
        Proximity::Domain
    } else if agent.region == region {
        Proximity::Region
    } else {
        Proximity::Remote
    };
    let digest = blake3::hash(agent.name.as_bytes());
    let identity = u64::from_be_bytes(digest.as_bytes()[..8].try_into().unwrap_or_default());
    let targets = report
        .targets
        .iter()
        .map(|target| Bytes::from(target.clone()));
    EndpointTerms {
        identity,
        proximity,
        targets: targets.collect(),
    }
}

fn state_of(state: wire::AgentState) -> EndpointState {
    match state {
        wire::AgentState::Serving => EndpointState::Serving,
        wire::AgentState::Leaving => EndpointState::Leaving,
        wire::AgentState::Quarantined => EndpointState::Quarantined,
    }
}

/// Reads the load of a message.
pub fn load_of(load: &wire::Load) -> Load {
    Load {
        running: load.running,
        queued: load.queued,
        capacity: load.capacity,
        wait: Millis(load.wait_ms),
    }
}
