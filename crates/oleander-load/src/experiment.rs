//! One experiment: a deployment, its load and its faults.

use crate::deployment_cfg::DeploymentCfg;
use crate::fault::Fault;
use crate::stream_cfg::StreamCfg;
use oleander_standins::trainer_cfg::TrainerCfg;
use oleanderlock::clock::Millis;

/// One experiment: a deployment, its load and its faults.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Name in the results.
    pub name: String,
    /// Seed of all arrivals and lengths.
    pub seed: u64,
    /// Time before calls are measured.
    pub warmup: Millis,
    /// Time for which calls are sent, with the warm-up.
    pub duration: Millis,
    /// What runs.
    pub deployment: DeploymentCfg,
    /// Interactive load.
    pub streams: Vec<StreamCfg>,
    /// Trainers; those with steps left when the time is over are stopped.
    pub trainers: Vec<TrainerCfg>,
    /// Faults in the order of their times.
    pub faults: Vec<Fault>,
}
