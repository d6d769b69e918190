//! Load, experiment and demo tool of oleanderlock.
//!
//! It starts real daemons as child processes on loopback beside stand-ins for the platform, offers
//! load on an open-loop schedule, and judges the answers by what the stand-ins recorded.

pub mod deployment;
pub mod deployment_cfg;
pub mod deployment_error;
pub mod endpoint;
pub mod node;
pub mod platform;
pub mod process;
pub mod settings_text;
