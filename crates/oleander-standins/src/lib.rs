//! Stand-ins for the systems around oleanderlock, with fault switches and a record of what ran.
//!
//! Each stand-in has a `spawn` function that returns a running [`server::Server`]; the binary
//! `oleander-standin` runs one of them as a process. The protocols are those of
//! `docs/STANDINS.md`.

pub mod api;
pub mod batch;
pub mod engine;
pub mod engine_state;
pub mod engine_switches;
pub mod feed;
pub mod free_address;
pub mod judge;
pub mod list;
pub mod prefix_cache;
pub mod rate;
pub mod reply;
pub mod running;
pub mod runtime;
pub mod server;
pub mod service;
pub mod slots;
pub mod step_plan;
pub mod step_record;
pub mod store;
pub mod store_state;
pub mod store_switches;
pub mod switches;
pub mod token_text;
pub mod trainer;
pub mod trainer_cfg;
pub mod weights;
