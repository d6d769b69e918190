//! One stream of interactive calls in an experiment.

use crate::arrivals::Arrivals;
use crate::deployment_cfg::{ModelGroup, ServiceGroup};

/// What the calls of a stream ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamTarget {
    /// Completions of a model.
    Completion {
        /// Name of the model.
        model: String,
        /// Fewest tokens.
        tokens_min: u64,
        /// Most tokens.
        tokens_max: u64,
        /// Number of different prompt prefixes.
        prefixes: u32,
    },
    /// Calls of a plain service.
    Service {
        /// Name of the service.
        service: String,
        /// Path within the service, without a leading slash.
        path: String,
    },
}

/// One stream of interactive calls.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamCfg {
    /// Name in the results.
    pub name: String,
    /// What is asked for.
    pub target: StreamTarget,
    /// Class of the contract.
    pub class: String,
    /// Offered load as a part of the nominal capacity of the target; 1 is saturation.
    pub load: f64,
    /// How the calls are spread in time.
    pub arrivals: Arrivals,
    /// Calls may not be repeated.
    pub once: bool,
}

impl StreamCfg {
    /// Calls per second that the target can serve when it does nothing else and no prompt prefix
    /// is in a cache.
    pub fn nominal_rate(&self, models: &[ModelGroup], services: &[ServiceGroup]) -> f64 {
        match &self.target {
            StreamTarget::Completion {
                model,
                tokens_min,
                tokens_max,
                ..
            } => {
                let tokens = (tokens_min + tokens_max) as f64 / 2.0;
                let serving = models.iter().filter(|group| group.model == *model);
                serving.map(|group| model_rate(group, tokens)).sum()
            }
            StreamTarget::Service { service, .. } => {
                let serving = services
                    .iter()
                    .filter(|group| group.services.contains(service));
                serving.map(service_rate).sum()
            }
        }
    }
}

fn model_rate(group: &ModelGroup, tokens: f64) -> f64 {
    let places = (group.engines * group.switches.capacity) as f64;
    let decode_ms = tokens * group.switches.token_us as f64 / 1000.0;
    places * 1000.0 / (decode_ms + group.switches.prefill_ms as f64)
}

fn service_rate(group: &ServiceGroup) -> f64 {
    let places = (group.instances * group.switches.capacity) as f64;
    places * 1000.0 / group.switches.service_ms.max(1) as f64
}
