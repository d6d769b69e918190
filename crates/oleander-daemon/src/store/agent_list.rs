//! Selection of the agents that an entry uses among those in the platform's list.

use crate::entry::agent::Agent;
use crate::entry::agent_table::AgentTable;
use crate::entry::agent_table_action::AgentTableAction;
use crate::prelude::*;
use crate::store::listed_instance::ListedInstance;
use crate::store::listed_state::ListedState;
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use oleanderlock::member_listing::MemberListing;
use oleanderlock::subset::{Candidate, SubsetSize, choose_subset};

/// Number of agents that an entry uses; in a fleet up to this size it uses all.
pub const SUBSET_SIZE: usize = 24;
/// Maximum number of agents outside of the subset that are used for keyed requests.
const ON_DEMAND_MAX: usize = 64;

impl AgentTable {
    /// Applies the platform's list of agents; `entries` are the names of all entries.
    pub fn apply_listing<'a>(
        &mut self,
        now: Millis,
        listed: Vec<ListedInstance>,
        entries: impl Iterator<Item = &'a str>,
    ) -> Vec<AgentTableAction> {
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
        self.apply_changes(changes, &mut actions);
        actions
    }

    /// Returns the failure domains of all listed agents.
    pub fn domains(&self) -> IndexSet<String> {
        let domains = self.fleet.values().map(|one| one.domain.clone());
        domains.collect()
    }

    /// Returns whether the fleet is so small that the entry uses all agents.
    pub fn is_small_fleet(&self) -> bool {
        self.fleet.len() <= SUBSET_SIZE
    }

    /// Sets the failure domains whose agents are all used, from the next list on.
    pub fn set_planned_domains(&mut self, domains: IndexSet<String>) {
        self.planned_domains = domains;
    }

    /// Stops using agents that are listed but no longer chosen, once they are idle.
    fn drop_unchosen(&mut self, chosen: &[ListedInstance], actions: &mut Vec<AgentTableAction>) {
        let keeps = |agent: &Agent| {
            let name = &agent.listed.name;
            let key = agent.status.as_ref().map(|status| status.key);
            let in_flight = key.map_or(0, |key| self.choice.in_flight(key));
            let is_chosen = chosen.iter().any(|one| one.name == *name);
            is_chosen || in_flight > 0 || !self.fleet.contains_key(name)
        };
        let agents = self.agents.iter();
        let dropped = agents.filter(|(_, agent)| !keeps(agent));
        let dropped: Vec<String> = dropped.map(|(link, _)| link.clone()).collect();
        for link in dropped {
            if let Some(status) = self
                .agents
                .swap_remove(&link)
                .and_then(|agent| agent.status)
            {
                self.choice.remove(status.key);
            }
            actions.push(AgentTableAction::Forget(link));
        }
    }

    /// Uses the agent with this name, although it is not in the subset.
    pub fn use_on_demand(&mut self, name: &str) -> Vec<AgentTableAction> {
        let mut actions = Vec::new();
        if let Some(instance) = self.fleet.get(name).cloned() {
            if self.on_demand.len() >= ON_DEMAND_MAX {
                self.on_demand.shift_remove_index(0);
            }
            self.on_demand.insert(name.to_owned());
            self.use_agent(instance, &mut actions);
        }
        actions
    }

    fn use_agent(&mut self, instance: ListedInstance, actions: &mut Vec<AgentTableAction>) {
        let link = instance.link.clone();
        match self.agents.get_mut(&link) {
            Some(agent) => agent.listed = instance,
            None => {
                actions.push(AgentTableAction::Use(link.clone()));
                let agent = Agent {
                    listed: instance,
                    status: None,
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
            // The list does not contain the targets of an agent.
            target: Bytes::new(),
        };
        let candidates: Vec<Candidate> = self.fleet.values().map(candidate).collect();
        let own = Bytes::from(self.own_name.clone());
        let size = SubsetSize {
            per_target: SUBSET_SIZE,
        };
        let chosen = choose_subset(&own, entries, &candidates, size);
        let chosen = chosen.into_iter().map(|index| &self.fleet[index]);
        let wanted = self
            .on_demand
            .iter()
            .filter_map(|name| self.fleet.get(name));
        let planned = self.fleet.values();
        let planned = planned.filter(|one| self.planned_domains.contains(&one.domain));
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
