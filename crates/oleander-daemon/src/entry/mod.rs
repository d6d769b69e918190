//! The entry daemon: accepts calls over HTTP, chooses an agent for each attempt, and keeps track of
//! retries, hedges, idempotency keys and the other processes of the deployment.

pub mod agent_table;
pub mod attempt;
pub mod attempt_progress;
pub(crate) mod call;
pub(crate) mod completions;
pub mod entry_control;
pub(crate) mod entry_control_choice;
pub(crate) mod entry_control_fleet;
pub mod entry_cx;
pub mod entry_event;
pub(crate) mod entry_http;
pub(crate) mod entry_loops;
pub mod entry_process;
pub mod entry_settings;
pub mod hedge_controller;
pub mod inflight_attempts;
pub mod key_binder_handle;
pub(crate) mod key_placement;
pub(crate) mod operator_api;
pub(crate) mod peer_entries;
pub(crate) mod plain_calls;
pub(crate) mod publish;
pub mod refusal_log;
pub mod request;
pub(crate) mod request_frames;
pub(crate) mod request_log;
pub mod request_run;
pub mod retry_scheduler;
pub mod version_holds;
pub(crate) mod weight_rollouts;
