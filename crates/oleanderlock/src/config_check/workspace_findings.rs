//! Findings about workspaces and their keys, which are named by workspace and number only.

use super::config_places::{ConfigPlaces, place};
use super::finding::Finding;
use super::finding_kind::FindingKind;
use super::route_findings::finding;
use crate::routing::deployment_config::DeploymentConfig;
use crate::workspaces::key_digest::KeyDigest;
use std::collections::HashMap;

/// Returns what is wrong with the workspaces of a configuration.
pub(super) fn of(config: &DeploymentConfig, places: &ConfigPlaces) -> Vec<Finding> {
    let mut findings = Vec::new();
    // Holder of each key: index and name of its workspace, and the place of the key.
    let mut holders: HashMap<KeyDigest, (usize, &str, String)> = HashMap::new();
    for (index, workspace) in config.workspaces.iter().flatten().enumerate() {
        let at = place(&places.workspaces, index);
        if workspace.keys.is_empty() {
            let text = format!("no client can use workspace `{}`", workspace.name);
            findings.push(finding(FindingKind::NoKeys, &at, "api_keys", text));
        }
        for (number, key) in workspace.keys.iter().enumerate() {
            let of_workspace = places.keys.get(index).map_or(&[][..], Vec::as_slice);
            let key_at = place(of_workspace, number);
            let (holder, name, first_at) = holders
                .entry(*key)
                .or_insert_with(|| (index, &workspace.name, key_at.clone()));
            if *holder != index {
                findings.push(Finding {
                    kind: FindingKind::SharedKey,
                    place: key_at,
                    text: format!("the same key is at {first_at}, and belongs to `{name}`"),
                });
            }
        }
    }
    findings
}
