//! A text that is kept in its JSON form.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::{RawValue, to_raw_value};

/// A text as a JSON string, in the form in which it is sent and stored, so that a process through which it
/// only passes neither decodes nor encodes it.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub struct JsonText(Box<RawValue>);

impl JsonText {
    /// Returns the size of the JSON string in bytes.
    pub fn size_bytes(&self) -> usize {
        self.0.get().len()
    }
}

impl From<&str> for JsonText {
    fn from(text: &str) -> Self {
        Self(to_raw_value(text).expect("a string has a JSON form"))
    }
}

impl PartialEq for JsonText {
    fn eq(&self, other: &Self) -> bool {
        self.0.get() == other.0.get()
    }
}

impl Eq for JsonText {}

impl<'de> Deserialize<'de> for JsonText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let json = Box::<RawValue>::deserialize(deserializer)?;
        if json.get().starts_with('"') {
            Ok(Self(json))
        } else {
            Err(D::Error::custom("a text must be a JSON string"))
        }
    }
}
