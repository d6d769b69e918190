//! Rollout service for reinforcement learning on the prepared platform.
//!
//! Entries accept the requests of callers and trainers. Each engine has an agent that runs the
//! items of batch jobs on it. The leading dispatcher assigns items to agents and lists their
//! results in the platform's store.

pub mod agent;
pub mod call;
pub mod cli;
pub mod config_check;
pub mod dispatch;
pub mod duty;
pub mod duty_settings;
pub mod entry;
pub mod feature_settings;
pub mod http;
pub mod key_settings;
pub mod observe;
pub mod peer;
pub mod prelude;
pub mod process;
pub mod registry;
pub mod role;
pub mod runtime;
pub mod settings;
pub mod store;
