//! Scanners of paths and headers: whatever comes, the answer is a value or a typed error.

use std::sync::Arc;

use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall::record::Class;
use coltsfoothall::size::Millis;
use coltsfoothall_entry::intake;
use coltsfoothall_entry::path::{self, Path};
use coltsfoothall_entry::view::{Token, View};
use coltsfoothall_wire::fault::Code;
use coltsfoothall_wire::{header, limit};
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use proptest::{prop_assert, prop_assert_eq, proptest};

const OWN: [&str; 5] = [
    header::KEY,
    header::IDEMPOTENT,
    header::DEADLINE,
    header::CLASS,
    header::LAST_EVENT,
];

/// The same cases at every run.
fn settings() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A view with one workspace.
fn view() -> View {
    let workspace = "film".parse().expect("the name keeps the rules");
    View {
        catalog: Arc::new(Catalog {
            revision: Revision(1),
            ..Catalog::default()
        }),
        tokens: vec![Token {
            token: "token".into(),
            workspace,
        }],
        ..View::default()
    }
}

fn headers(name: &str, value: &[u8]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", HeaderValue::from_static("Bearer token"));
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    headers.insert(name, HeaderValue::from_bytes(value).ok()?);
    Some(headers)
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn path_any(text in ".{0,60}") {
        let _path = path::scan(&text);
    }

    #[test]
    fn path_service(name in "[A-Za-z0-9._:-]{1,20}", rest in "([/?][ -~]{0,20})?") {
        let target = format!("/v1/services/{name}{rest}");
        let want = if rest.is_empty() { "/" } else { rest.as_str() };
        prop_assert_eq!(path::scan(&target), Some(Path::Service { name: &name, rest: want }));
    }

    #[test]
    fn path_query(query in "[ -~]{0,20}", key in "[A-Za-z0-9._:-]{1,20}") {
        let target = format!("/v1/completions?{query}");
        prop_assert_eq!(path::scan(&target), Some(Path::Completions));
        let target = format!("/v1/requests/{key}?{query}");
        prop_assert_eq!(path::scan(&target), Some(Path::Request(&key)));
    }

    #[test]
    fn header_any(at in 0..OWN.len(), value in vec(any::<u8>(), 0..30)) {
        let Some(headers) = headers(OWN[at], &value) else { return Ok(()) };
        match intake::head(&headers, &view(), Millis(1000)) {
            Ok(head) => {
                prop_assert!(head.deadline.0 > 0 && head.deadline <= Millis::from(limit::DEADLINE));
            }
            Err(fault) => {
                prop_assert_eq!(fault.code, Code::BadRequest);
                prop_assert_eq!(fault.field.as_deref(), Some(OWN[at]));
            }
        }
    }

    #[test]
    fn deadline_bounds(deadline in any::<u64>()) {
        let headers = headers(header::DEADLINE, deadline.to_string().as_bytes()).unwrap();
        let head = intake::head(&headers, &view(), Millis(1000));
        let fits = deadline > 0 && Millis(deadline) <= Millis::from(limit::DEADLINE);
        prop_assert_eq!(head.ok().map(|head| head.deadline), fits.then_some(Millis(deadline)));
    }

    #[test]
    fn token_any(value in vec(any::<u8>(), 0..30)) {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&value) {
            headers.insert("authorization", value);
        }
        let fault = intake::head(&headers, &view(), Millis(1000)).expect_err("no token is known");
        prop_assert_eq!(fault.code, Code::Unauthorized);
    }

    #[test]
    fn prompt_any(body in vec(any::<u8>(), 0..100)) {
        if let Err(fault) = intake::prompt(&body) {
            prop_assert!(fault.field.is_some());
        }
    }
}

#[test]
fn header_absent() {
    let headers = headers("x-other", b"1").expect("a header");
    let head = intake::head(&headers, &view(), Millis(1000)).expect("all have defaults");
    assert_eq!(
        (head.deadline, head.class, head.offset),
        (Millis(1000), Class::Interactive, 0)
    );
    assert_eq!((head.key, head.idempotent), (None, None));
}

#[test]
fn nothing_known() {
    let headers = headers("x-other", b"1").expect("a header");
    let fault = intake::head(&headers, &View::default(), Millis(1000));
    let fault = fault.expect_err("no configuration is known");
    assert_eq!(fault.code, Code::Unavailable);
    assert!(fault.retry_after_ms.is_some());
}
