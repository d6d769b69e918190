//! An instance and its failure domain.

use serde::{Deserialize, Serialize};

/// The name and the failure domain of an instance; input to the choice of watchers and peers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site {
    /// Name of the instance; unique.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
}

impl Site {
    /// Creates a site.
    pub fn new(name: &str, domain: &str) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
        }
    }
}
