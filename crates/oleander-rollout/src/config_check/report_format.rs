//! Format of the report.

use strum::EnumString;

/// Format of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum ReportFormat {
    /// One line for each finding and difference.
    Text,
    /// One JSON object.
    Json,
}
