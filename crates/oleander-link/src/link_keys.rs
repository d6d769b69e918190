//! Shared keys that authenticate frames.

use crate::link_error::LinkError;
use crate::wire::{Frame, Sealed};
use bytes::Bytes;
use prost::Message;

/// One shared key.
#[derive(Clone)]
struct LinkKey {
    id: u32,
    secret: [u8; 32],
}

/// The keys that a process accepts; it signs with the first.
///
/// To rotate keys without downtime, append the new key in all processes, then move it to the front
/// in all processes, then remove the old one.
#[derive(Clone)]
pub struct LinkKeys {
    keys: Vec<LinkKey>,
}

impl LinkKeys {
    /// Derives keys from pass phrases; the same phrase gives the same key and identifier everywhere.
    ///
    /// # Panics
    ///
    /// Panics when `phrases` is empty; the check of the settings rules that out.
    pub fn derive(phrases: &[String]) -> Self {
        assert!(!phrases.is_empty(), "at least one link key");
        Self {
            keys: phrases
                .iter()
                .map(|phrase| LinkKey::derive(phrase))
                .collect(),
        }
    }

    /// Encodes and signs a frame with the first key.
    pub fn seal(&self, frame: &Frame) -> Vec<u8> {
        let frame = Bytes::from(frame.encode_to_vec());
        let key = &self.keys[0];
        let mac = blake3::keyed_hash(&key.secret, &frame);
        let sealed = Sealed {
            key_id: key.id,
            mac: Bytes::copy_from_slice(mac.as_bytes()),
            frame,
        };
        sealed.encode_to_vec()
    }

    /// Verifies and decodes a frame.
    ///
    /// # Errors
    ///
    /// [`LinkError::WrongKey`] for an unknown key or a wrong authentication code,
    /// [`LinkError::Malformed`] for bytes that can't be decoded.
    pub fn open(&self, buf: Bytes) -> Result<Frame, LinkError> {
        let sealed = Sealed::decode(buf).map_err(|_| LinkError::Malformed)?;
        let key = self.keys.iter().find(|key| key.id == sealed.key_id);
        let key = key.ok_or(LinkError::WrongKey)?;
        let mac: [u8; 32] = sealed
            .mac
            .as_ref()
            .try_into()
            .map_err(|_| LinkError::WrongKey)?;
        // The comparison of `blake3::Hash` takes constant time.
        if blake3::keyed_hash(&key.secret, &sealed.frame) != blake3::Hash::from(mac) {
            return Err(LinkError::WrongKey);
        }
        Frame::decode(sealed.frame).map_err(|_| LinkError::Malformed)
    }
}

impl std::fmt::Debug for LinkKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ids: Vec<u32> = self.keys.iter().map(|key| key.id).collect();
        f.debug_struct("LinkKeys")
            .field("ids", &ids)
            .finish_non_exhaustive()
    }
}

impl LinkKey {
    fn derive(phrase: &str) -> Self {
        let secret = blake3::derive_key("oleanderlock 2026 link frames", phrase.as_bytes());
        let public = blake3::derive_key("oleanderlock 2026 link key id", phrase.as_bytes());
        let id = u32::from_le_bytes([public[0], public[1], public[2], public[3]]);
        Self { id, secret }
    }
}
