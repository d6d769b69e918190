//! The platform's store: a client, watches of whole kinds, and a local copy of what they report.

pub mod applied_update;
pub mod config_interest;
pub mod config_reader;
pub mod confirmation;
pub mod crash_objects;
pub mod dispatcher_object;
pub mod endpoint_freshness;
pub mod endpoint_source;
pub mod endpoint_watcher;
pub mod follow;
pub mod gate;
pub mod interests;
pub mod job_creation;
pub mod job_objects;
pub mod job_record;
pub mod leader_object;
pub mod on_disconnect;
pub mod platform_update;
pub mod pulse;
pub mod shared_view;
pub mod store_client;
pub mod store_error;
pub mod store_health;
pub mod view;
pub mod watch;
pub mod watch_event;
