//! An endpoint as an entry knows it.

use crate::endpoint_health::EndpointHealth;
use crate::load::Load;
use crate::prelude::*;
use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, EnumString, IntoStaticStr, VariantArray};

/// Names an endpoint in the arena of one entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{index}.{generation}")]
pub struct EndpointKey {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

/// How far an endpoint is from the entry.
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

/// What an agent says of itself.
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
    /// It takes work.
    Serving,
    /// It takes no new work.
    Leaving,
    /// Its engine does not know its weight version.
    Quarantined,
}

/// What an entry must know of an endpoint to use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Hash of the instance name, the same at every entry.
    pub identity: u64,
    /// Distance from this entry.
    pub proximity: Proximity,
    /// Models and services that it serves.
    pub targets: Vec<Bytes>,
}

/// What an agent reports from time to time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// Whether it takes work.
    pub state: EndpointState,
    /// Its load when it sent the report.
    pub load: Load,
    /// Weight version in use; `None` when there is none or it is unknown.
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

    pub fn report(&mut self, now: Millis, report: EndpointReport) {
        self.state = report.state;
        self.version = report.version;
        self.load(now, report.load);
    }

    pub fn load(&mut self, now: Millis, load: Load) {
        self.reported = load;
        self.reported_at = now;
        self.in_flight_at_report = self.in_flight;
    }

    pub fn serves(&self, target: &[u8]) -> bool {
        self.info.targets.iter().any(|served| served == target)
    }

    pub fn takes_work(&self) -> bool {
        self.state == EndpointState::Serving && !self.suspected
    }

    pub fn capacity(&self) -> u32 {
        self.reported.capacity.max(1)
    }

    /// Requests at the endpoint: the reported ones, corrected by what this entry has started and
    /// seen end since the report.
    pub fn occupancy(&self) -> u32 {
        let reported = self.reported.running + self.reported.queued;
        let corrected = (reported + self.in_flight).saturating_sub(self.in_flight_at_report);
        corrected.max(self.in_flight)
    }

    /// Whether some of this entry's requests must have left the queue by the last report.
    pub fn must_run(&self) -> bool {
        self.in_flight > self.reported.queued
    }

    /// The expected wait that the agent named last, less the time since then.
    pub fn wait(&self, now: Millis) -> Millis {
        self.reported.wait.since(now.since(self.reported_at))
    }
}
