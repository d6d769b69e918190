//! The agent: runs next to one engine or plain service and admits all work for it.

pub(crate) mod agent_attempts;
pub mod agent_control;
pub mod agent_cx;
pub mod agent_event;
pub(crate) mod agent_http;
pub mod agent_process;
pub(crate) mod agent_reports;
pub mod agent_settings;
pub(crate) mod agent_status;
pub mod agent_summary;
pub(crate) mod agent_weights;
pub mod endpoint;
pub mod endpoint_kind;
pub mod engine_client;
pub mod engine_load;
pub mod engine_version;
pub(crate) mod pace;
pub mod probe_result;
pub mod service_client;
pub mod swap_outcome;
pub mod swap_report;
