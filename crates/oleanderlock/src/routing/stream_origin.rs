//! What began a stream.

use super::endpoint_entry::EndpointEntry;
use super::route::Route;
use serde::{Deserialize, Serialize};

/// What began a stream; only endpoints of the same kind may resume it, because software versions
/// generate events that don't fit together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the endpoint.
    pub service: String,
    /// Software version of the endpoint; `None` if the endpoint list names none.
    pub software: Option<String>,
    /// Instance id of the endpoint; `None` in records of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<String>,
    /// Unix time of the endpoint's start in milliseconds, as the list named it when the stream began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
}

impl StreamOrigin {
    /// Returns the origin of a stream that an endpoint begins.
    pub fn of(endpoint: &EndpointEntry) -> Self {
        Self {
            service: endpoint.service.clone(),
            software: endpoint.software.clone(),
            instance: Some(endpoint.instance.clone()),
            started_unix_ms: endpoint.started_unix_ms,
        }
    }

    /// Whether the endpoint list names a later start of the endpoint than the record does. The stream
    /// may have begun at the later incarnation, whose version may be another one.
    pub fn is_doubted_by(&self, listed: &EndpointEntry) -> bool {
        let is_same = self.instance.as_ref() == Some(&listed.instance);
        is_same && self.started_unix_ms.is_some() && listed.started_unix_ms > self.started_unix_ms
    }

    /// Whether an endpoint may resume the stream.
    pub fn includes(&self, endpoint: &EndpointEntry) -> bool {
        self.service == endpoint.service && self.software == endpoint.software
    }

    /// Whether a route still sends requests to the service.
    pub fn is_target_of(&self, route: &Route) -> bool {
        let mut targets = route.targets.iter();
        targets.any(|target| target.weight > 0 && target.service == self.service)
    }
}

/// Whether two start times are known and differ.
pub fn differs(one: Option<u64>, other: Option<u64>) -> bool {
    one.is_some() && other.is_some() && one != other
}
