//! A configuration object with its generation.

use crate::contracts::config_object::ConfigObject;
use crate::prelude::*;

/// A configuration object as it was last read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CurrentObject {
    /// Its generation; 0 when the object does not exist.
    pub generation: Generation,
    /// Its value; empty when the object does not exist.
    pub object: ConfigObject,
}
