//! Counts the requests of each service on this instance.

use coltsfoothall::id;
use coltsfoothall_wire::cloud::Machine;

/// The number of requests of a service on this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Busy {
    /// The service.
    pub service: id::Service,
    /// Requests open at endpoints.
    pub open: u64,
    /// Requests that wait for an endpoint.
    pub queued: u64,
}

/// Counts requests by service. The result is sorted by service.
///
/// `open` yields the endpoint of each open request, `queued` the service of each waiting
/// one. `machines` must be sorted by name.
pub(crate) fn count<'a>(
    open: impl Iterator<Item = &'a id::Endpoint>,
    queued: impl Iterator<Item = &'a id::Service>,
    machines: &[Machine],
) -> Vec<Busy> {
    let mut rows: Vec<Busy> = Vec::new();
    for endpoint in open {
        let name = endpoint.as_str();
        if let Ok(index) = machines.binary_search_by(|m| m.id.as_str().cmp(name)) {
            row(&mut rows, &machines[index].service).open += 1;
        }
    }
    for service in queued {
        row(&mut rows, service).queued += 1;
    }
    rows
}

fn row<'a>(rows: &'a mut Vec<Busy>, service: &id::Service) -> &'a mut Busy {
    let found = rows.binary_search_by(|row| row.service.cmp(service));
    let index = found.unwrap_or_else(|index| {
        let service = service.clone();
        rows.insert(
            index,
            Busy {
                service,
                open: 0,
                queued: 0,
            },
        );
        index
    });
    &mut rows[index]
}
