//! Which processes watch the store, and with whom each compares its configuration.
//!
//! Both choices follow from the list of live instances alone. Two processes with different lists
//! choose differently for a while, which is harmless: an extra watch costs the store one waiting
//! call, and a missing one leaves the other watchers.

use crate::rendezvous::top;
use crate::site::Site;

/// Key under which watchers are ranked.
const WATCHER_KEY: &str = "watcher";

/// How many processes play each part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatcherCounts {
    /// Watchers of the store in each failure domain.
    pub watchers_per_domain: usize,
    /// Peers in the own failure domain with which a process compares digests.
    pub near_peers: usize,
    /// Peers in other failure domains with which a process compares digests.
    pub far_peers: usize,
}

impl Default for WatcherCounts {
    fn default() -> Self {
        Self {
            watchers_per_domain: 2,
            near_peers: 2,
            far_peers: 2,
        }
    }
}

/// Tells whether `own` is among the watchers of its failure domain; `live` may or may not hold
/// `own` itself.
pub fn is_watcher(own: &Site, live: &[Site], counts: WatcherCounts) -> bool {
    let neighbours = live
        .iter()
        .filter(|site| site.domain == own.domain && site.name != own.name);
    let candidates = neighbours.chain(std::iter::once(own));
    let watchers = top(
        WATCHER_KEY,
        candidates,
        site_name,
        counts.watchers_per_domain,
    );
    watchers.iter().any(|site| site.name == own.name)
}

/// Returns the peers with which `own` compares digests: a stable choice that spreads over the
/// whole fleet, so that no process has more than a few times the average.
pub fn gossip_peers(own: &Site, live: &[Site], counts: WatcherCounts) -> Vec<Site> {
    let others = live.iter().filter(|site| site.name != own.name);
    let (near, far): (Vec<&Site>, Vec<&Site>) = others.partition(|site| site.domain == own.domain);
    let near = top(&own.name, near.into_iter(), site_name, counts.near_peers);
    let far = top(&own.name, far.into_iter(), site_name, counts.far_peers);
    near.into_iter().chain(far).cloned().collect()
}

fn site_name(site: &Site) -> &str {
    &site.name
}
