//! Which processes watch the store, and with which peers each compares its configuration.
//!
//! Both choices depend only on the list of live instances. Processes with different lists may
//! choose differently for a while, which is harmless: an extra watcher costs the store one open
//! call, and if one is missing, the others remain.

use crate::rendezvous::top;
use crate::site::Site;

/// Key of the rendezvous hash by which watchers are ranked.
const WATCHER_KEY: &str = "watcher";

/// Number of watchers and of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatcherCounts {
    /// Processes in each failure domain that watch the store.
    pub watchers_per_domain: usize,
    /// Peers in the same failure domain with which a process compares configuration digests.
    pub near_peers: usize,
    /// Peers in other failure domains with which a process compares configuration digests.
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

/// Returns whether `own` is one of the watchers of its failure domain. `live` may or may not
/// contain `own` itself.
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

/// Returns the peers with which `own` compares configuration digests. The choice is stable and
/// spread over the fleet: no process is chosen more than a few times the average.
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
