//! The cases.

pub mod engine_lost;
pub mod leader_change;
pub mod planned_stop;
pub mod route_moved;
pub mod route_removed;
