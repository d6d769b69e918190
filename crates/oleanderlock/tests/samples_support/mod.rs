//! Models and reference implementations for the tests of samples and streams.
#![allow(dead_code)]

pub mod delivery_model;
pub mod delivery_world;
pub mod naive_assembly;
pub mod naive_step;
pub mod search;
pub mod stream_model;
