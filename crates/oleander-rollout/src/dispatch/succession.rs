//! Whether another dispatcher can lead when this one hands over.

use crate::peer::leader_client::LeaderClient;
use crate::store::view::View;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;

/// Whether a dispatcher other than `node` answers whose machine is not to be retired.
///
/// A registered dispatcher need not be there: its machine may have been removed.
pub async fn has_successor(client: &LeaderClient, view: &View, node: &str) -> bool {
    let may_lead = |name: &str| name != node && !view.retiring.contains(name);
    let candidates = client.dispatchers().into_iter().filter_map(|addr| {
        let mut named = view.dispatchers.iter().rev().filter(|(_, at)| **at == addr);
        let (name, _) = named.find(|(name, _)| may_lead(name))?;
        Some(client.is_dispatcher(addr, name))
    });
    let mut asked: FuturesUnordered<_> = candidates.collect();
    while let Some(answered) = asked.next().await {
        if answered {
            return true;
        }
    }
    false
}
