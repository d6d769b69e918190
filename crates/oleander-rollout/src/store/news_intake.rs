//! Takes what the leader told of the platform's store into the view.

use super::follow::adopt_config;
use super::view::SharedView;
use crate::peer::messages::PlatformNews;
use crate::prelude::*;
use oleanderlock::routing::endpoint_table::EndpointTable;
use oleanderlock::routing::route_table::RouteTable;
use std::sync::Arc;

/// Takes news into the view; returns the digest of the endpoints if they were told.
pub fn take_news(view: &SharedView, news: PlatformNews) -> Option<u64> {
    if let Some(config) = news.config {
        adopt_config(view, RouteTable::new(config));
    }
    let (entries, digest) = news.endpoints?;
    event(log::Level::Info, "endpoints-told", || {
        format!("endpoints={} digest={digest:016x}", entries.len())
    });
    view.update(|view| {
        view.endpoints = Arc::new(EndpointTable::from_entries(entries));
        view.endpoints_known = true;
    });
    Some(digest)
}
