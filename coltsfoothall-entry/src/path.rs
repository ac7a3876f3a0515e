//! Paths of the callers' and operators' interface.

/// A path of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path<'a> {
    /// Addresses that callers can use.
    Addresses,
    /// Minting of keys.
    Keys,
    /// Completions.
    Completions,
    /// A request that is known by its key.
    Request(&'a str),
    /// A plain service.
    Service {
        /// Its name.
        name: &'a str,
        /// What goes on to it: its own path, with the query.
        rest: &'a str,
    },
    /// A call of operators.
    Operator(&'a str),
    /// Whether this instance answers at all.
    Health,
}

/// Reads a path, the query included. None if nothing is there.
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
    let behind = path.strip_prefix("/v1/services/")?;
    let end = behind.find(['/', '?']).unwrap_or(behind.len());
    let (name, rest) = behind.split_at(end);
    Some(Path::Service {
        name,
        rest: if rest.is_empty() { "/" } else { rest },
    })
}
