//! The object store and the lists that are kept in it.

pub mod agent_list;
pub mod instance_list;
pub mod store_client;
pub mod store_limit;
pub(crate) mod watch_switch;
