//! The other entries of the deployment, and the roles that follow from them.

use crate::entry::entry_view::EntryView;
use crate::process::node_settings::NodeConfig;
use crate::store::listed_instance::ListedInstance;
use crate::store::listed_state::ListedState;
use indexmap::{IndexMap, IndexSet};
use oleanderlock::rendezvous::top;
use oleanderlock::site::Site;
use oleanderlock::watcher_choice::{WatcherCounts, gossip_peers, is_watcher};

/// Entries that plan the weight rollouts of one failure domain.
const PLANNERS: usize = 2;
/// Key under which entries are ranked for planning rollouts.
const PLANNER_KEY: &str = "weight-planner";

/// One other entry.
#[derive(Clone, Debug)]
struct PeerEntry {
    site: Site,
    /// Digest of its configuration; `None` until it sends one.
    digest: Option<u64>,
    /// Whether its link broke and no hello message has come since.
    lost: bool,
}

/// The live entries of the platform's list but this one, by link address.
pub struct PeerEntries {
    own: Site,
    entries: IndexMap<String, PeerEntry>,
    /// Addresses of the entries with which this one compares its configuration.
    gossip: Vec<String>,
}

impl PeerEntries {
    /// Creates an empty table.
    pub fn new(node: &NodeConfig) -> Self {
        Self {
            own: Site::new(&node.name, &node.domain),
            entries: IndexMap::new(),
            gossip: Vec::new(),
        }
    }

    /// Applies the platform's list; returns the addresses of links to close.
    pub fn apply_listing(&mut self, listed: &[ListedInstance]) -> Vec<String> {
        let live = |one: &&ListedInstance| one.state == ListedState::Live;
        let live: Vec<&ListedInstance> = listed.iter().filter(live).collect();
        let old_links: Vec<String> = self.gossip.clone();
        self.entries
            .retain(|link, _| live.iter().any(|one| one.link == *link));
        for instance in &live {
            let site = Site::new(&instance.name, &instance.domain);
            let new = PeerEntry {
                site,
                digest: None,
                lost: false,
            };
            self.entries.entry(instance.link.clone()).or_insert(new);
        }
        self.choose_gossip();
        old_links
            .into_iter()
            .filter(|link| !self.gossip.contains(link))
            .collect()
    }

    fn choose_gossip(&mut self) {
        let all = self.entries.values().map(|peer| peer.site.clone());
        let sites: Vec<Site> = all.collect();
        let chosen = gossip_peers(&self.own, &sites, WatcherCounts::default());
        let is_chosen = |peer: &PeerEntry| chosen.contains(&peer.site);
        let links = self.entries.iter().filter(|(_, peer)| is_chosen(peer));
        self.gossip = links.map(|(link, _)| link.clone()).collect();
    }

    /// Returns whether this entry is among those of its failure domain that watch the store.
    pub fn is_watcher(&self) -> bool {
        is_watcher(&self.own, &self.sites(), WatcherCounts::default())
    }

    /// Returns those of `domains`, the agents' failure domains, whose weight rollouts this entry plans.
    ///
    /// In a small fleet the same entries plan for all domains. In a larger one entries of each domain
    /// do, since no entry gets the reports of all agents. Two entries plan for each domain, so that
    /// rollouts go on when one is gone and the list does not show it yet; both send the same orders.
    pub fn planned_domains(
        &self,
        domains: IndexSet<String>,
        is_small_fleet: bool,
    ) -> IndexSet<String> {
        let plans = |domain: &String| match is_small_fleet {
            true => self.is_planner(None),
            false => self.is_planner(Some(domain)),
        };
        domains.into_iter().filter(plans).collect()
    }

    /// Returns whether this entry is among the planners of one failure domain, or of all if `domain`
    /// is `None`.
    fn is_planner(&self, domain: Option<&String>) -> bool {
        let mut sites = self.sites();
        sites.push(self.own.clone());
        let is_inside = |site: &&Site| domain.is_none_or(|domain| site.domain == *domain);
        let local: Vec<&Site> = sites.iter().filter(is_inside).collect();
        // The entries of all domains are candidates for a domain that has none.
        let candidates = if local.is_empty() {
            sites.iter().collect()
        } else {
            local
        };
        let planners = top(
            PLANNER_KEY,
            candidates.into_iter(),
            |site| &site.name,
            PLANNERS,
        );
        planners.iter().any(|site| site.name == self.own.name)
    }

    /// Returns the addresses of the entries with which this one compares its configuration.
    pub fn gossip_links(&self) -> &[String] {
        &self.gossip
    }

    /// Records that the link to an entry broke; it counts as lost until it sends a digest.
    pub fn on_link_down(&mut self, link: &str) {
        if let Some(peer) = self.entries.get_mut(link) {
            peer.lost = true;
        }
    }

    /// Records the digest that an entry sent in a hello message.
    pub fn record_digest(&mut self, link: &str, digest: u64) {
        if let Some(peer) = self.entries.get_mut(link) {
            peer.digest = Some(digest);
            peer.lost = false;
        }
    }

    /// Returns the names of all entries, including this one.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let others = self.entries.values().map(|peer| peer.site.name.as_str());
        others.chain(std::iter::once(self.own.name.as_str()))
    }

    /// Returns the other entries as `GET /v1/fleet` shows them.
    pub fn views(&self) -> Vec<EntryView> {
        let views = self.entries.values().map(|peer| EntryView {
            name: peer.site.name.clone(),
            config_digest: peer.digest.map(|digest| format!("{digest:016x}")),
        });
        views.collect()
    }

    /// Returns the other entries that are not known to be lost.
    fn sites(&self) -> Vec<Site> {
        let present = self.entries.values().filter(|peer| !peer.lost);
        present.map(|peer| peer.site.clone()).collect()
    }
}
