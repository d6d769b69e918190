//! The types that almost every module of the daemons uses.

pub use crate::http::http_error::HttpError;
pub use crate::monotonic::now;
pub use oleander_link::{LinkError, PeerChange, Peers, wire};
pub use oleanderlock::prelude::*;
pub use wire::frame::Body;
