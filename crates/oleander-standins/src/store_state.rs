//! Objects, events and the record of the object API stand-in.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Most writes that the record keeps.
const LOG_MAX: usize = 200_000;

/// One object as it stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Object {
    /// Name, without a leading slash.
    pub name: String,
    /// Revision of the store at the last write of this object.
    pub version: u64,
    /// Text of the object.
    pub value: String,
}

/// One write as a watch or the record shows it; a missing value means that it was deleted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// Name of the object.
    pub name: String,
    /// Revision of the store after the write.
    pub version: u64,
    /// Text after the write.
    pub value: Option<String>,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Always.
    Any,
    /// The object stands at this version.
    Match(u64),
    /// The object does not exist.
    Absent,
}

/// What truly happened at the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Writes that took effect or failed their condition.
    pub writes: u64,
    /// Reads answered.
    pub reads: u64,
    /// Watches answered.
    pub watches: u64,
    /// Calls refused over the rate.
    pub refused: u64,
    /// Writes that took effect, oldest first.
    pub log: Vec<Event>,
}

/// Objects by name, with the events of the last writes.
#[derive(Debug, Default)]
pub struct StoreState {
    /// Revision of the last write.
    pub revision: u64,
    /// Calls and writes so far.
    pub record: StoreRecord,
    objects: IndexMap<String, Object>,
    events: VecDeque<Event>,
}

impl StoreState {
    /// Returns the object called `name`.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Returns the objects whose names start with `prefix`, by name.
    pub fn list(&self, prefix: &str) -> Vec<&Object> {
        let mut found: Vec<_> = self
            .objects
            .values()
            .filter(|object| object.name.starts_with(prefix))
            .collect();
        found.sort_by(|a, b| a.name.cmp(&b.name));
        found
    }

    /// Writes or deletes an object and returns its new version; the error is the version that
    /// stands, 0 for none.
    pub fn write(
        &mut self,
        name: &str,
        value: Option<String>,
        condition: Condition,
        history: usize,
    ) -> Result<u64, u64> {
        self.record.writes += 1;
        let standing = self.objects.get(name).map_or(0, |object| object.version);
        let holds = match condition {
            Condition::Any => true,
            Condition::Match(version) => standing != 0 && standing == version,
            Condition::Absent => standing == 0,
        };
        if !holds {
            return Err(standing);
        }
        self.revision += 1;
        self.replace(name, value.clone());
        self.remember(name, value, history);
        Ok(self.revision)
    }

    fn replace(&mut self, name: &str, value: Option<String>) {
        let Some(value) = value else {
            self.objects.swap_remove(name);
            return;
        };
        let object = Object {
            name: name.to_owned(),
            version: self.revision,
            value,
        };
        self.objects.insert(name.to_owned(), object);
    }

    fn remember(&mut self, name: &str, value: Option<String>, history: usize) {
        let event = Event {
            name: name.to_owned(),
            version: self.revision,
            value,
        };
        if self.record.log.len() < LOG_MAX {
            self.record.log.push(event.clone());
        }
        self.events.push_back(event);
        while self.events.len() > history {
            self.events.pop_front();
        }
    }

    /// Returns the events under `prefix` after a revision, or nothing when they are not all kept.
    pub fn events_after(&self, prefix: &str, after: u64) -> Option<Vec<Event>> {
        let oldest = self.revision - self.events.len() as u64;
        if after < oldest {
            return None;
        }
        let skip = (after - oldest) as usize;
        let events = self.events.iter().skip(skip);
        let matching = events.filter(|event| event.name.starts_with(prefix));
        Some(matching.cloned().collect())
    }
}
