//! Places of the parts of a configuration in its file.

use super::finding::Finding;
use super::finding_kind::FindingKind;

/// Places of the parts of a configuration in its file, which may have further parts that could not be
/// decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigPlaces {
    /// Place of each route.
    pub routes: Vec<String>,
    /// Place of each service, in the order of the configuration.
    pub services: Vec<String>,
    /// Place of each workspace.
    pub workspaces: Vec<String>,
    /// Places of the keys of each workspace.
    pub keys: Vec<Vec<String>>,
    /// Parts that later ones with the same name replace.
    pub replaced: Vec<Finding>,
}

impl ConfigPlaces {
    /// Records that the part at `place` is replaced by a later one.
    pub fn record_replaced(&mut self, place: String, later: &str) {
        self.replaced.push(Finding {
            kind: FindingKind::Replaced,
            place,
            text: format!("is replaced by {later}, which has the same name"),
        });
    }
}

/// Returns the place with this index; empty if the configuration was not read from a file.
pub(super) fn place(places: &[String], index: usize) -> String {
    places.get(index).cloned().unwrap_or_default()
}
