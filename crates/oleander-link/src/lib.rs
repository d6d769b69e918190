//! Messages and links between the processes of oleanderlock.

pub mod wire;
