//! Rules that every catalog keeps, whoever wrote it.

use quick_error::quick_error;

use crate::catalog::{Adapter, Catalog, Kind, Placement, Service, Workspace};
use crate::id;
use crate::object::{self, Named, Object};

/// Most endpoints that a service may ask for; it stops a slip of the pen from buying a fleet.
pub const MAX_ENDPOINTS: u32 = 100_000;
/// Largest share; it keeps sums of shares well inside their type.
pub const MAX_SHARE: u32 = 1_000_000;
/// Longest bearer token in bytes; it bounds the head of a request.
pub const MAX_TOKEN: usize = 256;

quick_error! {
    /// A rule that a catalog breaks, with the object and its field.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Two objects have one name, or the list is not sorted.
        Order(object: Object) {
            display("{object}: field name: stands twice, or out of order")
        }
        /// A field names an object that is not there.
        Dangling(object: Object, field: &'static str, target: Object) {
            display("{object}: field {field}: there is no {target}")
        }
        /// A value is stated twice in one field.
        Repeated(object: Object, field: &'static str, value: String) {
            display("{object}: field {field}: {value} is stated twice")
        }
        /// A number that cannot be meant.
        Number(object: Object, field: &'static str, why: String) {
            display("{object}: field {field}: {why}")
        }
        /// A text that cannot be taken; tokens are never shown.
        Text(object: Object, field: &'static str, why: &'static str) {
            display("{object}: field {field}: {why}")
        }
        /// Two workspaces have one token.
        Shared(object: Object, other: id::Workspace) {
            display("{object}: field tokens: workspace {other} has one of these tokens")
        }
        /// The service's model is not the one that the adapter goes on.
        Mismatch(object: Object, adapter: id::Adapter, model: id::Model) {
            display("{object}: field adapters: adapter {adapter} goes on model {model}")
        }
    }
}

impl Error {
    /// The object that breaks the rule.
    #[must_use]
    pub fn object(&self) -> &Object {
        match self {
            Self::Order(object)
            | Self::Dangling(object, ..)
            | Self::Repeated(object, ..)
            | Self::Number(object, ..)
            | Self::Text(object, ..)
            | Self::Shared(object, ..)
            | Self::Mismatch(object, ..) => object,
        }
    }

    /// The field that breaks the rule.
    #[must_use]
    pub fn field(&self) -> &'static str {
        match self {
            Self::Order(_) => "name",
            Self::Dangling(_, field, _)
            | Self::Repeated(_, field, _)
            | Self::Number(_, field, _)
            | Self::Text(_, field, _) => field,
            Self::Shared(..) => "tokens",
            Self::Mismatch(..) => "adapters",
        }
    }
}

impl Catalog {
    /// Checks every rule that can be checked on the catalog alone.
    ///
    /// # Errors
    /// The first rule that is broken, with the object and its field.
    pub fn check(&self) -> Result<(), Error> {
        sorted(&self.services)?;
        sorted(&self.workspaces)?;
        sorted(&self.models)?;
        sorted(&self.adapters)?;
        sorted(&self.placements)?;
        for adapter in &self.adapters {
            check_adapter(self, adapter)?;
        }
        for service in &self.services {
            check_service(self, service)?;
        }
        for placement in &self.placements {
            check_placement(self, placement)?;
        }
        for workspace in &self.workspaces {
            check_workspace(workspace)?;
        }
        check_tokens(&self.workspaces)
    }
}

/// Names an object of the catalog.
pub(crate) fn object<T: Named>(item: &T) -> Object {
    Object::new(T::KIND, item.name())
}

fn sorted<T: Named>(list: &[T]) -> Result<(), Error> {
    let wrong = list.windows(2).find(|two| two[0].name() >= two[1].name());
    match wrong {
        Some(two) => Err(Error::Order(object(&two[1]))),
        None => Ok(()),
    }
}

/// Finds a value that stands twice; fields are short, so pairs are compared.
fn repeated<T: PartialEq>(list: &[T]) -> Option<&T> {
    let mut rest = list.iter().enumerate();
    rest.find_map(|(at, item)| list[..at].contains(item).then_some(item))
}

fn check_adapter(catalog: &Catalog, adapter: &Adapter) -> Result<(), Error> {
    has_model(catalog, object(adapter), &adapter.model)
}

fn has_model(catalog: &Catalog, object: Object, model: &id::Model) -> Result<(), Error> {
    if object::find(&catalog.models, model.as_str()).is_some() {
        return Ok(());
    }
    let target = Object::new(object::Kind::Model, model.as_str());
    Err(Error::Dangling(object, "model", target))
}

