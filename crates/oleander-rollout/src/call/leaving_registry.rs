//! The endpoints of which a response to this process said that they are leaving.

use super::logged_once::LoggedOnce;
use crate::prelude::*;
use http::HeaderMap;
use oleander_platform::headers;
use oleander_platform::leaving::decode_leaving;
use oleanderlock::routing::announcer::Announcer;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::leaving_endpoints::LeavingEndpoints;
use std::cell::RefCell;

/// The endpoints of which a response to this process said that they are leaving, whatever the
/// platform's list says.
#[derive(Debug, Default)]
pub struct LeavingRegistry {
    endpoints: RefCell<LeavingEndpoints>,
    // Instances whose malformed announcement has been logged.
    malformed: LoggedOnce,
}

impl LeavingRegistry {
    /// Reads the announcement in a response of `instance`, the incarnation `announcer`; returns whether
    /// the endpoint is leaving.
    pub fn read(&self, header_map: &HeaderMap, instance: &str, announcer: Announcer) -> bool {
        let values = header_map.get_all(headers::LEAVING);
        match decode_leaving(values.iter().map(|value| value.as_bytes())) {
            Ok(true) => {
                self.record(instance, announcer);
                true
            }
            Ok(false) => false,
            Err(error) => {
                self.log_malformed(instance, &error.to_string());
                false
            }
        }
    }

    fn record(&self, instance: &str, announcer: Announcer) {
        let mut endpoints = self.endpoints.borrow_mut();
        if endpoints.record(instance, announcer) {
            event(log::Level::Info, "endpoint-leaving", || {
                let started = announcer.latest_start();
                format!("instance={instance} started={started}")
            });
        }
    }

    /// Logs a malformed announcement, once for each instance.
    fn log_malformed(&self, instance: &str, reason: &str) {
        if self.malformed.record(instance) {
            event(log::Level::Warn, "leaving-unreadable", || {
                format!("instance={instance} reason=\"{reason}\"")
            });
        }
    }

    /// Whether a listed endpoint has said that it is leaving.
    pub fn contains(&self, entry: &EndpointEntry) -> bool {
        self.endpoints.borrow().contains(entry)
    }
}
