//! The agent: the only way to its engine or plain service.

pub(crate) mod agent_attempts;
pub mod agent_control;
pub mod agent_cx;
pub mod agent_event;
pub(crate) mod agent_heard;
pub(crate) mod agent_http;
pub mod agent_process;
pub(crate) mod agent_reports;
pub mod agent_settings;
pub(crate) mod agent_weights;
pub mod engine_client;
pub(crate) mod pace;
pub mod service_client;
