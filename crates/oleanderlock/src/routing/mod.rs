//! Routing of calls: the configured routes, the known endpoints, the choice among them, and the
//! retry rule after a failed attempt.

pub mod after_failure;
pub mod attempt_failure;
pub mod call_state;
pub mod call_window;
pub mod caller_grant;
pub mod caller_list;
pub mod caller_rank;
pub mod caller_share;
pub mod candidate;
pub mod client_limits;
pub mod crash_suspects;
pub mod deployment_config;
pub mod endpoint_entry;
pub mod endpoint_load;
pub mod endpoint_pick;
pub mod endpoint_state;
pub mod endpoint_table;
pub mod leaving_endpoints;
pub mod rate_limits;
pub mod request_content;
pub mod request_rate;
pub mod retry_rule;
pub mod route;
pub mod route_kind;
pub mod route_table;
pub mod route_target;
pub mod scale_limits;
pub mod service_config;
pub mod stall_clock;
pub mod stream_origin;
pub mod stream_origins;
pub mod stream_position;
