//! What an entry knows about an endpoint.

use crate::endpoint_health::EndpointHealth;
use crate::load::Load;
use crate::prelude::*;
use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, EnumString, IntoStaticStr, VariantArray};

/// Identifies an endpoint in the arena of one entry. The key of a removed endpoint is never reused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{index}.{generation}")]
pub struct EndpointKey {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

/// Distance of an endpoint from the entry; smaller values are nearer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    StrumDisplay,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Proximity {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region.
    Remote,
}

/// State that an agent reports for its endpoint.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    StrumDisplay,
    EnumString,
    IntoStaticStr,
    VariantArray,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It accepts work.
    Serving,
    /// It is draining and accepts no new work.
    Leaving,
    /// It accepts no work, since the weight version of its engine is unknown.
    Quarantined,
}

/// The properties of an endpoint that routing needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Hash of the instance name; the same at all entries, which rank endpoints by it.
    pub identity: u64,
    /// Distance from this entry.
    pub proximity: Proximity,
    /// Names of the models and services that it serves. Endpoints with the same first target are
    /// compared for ejection.
    pub targets: Vec<Bytes>,
}

/// The periodic report of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// Whether the endpoint accepts work.
    pub state: EndpointState,
    /// Load when the report was sent.
    pub load: Load,
    /// Weight version in use; `None` if there is none or it is unknown.
    pub version: Option<Version>,
}

/// One endpoint of the arena.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub info: EndpointInfo,
    pub state: EndpointState,
    pub suspected: bool,
    pub version: Option<Version>,
    pub in_flight: u32,
    pub health: EndpointHealth,
    reported: Load,
    reported_at: Millis,
    in_flight_at_report: u32,
}

impl Endpoint {
    pub fn new(now: Millis, info: EndpointInfo) -> Self {
        Self {
            info,
            state: EndpointState::Serving,
            suspected: false,
            version: None,
            in_flight: 0,
            health: EndpointHealth::default(),
            reported: Load::default(),
            reported_at: now,
            in_flight_at_report: 0,
        }
    }

    pub fn apply_report(&mut self, now: Millis, report: EndpointReport) {
        self.state = report.state;
        self.version = report.version;
        self.update_load(now, report.load);
    }

    pub fn update_load(&mut self, now: Millis, load: Load) {
        self.reported = load;
        self.reported_at = now;
        self.in_flight_at_report = self.in_flight;
    }

    pub fn serves(&self, target: &[u8]) -> bool {
        self.info.targets.iter().any(|served| served == target)
    }

    /// Returns whether the endpoint accepts work and its agent is not suspected to have failed.
    pub fn accepts_work(&self) -> bool {
        self.state == EndpointState::Serving && !self.suspected
    }

    /// Returns the number of slots, at least 1.
    pub fn capacity(&self) -> u32 {
        self.reported.capacity.max(1)
    }

    /// Returns the estimated number of requests at the endpoint: the reported number, corrected by
    /// the attempts that this entry has started or that have ended since the report.
    pub fn occupancy(&self) -> u32 {
        let reported = self.reported.running + self.reported.queued;
        let corrected = (reported + self.in_flight).saturating_sub(self.in_flight_at_report);
        corrected.max(self.in_flight)
    }

    /// Returns whether at least one of this entry's requests must be running, since more are in
    /// flight than were queued at the last report.
    pub fn has_running_work(&self) -> bool {
        self.in_flight > self.reported.queued
    }

    /// Returns the expected wait of the last report, less the time since then.
    pub fn wait(&self, now: Millis) -> Millis {
        self.reported.wait.since(now.since(self.reported_at))
    }
}
