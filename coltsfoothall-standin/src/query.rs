//! Numbers in the query of a URI.

use hyper::Uri;

/// The number called `name`, if it is there and is one.
#[must_use]
pub fn number(uri: &Uri, name: &str) -> Option<u64> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _value)| *key == name)
        .and_then(|(_key, value)| value.parse().ok())
}
