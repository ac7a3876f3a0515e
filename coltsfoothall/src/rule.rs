//! Validation rules that every catalog satisfies, whoever wrote it.

use quick_error::quick_error;

use crate::catalog::{Adapter, Catalog, Kind, Placement, Service, Workspace};
use crate::id;
use crate::object::{self, Named, Object};

/// Maximum number of endpoints of one service, so that a typing error cannot buy a fleet.
pub const MAX_ENDPOINTS: u32 = 100_000;
/// Maximum share of a workspace, so that sums of shares cannot overflow.
pub const MAX_SHARE: u32 = 1_000_000;
/// Maximum length of a bearer token in bytes; it bounds the size of request headers.
pub const MAX_TOKEN_BYTES: usize = 256;

quick_error! {
    /// A rule violation in a catalog, with the object and its field.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Two objects have the same name, or the list is not sorted.
        Order(object: Object) {
            display("{object}: field name: duplicate or out of order")
        }
        /// A field refers to an object that does not exist.
        Dangling(object: Object, field: &'static str, target: Object) {
            display("{object}: field {field}: there is no {target}")
        }
        /// A field contains the same value duplicate.
        Repeated(object: Object, field: &'static str, value: String) {
            display("{object}: field {field}: {value} is stated twice")
        }
        /// A number is out of range.
        Number(object: Object, field: &'static str, reason: String) {
            display("{object}: field {field}: {reason}")
        }
        /// A text is not valid. Tokens are never shown.
        Text(object: Object, field: &'static str, reason: &'static str) {
            display("{object}: field {field}: {reason}")
        }
        /// Two workspaces have a token in common.
        Shared(object: Object, other: id::Workspace) {
            display("{object}: field tokens: workspace {other} has one of these tokens")
        }
        /// The adapter extends a different model than the service's.
        Mismatch(object: Object, adapter: id::Adapter, model: id::Model) {
            display("{object}: field adapters: adapter {adapter} is for model {model}")
        }
    }
}

impl Error {
    /// The object that violates the rule.
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

    /// The field that violates the rule.
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
    /// Checks all rules that can be checked on the catalog alone.
    ///
    /// # Errors
    /// The first rule that is violated, with the object and its field.
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

/// A reference to an object of the catalog.
pub(crate) fn object<T: Named>(item: &T) -> Object {
    Object::new(T::KIND, item.name())
}

fn sorted<T: Named>(list: &[T]) -> Result<(), Error> {
    let wrong = list
        .windows(2)
        .find(|pair| pair[0].name() >= pair[1].name());
    match wrong {
        Some(pair) => Err(Error::Order(object(&pair[1]))),
        None => Ok(()),
    }
}

/// Finds a value that occurs duplicate. Fields are short, so all pairs are compared.
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
        let reason = format!("{} is more than max {}", service.min, service.max);
        return Err(Error::Number(at, "min", reason));
    }
    for (field, count) in [("min", service.min), ("max", service.max)] {
        if count > MAX_ENDPOINTS {
            let reason = format!("{count} is more than {MAX_ENDPOINTS}");
            return Err(Error::Number(at, field, reason));
        }
    }
    if service.target.first.0 == 0 {
        return Err(Error::Number(
            at,
            "target.first",
            "must be greater than 0".into(),
        ));
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
    if let Some(duplicate) = repeated(adapters) {
        return Err(Error::Repeated(at, "adapters", duplicate.to_string()));
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
        return Err(Error::Text(
            at,
            "non_idempotent",
            "a path must begin with /",
        ));
    }
    match repeated(prefixes) {
        Some(duplicate) => Err(Error::Repeated(at, "non_idempotent", duplicate.clone())),
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
    if let Some(duplicate) = repeated(&placement.domains) {
        return Err(Error::Repeated(at, "domains", duplicate.to_string()));
    }
    if let Some(duplicate) = repeated(&placement.classes) {
        return Err(Error::Repeated(at, "classes", duplicate.to_string()));
    }
    let max_endpoints = if service.max == 0 {
        MAX_ENDPOINTS
    } else {
        service.max
    };
    if placement.on_demand > max_endpoints {
        let reason = format!(
            "{} is more than the {max_endpoints} of the service",
            placement.on_demand
        );
        return Err(Error::Number(at, "on_demand", reason));
    }
    Ok(())
}

fn check_workspace(workspace: &Workspace) -> Result<(), Error> {
    let at = object(workspace);
    if workspace.share == 0 || workspace.share > MAX_SHARE {
        let reason = format!("{} is not within 1 to {MAX_SHARE}", workspace.share);
        return Err(Error::Number(at, "share", reason));
    }
    if workspace.tokens.is_empty() {
        return Err(Error::Text(at, "tokens", "at least one token is required"));
    }
    if workspace.tokens.iter().any(String::is_empty) {
        return Err(Error::Text(at, "tokens", "a token is empty"));
    }
    if workspace
        .tokens
        .iter()
        .any(|token| token.len() > MAX_TOKEN_BYTES)
    {
        return Err(Error::Text(at, "tokens", "a token is over 256 bytes"));
    }
    let graphic = |token: &String| token.bytes().all(|byte| byte.is_ascii_graphic());
    if !workspace.tokens.iter().all(graphic) {
        return Err(Error::Text(
            at,
            "tokens",
            "a token contains a blank, a control character or a non-ASCII character",
        ));
    }
    Ok(())
}

/// Checks that no token belongs to two workspaces or occurs twice in one.
fn check_tokens(workspaces: &[Workspace]) -> Result<(), Error> {
    let owners = workspaces
        .iter()
        .flat_map(|owner| owner.tokens.iter().map(move |token| (token, owner)));
    let mut owners: Vec<(&String, &Workspace)> = owners.collect();
    owners.sort_by(|a, b| a.0.cmp(b.0).then_with(|| a.1.name.cmp(&b.1.name)));
    let Some(pair) = owners.windows(2).find(|pair| pair[0].0 == pair[1].0) else {
        return Ok(());
    };
    let (first, second) = (pair[0].1, pair[1].1);
    if first.name == second.name {
        return Err(Error::Text(
            object(second),
            "tokens",
            "a token is listed twice",
        ));
    }
    Err(Error::Shared(object(second), first.name.clone()))
}