fn check_service(catalog: &Catalog, service: &Service) -> Result<(), Error> {
    let at = object(service);
    if service.max != 0 && service.min > service.max {
        let why = format!("{} is more than max {}", service.min, service.max);
        return Err(Error::Number(at, "min", why));
    }
    for (field, count) in [("min", service.min), ("max", service.max)] {
        if count > MAX_ENDPOINTS {
            let why = format!("{count} is more than {MAX_ENDPOINTS}");
            return Err(Error::Number(at, field, why));
        }
    }
    if service.target.first.0 == 0 {
        return Err(Error::Number(at, "target.first", "0 cannot be kept".into()));
    }
    match &service.kind {
        Kind::Model { model, adapters } => {
            has_model(catalog, at.clone(), model)?;
            check_adapters(catalog, at, model, adapters)
        }
        Kind::Plain { non_idempotent } => check_prefixes(at, non_idempotent),
    }
}

fn check_adapters(
    catalog: &Catalog,
    at: Object,
    model: &id::Model,
    adapters: &[id::Adapter],
) -> Result<(), Error> {
    if let Some(twice) = repeated(adapters) {
        return Err(Error::Repeated(at, "adapters", twice.to_string()));
    }
    for name in adapters {
        let Some(adapter) = object::find(&catalog.adapters, name.as_str()) else {
            let target = Object::new(object::Kind::Adapter, name.as_str());
            return Err(Error::Dangling(at, "adapters", target));
        };
        if adapter.model != *model {
            return Err(Error::Mismatch(at, name.clone(), adapter.model.clone()));
        }
    }
    Ok(())
}

fn check_prefixes(at: Object, prefixes: &[String]) -> Result<(), Error> {
    if prefixes.iter().any(|prefix| !prefix.starts_with('/')) {
        return Err(Error::Text(at, "non_idempotent", "a path begins with /"));
    }
    match repeated(prefixes) {
        Some(twice) => Err(Error::Repeated(at, "non_idempotent", twice.clone())),
        None => Ok(()),
    }
}

fn check_placement(catalog: &Catalog, placement: &Placement) -> Result<(), Error> {
    let at = object(placement);
    let name = placement.service.as_str();
    let Some(service) = object::find(&catalog.services, name) else {
        let target = Object::new(object::Kind::Service, name);
        return Err(Error::Dangling(at, "service", target));
    };
    if let Some(twice) = repeated(&placement.domains) {
        return Err(Error::Repeated(at, "domains", twice.to_string()));
    }
    if let Some(twice) = repeated(&placement.classes) {
        return Err(Error::Repeated(at, "classes", twice.to_string()));
    }
    let most = if service.max == 0 {
        MAX_ENDPOINTS
    } else {
        service.max
    };
    if placement.on_demand > most {
        let why = format!(
            "{} is more than the {most} of the service",
            placement.on_demand
        );
        return Err(Error::Number(at, "on_demand", why));
    }
    Ok(())
}

fn check_workspace(workspace: &Workspace) -> Result<(), Error> {
    let at = object(workspace);
    if workspace.share == 0 || workspace.share > MAX_SHARE {
        let why = format!("{} is not within 1 to {MAX_SHARE}", workspace.share);
        return Err(Error::Number(at, "share", why));
    }
    if workspace.tokens.is_empty() {
        return Err(Error::Text(at, "tokens", "at least one is needed"));
    }
    if workspace.tokens.iter().any(String::is_empty) {
        return Err(Error::Text(at, "tokens", "a token is empty"));
    }
    if workspace.tokens.iter().any(|token| token.len() > MAX_TOKEN) {
        return Err(Error::Text(at, "tokens", "a token is over 256 bytes"));
    }
    let graphic = |token: &String| token.bytes().all(|byte| byte.is_ascii_graphic());
    if !workspace.tokens.iter().all(graphic) {
        return Err(Error::Text(
            at,
            "tokens",
            "a token has a blank or a character beyond ASCII",
        ));
    }
    Ok(())
}

/// No token belongs to two workspaces, or stands twice in one.
fn check_tokens(workspaces: &[Workspace]) -> Result<(), Error> {
    let owners = workspaces
        .iter()
        .flat_map(|owner| owner.tokens.iter().map(move |token| (token, owner)));
    let mut owners: Vec<(&String, &Workspace)> = owners.collect();
    owners.sort_by(|a, b| a.0.cmp(b.0).then_with(|| a.1.name.cmp(&b.1.name)));
    let Some(two) = owners.windows(2).find(|two| two[0].0 == two[1].0) else {
        return Ok(());
    };
    let (first, second) = (two[0].1, two[1].1);
    if first.name == second.name {
        return Err(Error::Text(
            object(second),
            "tokens",
            "a token stands twice",
        ));
    }
    Err(Error::Shared(object(second), first.name.clone()))
}
