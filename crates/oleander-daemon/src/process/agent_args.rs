//! Arguments of `oleander-agent`.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Arguments of `oleander-agent`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Runs next to one endpoint and admits all work that it gets
pub struct AgentArgs {
    /// Read the settings from FILE instead of oleander-agent.ini
    #[bpaf(argument("FILE"), fallback(PathBuf::from("oleander-agent.ini")))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
}
