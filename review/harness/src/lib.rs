//! Deployments of the project's programs as separate processes, with stand-ins around them, for the
//! scripts of the review.

pub mod client;
pub mod deployment;
pub mod engine;
pub mod process;
pub mod record;
pub mod store;
