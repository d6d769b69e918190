//! Clients of the platform's object store and list of instances.

pub mod agent_list;
pub mod instance_list;
pub mod listed_instance;
pub mod listed_state;
pub mod object_list;
pub mod role;
pub mod store_client;
pub mod store_error;
pub mod store_limit;
pub mod stored_object;
pub(crate) mod watch_switch;
pub mod write_condition;
