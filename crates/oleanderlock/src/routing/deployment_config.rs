//! One version of the deployment's configuration.

use super::route::Route;
use crate::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Bounds on what a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Greatest request head, in bytes.
    pub header_bytes: usize,
    /// Greatest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a request head.
    pub header_time: Millis,
    /// Longest time that a connection may stay idle.
    pub idle_time: Millis,
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that an endpoint takes from all callers together.
    pub connections_max: usize,
}

/// One version of the deployment's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentConfig {
    /// Number of the version; greater is newer.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, ServiceConfig>,
    /// Bounds on clients.
    pub limits: ClientLimits,
}
