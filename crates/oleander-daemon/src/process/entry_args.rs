//! Arguments of `oleander-entry`.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Arguments of `oleander-entry`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Serves callers, trainers and operators: routes requests to agents and delivers samples to trainers
pub struct EntryArgs {
    /// Read the settings from FILE instead of oleander-entry.ini
    #[bpaf(argument("FILE"), fallback(PathBuf::from("oleander-entry.ini")))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
}
