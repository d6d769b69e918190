//! How a watch goes on after a failed call.

/// How a watch goes on after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnDisconnect {
    /// Lists the kind again, because a store that lost its history may leave a resumed watch
    /// without changes for seconds.
    List,
    /// Resumes the watch at the last revision: for a large kind whose new objects this process
    /// also learns of in another way.
    Resume {
        /// Revision of the store from which to watch at first.
        from: u64,
    },
}
