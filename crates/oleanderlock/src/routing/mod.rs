//! Where a call goes: routes in force, endpoints known, the choice among them, and what follows a
//! failed attempt.

pub mod attempt_rule;
pub mod deployment_config;
pub mod endpoint_entry;
pub mod endpoint_load;
pub mod endpoint_pick;
pub mod endpoint_table;
pub mod route;
pub mod route_kind;
pub mod route_table;
