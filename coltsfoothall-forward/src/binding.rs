//! Which version may run a request.

use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::config::{Kind, Route};
use coltsfoothall::forward::role::Role;
use coltsfoothall::forward::roster::Roster;
use coltsfoothall::forward::stream::View;
use coltsfoothall::forward::version::{self, Binding, Label, Present};
use coltsfoothall::id;
use coltsfoothall_shell::event;
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::Call;
use crate::origin::Origin;
use crate::refusal::{Refusal, unavailable};
use crate::state::State;

/// How long the versions of a service are remembered between two requests.
const CACHE_TTL: Duration = Duration::from_millis(50);
/// `Retry-After` for a stream that cannot begin here now; under another id it may begin elsewhere.
const BEGIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// `Retry-After` for a stream whose version is not known here; another instance may know it.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(600);

/// The hash of a request's id, which decides at which service and version its stream begins.
#[must_use]
pub fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The versions of services that were looked up last, sorted by service: a look-up goes through all
/// endpoints.
#[derive(Debug, Default)]
pub struct Cache(Vec<(id::Service, Time, Rc<[Present]>)>);

impl Cache {
    /// The versions of a service, at most [`CACHE_TTL`] old.
    fn versions(&mut self, now: Time, service: &id::Service, roster: &Roster) -> Rc<[Present]> {
        let found = self.0.binary_search_by(|(name, ..)| name.cmp(service));
        if let Ok(index) = found
            && now.since(self.0[index].1) < CACHE_TTL
        {
            return Rc::clone(&self.0[index].2);
        }
        let versions: Rc<[Present]> = roster.versions(service).into();
        let entry = (service.clone(), now, Rc::clone(&versions));
        match found {
            Ok(index) => self.0[index] = entry,
            Err(index) => self.0.insert(index, entry),
        }
        versions
    }
}

/// The versions of a service, and what decides between them.
struct Service<'a> {
    name: &'a id::Service,
    present: Rc<[Present]>,
    upgraded: bool,
    covered: bool,
}

impl<'a> Service<'a> {
    fn new(state: &State, name: &'a id::Service) -> Self {
        Self {
            name,
            present: state.versions.borrow_mut().versions(
                state.now(),
                name,
                &state.roster.borrow(),
            ),
            upgraded: state.upgrades.borrow().stage(name).is_some(),
            covered: is_covered(state),
        }
    }

    fn view(&self) -> View<'_> {
        View {
            service: self.name,
            present: &self.present,
            upgraded: self.upgraded,
            covered: self.covered,
        }
    }
}

/// Whether this instance hears all members, so that none can have a newer table.
fn is_covered(state: &State) -> bool {
    state.check_pause();
    state.role() == Role::Active
        && state.standing.has_read_members()
        && state.peers.borrow().hears_all(state.now())
}

/// Decides which version may run a request.
///
/// # Errors
/// The stream began at a version that is not known, or none may begin here now.
pub fn bind(
    state: &State,
    route: &Route,
    service: &id::Service,
    call: &Call,
    origin: &Origin,
) -> Result<Binding, Refusal> {
    if route.kind != Kind::Resumable {
        return Ok(Binding::Free);
    }
    if let Origin::Instance(terms) = origin
        && let Some(version) = &terms.version
    {
        return Ok(Binding::Only(version.clone()));
    }
    let service = Service::new(state, service);
    let now = state.now();
    let resumes = call.resumes.as_deref().map(hash);
    if resumes.is_none() && call.last_event_id.is_none() {
        let id = hash(call.began().unwrap_or_default());
        let binding = state.streams.borrow().begin(now, id, service.view());
        return match binding {
            Binding::Unknown => Err(unavailable(
                "the versions of the service are not known",
                BEGIN_RETRY_DELAY,
            )),
            Binding::Free | Binding::Only(_) => Ok(binding),
        };
    }
    let binding = state.streams.borrow().resume(now, resumes, service.view());
    log_taken_up(state, call, service.name, &binding);
    match binding {
        Binding::Unknown => Err(unavailable(
            "the version that began the stream is not known",
            UNKNOWN_RETRY_DELAY,
        )),
        Binding::Free | Binding::Only(_) => Ok(binding),
    }
}

fn log_taken_up(state: &State, call: &Call, service: &id::Service, binding: &Binding) {
    let (began, version) = match binding {
        Binding::Only(version) => (version::name(version.as_ref()), "same"),
        Binding::Free | Binding::Unknown => ("?", "unknown"),
    };
    state.board.stream_resumed("caller", version);
    event::TAKEN_UP.emit(format_args!(
        "request={} resumes={} after={} service={service} began={began} generation={}",
        call.id.as_deref().unwrap_or("-"),
        call.resumes.as_deref().unwrap_or("-"),
        call.last_event_id.as_deref().unwrap_or("-"),
        state.streams.borrow().table().generation,
    ));
}

/// Records the version that sends the first event of a request's stream.
pub fn record_start(state: &State, call: &Call, service: &id::Service, version: &Label) {
    let Some(id) = call.began() else {
        return;
    };
    let mut streams = state.streams.borrow_mut();
    streams.record_start(state.now(), hash(id), service, version);
}
