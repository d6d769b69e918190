//! Load, experiment and demo tool of oleanderlock.
//!
//! It starts real daemons as child processes on loopback beside stand-ins for the platform, offers
//! load on an open-loop schedule, and judges the answers by what the stand-ins recorded.

pub mod arrivals;
pub mod caller;
pub mod demo;
pub mod demo_faults;
pub mod demo_report;
pub mod deployment;
pub mod deployment_cfg;
pub mod deployment_error;
pub mod endpoint;
pub mod experiment;
pub mod experiment_file;
pub mod fault;
pub mod measure;
pub mod node;
pub mod order_client;
pub mod order_ledger;
pub mod outcome;
pub mod platform;
pub mod plot;
pub mod process;
pub mod promise;
pub mod ran_counts;
pub mod report;
pub mod run;
pub mod settings_text;
pub mod stream_cfg;
pub mod stream_plan;
pub mod tokens;
