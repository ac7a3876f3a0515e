//! The paths of the callers' and operators' HTTP interface.

/// A path of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path<'a> {
    /// Addresses that callers can use.
    Addresses,
    /// Minting of a key.
    Keys,
    /// Completions.
    Completions,
    /// A request, by its key.
    Request(&'a str),
    /// A plain service.
    Service {
        /// The service's name.
        name: &'a str,
        /// The path that is forwarded to it, with the query.
        rest: &'a str,
    },
    /// A call for operators.
    Operator(&'a str),
    /// The liveness check.
    Health,
}

/// Parses a path with its query. Returns `None` if there is nothing at this path.
#[must_use]
pub fn scan(path: &str) -> Option<Path<'_>> {
    let plain = path.split('?').next().unwrap_or(path);
    match plain {
        "/v1/addresses" => return Some(Path::Addresses),
        "/v1/keys" => return Some(Path::Keys),
        "/v1/completions" => return Some(Path::Completions),
        "/health" => return Some(Path::Health),
        _ => {}
    }
    if let Some(key) = plain.strip_prefix("/v1/requests/") {
        return Some(Path::Request(key));
    }
    if let Some(call) = plain.strip_prefix("/v1/operator/") {
        return Some(Path::Operator(call));
    }
    let suffix = path.strip_prefix("/v1/services/")?;
    let end = suffix.find(['/', '?']).unwrap_or(suffix.len());
    let (name, rest) = suffix.split_at(end);
    Some(Path::Service {
        name,
        rest: if rest.is_empty() { "/" } else { rest },
    })
}
