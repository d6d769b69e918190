//! The platform's store: one client, watches of whole kinds, and what they tell this process.

pub mod client;
pub mod endpoints;
pub mod follow;
pub mod gate;
pub mod health;
pub mod job_objects;
pub mod leader_object;
pub mod on_disconnect;
pub mod platform_update;
pub mod store_error;
pub mod view;
pub mod watch;
pub mod watch_event;
