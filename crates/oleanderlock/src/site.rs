//! A live instance and where it stands.

use serde::{Deserialize, Serialize};

/// The name of an instance and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site {
    /// Name of the instance; unique.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
}

impl Site {
    /// Returns a site.
    pub fn new(name: &str, domain: &str) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
        }
    }
}
