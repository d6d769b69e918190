//! Differences of workspaces and their keys. A key is named by its workspace and its number there,
//! from 0, among the keys that can be read.

use super::difference::Difference;
use super::difference_kind::DifferenceKind;
use super::differences::of_value;
use crate::routing::deployment_config::DeploymentConfig;
use crate::workspaces::key_digest::KeyDigest;
use crate::workspaces::workspace::Workspace;
use indexmap::IndexMap;

/// Workspace and number of each key; a key of two workspaces belongs to the first.
type Holders<'a> = IndexMap<KeyDigest, (&'a str, usize)>;

/// Returns the differences of the workspaces.
pub(super) fn of(in_force: &DeploymentConfig, new: &DeploymentConfig) -> Vec<Difference> {
    match (&in_force.workspaces, &new.workspaces) {
        (None, None) => Vec::new(),
        (None, Some(_)) => vec![Difference::new(
            DifferenceKind::Closes,
            "workspaces",
            "requests need a key on all routes that are not public; those without one get 401",
        )],
        (Some(_), None) => vec![Difference::new(
            DifferenceKind::Opens,
            "workspaces",
            "requests need no key; endpoints get no workspace with them",
        )],
        (Some(before), Some(after)) => of_workspaces(before, after),
    }
}

fn of_workspaces(before: &[Workspace], after: &[Workspace]) -> Vec<Difference> {
    let mut differences = of_keys(&holders(before), &holders(after));
    for workspace in after {
        let mut known = before.iter();
        if let Some(known) = known.find(|known| known.name == workspace.name) {
            let subject = format!("workspace `{}`", workspace.name);
            let what = "priority, instead of that of the route";
            differences.extend(of_value(&subject, what, known.rank, workspace.rank));
        }
    }
    differences
}

fn holders(workspaces: &[Workspace]) -> Holders<'_> {
    let mut holders = Holders::new();
    for workspace in workspaces {
        for (number, key) in workspace.keys.iter().enumerate() {
            holders.entry(*key).or_insert((&workspace.name, number));
        }
    }
    holders
}

fn of_keys(before: &Holders<'_>, after: &Holders<'_>) -> Vec<Difference> {
    let mut differences = Vec::new();
    for (key, (workspace, number)) in before {
        let subject = format!("workspace `{workspace}`");
        match after.get(key) {
            None => {
                let text = format!("key {number} is removed: its requests get 401");
                differences.push(Difference::new(DifferenceKind::Closes, &subject, text));
            }
            Some((now, _)) if now != workspace => {
                let text = format!("key {number} belongs to workspace `{now}` now");
                differences.push(Difference::new(DifferenceKind::Moves, &subject, text));
            }
            Some(_) => {}
        }
    }
    for (key, (workspace, number)) in after {
        if !before.contains_key(key) {
            let subject = format!("workspace `{workspace}`");
            let text = format!("key {number} is added: its requests got 401 before");
            differences.push(Difference::new(DifferenceKind::Opens, &subject, text));
        }
    }
    differences
}
