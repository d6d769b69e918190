//! Whether another dispatcher can lead when this one hands over.

use crate::peer::leader_client::LeaderClient;
use crate::peer::messages::HEALTH;
use crate::prelude::*;
use crate::store::view::View;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http::{Method, StatusCode};
use std::net::SocketAddr;

/// Longest wait for the answers of the other dispatchers.
const ANSWER_TIMEOUT: Millis = Millis(400);

/// Whether a dispatcher other than `node` answers whose machine is not to be retired.
///
/// A registered dispatcher need not be there: its machine may have been removed.
pub async fn has_successor(client: &LeaderClient, view: &View, node: &str) -> bool {
    let others = view.dispatchers.iter().filter(|(name, _)| *name != node);
    let others = others.filter(|(name, _)| !view.retiring.contains(*name));
    let mut asked: FuturesUnordered<_> = others.map(|(_, addr)| answers(client, *addr)).collect();
    while let Some(answered) = asked.next().await {
        if answered {
            return true;
        }
    }
    false
}

async fn answers(client: &LeaderClient, addr: SocketAddr) -> bool {
    let call = client.call_at(addr, Method::GET, HEALTH, Vec::new(), ANSWER_TIMEOUT);
    matches!(call.await, Ok((StatusCode::OK, _)))
}
