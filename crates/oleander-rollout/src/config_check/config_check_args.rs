//! Arguments of the check of a configuration.

use super::against::{Against, against};
use super::report_format::ReportFormat;
use bpaf::Bpaf;
use std::path::PathBuf;

#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
/// Check a configuration before it is published
pub struct ConfigCheckArgs {
    #[bpaf(external(against), optional)]
    /// The configuration in force
    pub against: Option<Against>,
    /// Format of the report: text or json
    #[bpaf(argument("FORMAT"), fallback(ReportFormat::Text))]
    pub format: ReportFormat,
    /// Configuration as the operator writes it, in JSON
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}
