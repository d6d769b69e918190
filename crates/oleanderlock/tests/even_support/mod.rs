//! Replay of processes that choose endpoints, without a network.

pub mod call;
pub mod case;
pub mod chooser;
pub mod figures;
pub mod fleet;
pub mod replay;
pub mod rule;
