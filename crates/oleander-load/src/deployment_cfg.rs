//! What a deployment consists of.

use crate::tokens::Tokens;
use oleander_standins::engine_switches::EngineSwitches;
use oleander_standins::service::ServiceSwitches;
use oleander_standins::store_switches::StoreSwitches;
use oleanderlock::policy::Policy;
use std::collections::HashMap;
use std::path::PathBuf;

/// Engines that serve one model.
#[derive(Clone, Debug)]
pub struct ModelGroup {
    /// Name of the model.
    pub model: String,
    /// Number of engines.
    pub engines: usize,
    /// Version that they serve at first.
    pub version: u64,
    /// Settings and fault switches of each.
    pub switches: EngineSwitches,
}

/// Instances of one kind of plain service.
#[derive(Clone, Debug)]
pub struct ServiceGroup {
    /// Names of the services that each instance serves.
    pub services: Vec<String>,
    /// Number of instances.
    pub instances: usize,
    /// Settings and fault switches of each.
    pub switches: ServiceSwitches,
}

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct DeploymentCfg {
    /// Folder of the built programs.
    pub programs: PathBuf,
    /// Folders of other builds' programs, by the name of the process that runs one.
    pub other_programs: HashMap<String, PathBuf>,
    /// Policy of the entries.
    pub policy: Policy,
    /// Name of the region.
    pub region: String,
    /// Failure domains; instances are spread over them in turn.
    pub domains: Vec<String>,
    /// Number of entries.
    pub entries: usize,
    /// Engines.
    pub models: Vec<ModelGroup>,
    /// Plain services.
    pub services: Vec<ServiceGroup>,
    /// Texts of the contracts in force from the start.
    pub contracts: Vec<String>,
    /// Switches of the store.
    pub store: StoreSwitches,
    /// Executor threads of this process, which runs the stand-ins.
    pub threads: usize,
    /// Traffic threads of each entry.
    pub entry_threads: usize,
    /// Least severe level that the daemons log.
    pub log_level: String,
    /// Gives the entries a data folder.
    pub data: bool,
    /// Tokens that the entries demand.
    pub tokens: Tokens,
    /// Keeps settings and logs after the end.
    pub keep_folder: bool,
}

impl Default for DeploymentCfg {
    fn default() -> Self {
        Self {
            programs: own_folder(),
            other_programs: HashMap::new(),
            policy: Policy::Product,
            region: "windhoek".to_owned(),
            domains: ["wdh-a", "wdh-b", "wdh-c", "wdh-d"]
                .map(str::to_owned)
                .into(),
            entries: 2,
            models: Vec::new(),
            services: Vec::new(),
            contracts: Vec::new(),
            store: StoreSwitches::default(),
            threads: 4,
            entry_threads: 2,
            log_level: "info".to_owned(),
            data: false,
            tokens: Tokens::default(),
            keep_folder: false,
        }
    }
}

/// The folder of the running program, or its parent when that is the folder of test programs.
fn own_folder() -> PathBuf {
    let program = std::env::current_exe().unwrap_or_default();
    let folder = program.parent().unwrap_or(&program);
    if folder.ends_with("deps") || folder.ends_with("examples") {
        return folder.parent().unwrap_or(folder).to_owned();
    }
    folder.to_owned()
}
