//! Load, experiment and demo tool of oleanderlock.
//!
//! It starts real daemons as child processes on loopback beside stand-ins for the platform, offers
//! load on an open-loop schedule, and judges the answers by what the stand-ins recorded.

pub mod demo;
pub mod demo_faults;
pub mod demo_report;
pub mod deployment;
pub mod deployment_cfg;
pub mod deployment_error;
pub mod endpoint;
pub mod node;
pub mod order_client;
pub mod order_ledger;
pub mod platform;
pub mod process;
pub mod promise;
pub mod settings_text;
