//! Removes the entries of dispatchers that are gone: a machine that is replaced doesn't remove its own.
//!
//! The leader probes up to [`ASKED_MAX`] registered dispatchers at a time, in turn. One that has not answered for
//! [`GONE_AFTER`](oleanderlock::dispatchers::absences::GONE_AFTER) is removed, unless no agent reaches this
//! process and no dispatcher answers it: then it may be the one that is cut off.

use crate::peer::leader_client::{ASKED_MAX, LeaderClient};
use crate::prelude::*;
use crate::store::dispatcher_object::{DISPATCHER_KIND, NODE_PREFIX};
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use futures_util::future::join_all;
use oleanderlock::dispatchers::absences::Absences;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between two rounds of probes.
const ROUND_EVERY: Millis = Millis::from_secs(4);
/// Entries that are removed in a round.
const REMOVED_AT_ONCE: usize = 4;

/// What a sweep works with.
#[derive(Debug)]
pub struct Sweep<L, H> {
    /// Name of this dispatcher's node.
    pub node: String,
    /// Client of the other dispatchers.
    pub client: Rc<LeaderClient>,
    /// Client of the store.
    pub store: Rc<StoreClient>,
    /// Local copy of the state in the store.
    pub view: SharedView,
    /// Whether this dispatcher still leads in the epoch of the sweep.
    pub leads: L,
    /// Whether an agent has reached this dispatcher lately.
    pub is_heard: H,
}

impl<L: Fn() -> bool, H: Fn() -> bool> Sweep<L, H> {
    /// Probes and removes until this dispatcher no longer leads.
    pub async fn run(self) {
        let mut absences = Absences::default();
        let mut next = 0;
        loop {
            sleep(ROUND_EVERY).await;
            if !(self.leads)() {
                return;
            }
            let others = self.others();
            absences.retain(|name| others.iter().any(|(other, _)| other == name));
            let in_turn = others.iter().cycle().skip(next);
            let probed: Vec<_> = in_turn.take(others.len().min(ASKED_MAX)).collect();
            next = (next + probed.len()) % others.len().max(1);
            let probes = probed
                .iter()
                .map(|(name, addr)| self.client.is_dispatcher(*addr, name));
            let answers = join_all(probes).await;
            if !(self.is_heard)() && !answers.contains(&true) {
                absences = Absences::default();
                continue;
            }
            for ((name, _), answered) in probed.into_iter().zip(answers) {
                absences.record(now(), name, answered);
            }
            for name in absences.gone(now(), REMOVED_AT_ONCE) {
                if !(self.leads)() {
                    return;
                }
                self.remove(&name).await;
            }
        }
    }

    fn others(&self) -> Vec<(String, SocketAddr)> {
        let view = self.view.get();
        let others = view.dispatchers.iter();
        let others = others.filter(|(name, _)| **name != self.node);
        others.map(|(name, addr)| (name.clone(), *addr)).collect()
    }

    async fn remove(&self, name: &str) {
        let object = format!("{NODE_PREFIX}{name}");
        let removed = self.store.delete(DISPATCHER_KIND, &object).await;
        event(log::Level::Info, "dispatcher-removed", || {
            format!("node={name} result={removed:?}")
        });
    }
}
