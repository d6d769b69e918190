//! The arena of the endpoints that one entry uses.

use crate::endpoint::{Endpoint, EndpointKey};

#[derive(Clone, Debug)]
struct Slot {
    generation: u32,
    endpoint: Option<Endpoint>,
}

/// The endpoints by key. Each use of a slot has its own generation, so that the key of a removed
/// endpoint never refers to another.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointArena {
    slots: Vec<Slot>,
}

impl EndpointArena {
    pub fn insert(&mut self, endpoint: Endpoint) -> EndpointKey {
        let free = self.slots.iter().position(|slot| slot.endpoint.is_none());
        let index = free.unwrap_or(self.slots.len());
        if free.is_none() {
            self.slots.push(Slot {
                generation: 0,
                endpoint: None,
            });
        }
        let slot = &mut self.slots[index];
        slot.generation += 1;
        slot.endpoint = Some(endpoint);
        EndpointKey {
            index: index as u32,
            generation: slot.generation,
        }
    }

    pub fn remove(&mut self, key: EndpointKey) {
        if self.get(key).is_some() {
            self.slots[key.index as usize].endpoint = None;
        }
    }

    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        let slot = self.slots.get(key.index as usize)?;
        slot.endpoint
            .as_ref()
            .filter(|_| slot.generation == key.generation)
    }

    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        let slot = self.slots.get_mut(key.index as usize)?;
        let generation = slot.generation;
        slot.endpoint
            .as_mut()
            .filter(|_| generation == key.generation)
    }

    pub fn keys(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            slot.endpoint.as_ref().map(|_| EndpointKey {
                index: index as u32,
                generation: slot.generation,
            })
        })
    }

    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.slots.iter().filter_map(|slot| slot.endpoint.as_ref())
    }
}
