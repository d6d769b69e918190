//! Which idle connections may carry a request.

/// Which idle connections may carry a request. An endpoint may repeat a response late, where the response
/// to a later request on the connection is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse<'a> {
    /// Any: the remote side sends each response once, or an earlier one does no harm.
    Any,
    /// Those that have carried no request with this id: a response to any other names another request.
    OncePerId(&'a str),
    /// None, and the connection is closed after the response: the request has no id by which its response
    /// is told from another.
    Never,
}
