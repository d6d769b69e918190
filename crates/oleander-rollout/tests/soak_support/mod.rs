//! The parts of the soak.

pub mod callers;
pub mod keep_alive;
pub mod plan;
pub mod run;
pub mod trainer;
pub mod world;
