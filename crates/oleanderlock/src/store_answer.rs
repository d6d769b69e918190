//! Answers of the platform's object API, as the coordination logic sees them.

/// Version of an object that does not exist.
pub const NO_VERSION: u64 = 0;

/// The answer to a read of one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadAnswer {
    /// The object exists.
    Object {
        /// Version of its last write.
        version: u64,
        /// Its value.
        value: String,
    },
    /// There is no such object.
    Missing,
    /// The store refused the call or did not answer.
    Unavailable,
}

/// The answer to a conditional write of one object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteAnswer {
    /// The write took effect and created this version.
    Written(u64),
    /// The condition was not met; nothing was written.
    Conflict,
    /// The store refused the call; nothing was written.
    Refused,
    /// The store did not answer; the write may have taken effect or may still do so.
    Lost,
}
