//! Which of the platform's agents an entry uses.

use crate::entry::agent_table::{Agent, AgentTable, TableAction};
use crate::prelude::*;
use crate::store::instance_list::{ListedInstance, ListedState};
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use oleanderlock::member_listing::MemberListing;
use oleanderlock::subset::{Candidate, SubsetSize, choose_subset};

/// Agents that an entry uses; a smaller fleet is used whole.
pub const SUBSET: usize = 24;
/// Agents outside of the subset that keyed requests may need at once.
const WANTED_MAX: usize = 64;

impl AgentTable {
    /// Takes the platform's list of agents; `entries` are the names of all entries.
    pub fn listed<'a>(
        &mut self,
        now: Millis,
        listed: Vec<ListedInstance>,
        entries: impl Iterator<Item = &'a str>,
    ) -> Vec<TableAction> {
        let by_name = listed.into_iter().map(|one| (one.name.clone(), one));
        self.fleet = by_name.collect();
        let entries: Vec<Bytes> = entries.map(|name| Bytes::from(name.to_owned())).collect();
        let chosen = self.subset(&entries);
        let rows: Vec<MemberListing> = chosen.iter().map(row).collect();
        let mut actions = Vec::new();
        self.drop_unchosen(&chosen, &mut actions);
        for instance in chosen {
            self.use_agent(instance, &mut actions);
        }
        let changes = self.members.on_list(now, &rows);
        self.act(changes, &mut actions);
        actions
    }

    /// Returns the failure domains of all listed agents.
    pub fn domains(&self) -> IndexSet<String> {
        let domains = self.fleet.values().map(|one| one.domain.clone());
        domains.collect()
    }

    /// Tells whether the entry uses all agents.
    pub fn is_small_fleet(&self) -> bool {
        self.fleet.len() <= SUBSET
    }

    /// Sets the failure domains whose agents are all used, from the next list on.
    pub fn plan_for(&mut self, domains: IndexSet<String>) {
        self.planned = domains;
    }

    /// Stops using agents that are listed but no longer chosen, once they are idle.
    fn drop_unchosen(&mut self, chosen: &[ListedInstance], actions: &mut Vec<TableAction>) {
        let keeps = |agent: &Agent| {
            let name = &agent.listed.name;
            let key = agent.heard.as_ref().map(|heard| heard.key);
            let in_flight = key.map_or(0, |key| self.choice.in_flight(key));
            let is_chosen = chosen.iter().any(|one| one.name == *name);
            is_chosen || in_flight > 0 || !self.fleet.contains_key(name)
        };
        let agents = self.agents.iter();
        let dropped = agents.filter(|(_, agent)| !keeps(agent));
        let dropped: Vec<String> = dropped.map(|(link, _)| link.clone()).collect();
        for link in dropped {
            if let Some(heard) = self.agents.swap_remove(&link).and_then(|agent| agent.heard) {
                self.choice.remove(heard.key);
            }
            actions.push(TableAction::Forget(link));
        }
    }

    /// Uses the agent with this name, although it is not in the subset.
    pub fn want(&mut self, name: &str) -> Vec<TableAction> {
        let mut actions = Vec::new();
        if let Some(instance) = self.fleet.get(name).cloned() {
            if self.wanted.len() >= WANTED_MAX {
                self.wanted.shift_remove_index(0);
            }
            self.wanted.insert(name.to_owned());
            self.use_agent(instance, &mut actions);
        }
        actions
    }

    fn use_agent(&mut self, instance: ListedInstance, actions: &mut Vec<TableAction>) {
        let link = instance.link.clone();
        match self.agents.get_mut(&link) {
            Some(agent) => agent.listed = instance,
            None => {
                actions.push(TableAction::Use(link.clone()));
                let agent = Agent {
                    listed: instance,
                    heard: None,
                };
                self.agents.insert(link, agent);
            }
        }
    }

    /// Chooses the agents to use among all that are listed.
    fn subset(&self, entries: &[Bytes]) -> Vec<ListedInstance> {
        if self.is_small_fleet() {
            return self.fleet.values().cloned().collect();
        }
        let candidate = |instance: &ListedInstance| Candidate {
            instance: Bytes::from(instance.name.clone()),
            domain: Bytes::from(instance.domain.clone()),
            // The list does not tell what an agent serves.
            target: Bytes::new(),
        };
        let candidates: Vec<Candidate> = self.fleet.values().map(candidate).collect();
        let own = Bytes::from(self.own_name.clone());
        let size = SubsetSize { per_target: SUBSET };
        let chosen = choose_subset(&own, entries, &candidates, size);
        let chosen = chosen.into_iter().map(|index| &self.fleet[index]);
        let wanted = self.wanted.iter().filter_map(|name| self.fleet.get(name));
        let planned = self.fleet.values();
        let planned = planned.filter(|one| self.planned.contains(&one.domain));
        let all = chosen.chain(wanted).chain(planned);
        let all: IndexMap<&String, &ListedInstance> = all.map(|one| (&one.name, one)).collect();
        all.into_values().cloned().collect()
    }
}

fn row(instance: &ListedInstance) -> MemberListing {
    MemberListing {
        name: instance.name.clone(),
        domain: instance.domain.clone(),
        leaving: instance.state == ListedState::Leaving,
    }
}
