//! What the check of a configuration reports.

use super::report_format::ReportFormat;
use oleander_platform::decoded_config::DecodedConfig;
use oleanderlock::config_check::difference::Difference;
use oleanderlock::config_check::differences::{differences, version_finding};
use oleanderlock::config_check::finding::Finding;
use oleanderlock::config_check::finding_kind::FindingKind;
use oleanderlock::config_check::findings;
use oleanderlock::routing::deployment_config::DeploymentConfig;
use serde::Serialize;

/// What the check of a configuration reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// What is wrong.
    pub findings: Vec<Finding>,
    /// Differences from the configuration in force; `None` if there is none to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub differences: Option<Vec<Difference>>,
}

impl CheckReport {
    /// Checks a configuration, and compares it with the one in force.
    pub fn new(decoded: &DecodedConfig, in_force: Option<&DeploymentConfig>) -> Self {
        let errors = decoded.errors.iter().map(|error| Finding {
            kind: FindingKind::Unreadable,
            place: error.place.clone(),
            text: error.to_string(),
        });
        let mut all: Vec<Finding> = errors.collect();
        all.extend(findings(&decoded.config, &decoded.places));
        if let Some(in_force) = in_force {
            all.extend(version_finding(in_force, &decoded.config));
        }
        Self {
            findings: all,
            differences: in_force.map(|in_force| differences(in_force, &decoded.config)),
        }
    }

    /// Returns the report in a format, as it is printed.
    ///
    /// # Errors
    ///
    /// The error of the encoder.
    pub fn print(&self, format: ReportFormat) -> Result<String, serde_json::Error> {
        match format {
            ReportFormat::Json => Ok(serde_json::to_string_pretty(self)? + "\n"),
            ReportFormat::Text => Ok(self.text()),
        }
    }

    fn text(&self) -> String {
        let mut text = String::new();
        for finding in &self.findings {
            text.push_str(&format!("finding: {finding}\n"));
        }
        for difference in self.differences.iter().flatten() {
            text.push_str(&format!("difference: {difference}\n"));
        }
        let found = self.findings.len();
        text.push_str(&match &self.differences {
            None => format!("findings={found}\n"),
            Some(differences) => format!("findings={found} differences={}\n", differences.len()),
        });
        text
    }
}
