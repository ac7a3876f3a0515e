//! How many requests of each service this instance has.

use coltsfoothall::id;
use coltsfoothall_wire::cloud::Machine;

/// Requests of a service on this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Busy {
    /// The service.
    pub service: id::Service,
    /// Open at endpoints.
    pub open: u64,
    /// Waiting for an endpoint.
    pub queued: u64,
}

/// Counts requests by service; the rows are sorted.
///
/// `open` are the endpoints of open requests, `queued` the services of those
/// that wait, and `machines` is sorted by name.
pub(crate) fn count<'a>(
    open: impl Iterator<Item = &'a id::Endpoint>,
    queued: impl Iterator<Item = &'a id::Service>,
    machines: &[Machine],
) -> Vec<Busy> {
    let mut rows: Vec<Busy> = Vec::new();
    for endpoint in open {
        let name = endpoint.as_str();
        if let Ok(at) = machines.binary_search_by(|m| m.id.as_str().cmp(name)) {
            row(&mut rows, &machines[at].service).open += 1;
        }
    }
    for service in queued {
        row(&mut rows, service).queued += 1;
    }
    rows
}

fn row<'a>(rows: &'a mut Vec<Busy>, service: &id::Service) -> &'a mut Busy {
    let found = rows.binary_search_by(|row| row.service.cmp(service));
    let at = found.unwrap_or_else(|at| {
        let service = service.clone();
        rows.insert(
            at,
            Busy {
                service,
                open: 0,
                queued: 0,
            },
        );
        at
    });
    &mut rows[at]
}
