//! Breadth-first exploration, and the model of the request protocol.

pub mod explore;
pub mod request_model;
pub mod request_world;
