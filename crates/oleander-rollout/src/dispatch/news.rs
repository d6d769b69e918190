//! What agents and entries hear of the platform's store from the leader, in place of watches of their own.

use super::dispatcher::Dispatcher;
use super::state::State;
use crate::peer::messages::{KnownNews, PlatformNews};
use crate::prelude::*;
use oleanderlock::affinity_score::hash_bytes;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_table::EndpointTable;
use std::sync::Arc;

/// The endpoints as agents need to know them.
#[derive(Debug, Default)]
pub struct EndpointNews {
    of: Option<Arc<EndpointTable>>,
    entries: Vec<EndpointEntry>,
    digest: u64,
}

impl EndpointNews {
    /// Takes the endpoints that are known now; returns whether agents must hear of a change.
    fn update(&mut self, endpoints: &Arc<EndpointTable>) -> bool {
        if self
            .of
            .as_ref()
            .is_some_and(|of| Arc::ptr_eq(of, endpoints))
        {
            return false;
        }
        self.of = Some(Arc::clone(endpoints));
        self.entries = endpoints.entries().map(without_load).collect();
        let text = serde_json::to_vec(&self.entries).unwrap_or_default();
        // 0 stands for an agent that knows none.
        let digest = hash_bytes(&text).max(1);
        let changed = digest != self.digest;
        self.digest = digest;
        changed
    }
}

/// Leaves out what changes often and agents don't need.
fn without_load(entry: &EndpointEntry) -> EndpointEntry {
    EndpointEntry {
        weights: Default::default(),
        warm_up: Millis::ZERO,
        ..entry.clone()
    }
}

/// Looks at what the store told; returns whether agents must hear of a change.
pub fn refresh(dispatcher: &Dispatcher, state: &mut State) -> bool {
    let view = dispatcher.view.get();
    let config = view
        .routes
        .as_ref()
        .map_or(0, |routes| routes.config.version);
    let config_changed = config != state.config_told;
    state.config_told = config;
    let endpoints_changed = view.endpoints_known && state.endpoints.update(&view.endpoints);
    config_changed || endpoints_changed
}

/// Returns what an agent does not know yet.
pub fn for_agent(dispatcher: &Dispatcher, state: &State, report: &AgentReport) -> PlatformNews {
    let known = KnownNews {
        config_version: report.config_version,
        endpoints_digest: report.endpoints_digest,
    };
    let own = |entry: &EndpointEntry| {
        Some(entry.addr) == report.engine || Some(&entry.service) != report.service.as_ref()
    };
    unknown(dispatcher, state, known, own)
}

/// Returns what an entry does not know yet.
pub fn for_entry(dispatcher: &Dispatcher, state: &State, known: KnownNews) -> PlatformNews {
    unknown(dispatcher, state, known, |_| true)
}

fn unknown(
    dispatcher: &Dispatcher,
    state: &State,
    known: KnownNews,
    wants: impl Fn(&EndpointEntry) -> bool,
) -> PlatformNews {
    let view = dispatcher.view.get();
    let routes = view.routes.as_ref();
    let config = routes.filter(|routes| routes.config.version > known.config_version);
    let news = &state.endpoints;
    let new_endpoints = news.digest != 0 && news.digest != known.endpoints_digest;
    let endpoints = new_endpoints.then(|| {
        let entries = news.entries.iter().filter(|entry| wants(entry));
        (entries.cloned().collect(), news.digest)
    });
    PlatformNews {
        config: config.map(|routes| routes.config.clone()),
        endpoints,
    }
}
