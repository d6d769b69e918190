//! A connection that a request uses.

use super::pool::{IdleConnection, Pool};
use http::HeaderMap;
use std::rc::Rc;

/// A connection that a request uses, with the pool that takes it back once the body of the response
/// has been read.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub(super) pool: Rc<Pool>,
    pub(super) connection: IdleConnection,
}

impl PooledConnection {
    /// Returns the connection to its pool; `headers` are those of the response.
    pub(super) fn release(self, headers: &HeaderMap) {
        self.pool.put_back(self.connection, headers);
    }
}
