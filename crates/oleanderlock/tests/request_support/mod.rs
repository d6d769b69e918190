//! Breadth-first exploration of a model, and the request model itself.

pub mod explore;
pub mod request_model;
pub mod request_world;
