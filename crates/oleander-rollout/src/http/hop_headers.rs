//! Removal of headers that a message must not pass on to the next connection.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};

/// Hop-by-hop headers, and `Content-Length`, which is set again when the message is sent.
const NOT_FORWARDED: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, those that the `Connection` header lists, and `Content-Length`.
pub fn remove(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in NOT_FORWARDED.iter().chain(&named) {
        headers.remove(name);
    }
}
