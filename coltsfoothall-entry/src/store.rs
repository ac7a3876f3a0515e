//! The platform's key-value service as the program uses it.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::Method;
use quick_error::quick_error;

use coltsfoothall_wire::client::{Client, Error as Call};
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::{Conflict, Entry, Grant, Lease, List, Put, Version};

quick_error! {
    /// A call to the service that failed.
    #[derive(Debug)]
    pub enum Error {
        /// Nothing was written: never sent, or refused.
        Refused(message: String) {
            display("{message}")
        }
        /// It may or may not have taken effect.
        Unknown(message: String) {
            display("{message}")
        }
        /// Another value was there.
        Conflict(current: Option<Box<Entry>>) {
            display("another value is there: {current:?}")
        }
        /// The lease has lapsed.
        Lapsed {
            display("the lease has lapsed")
        }
    }
}

/// The key-value service.
pub trait Store: Send + Sync + fmt::Debug {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>, Error>>;
    /// Writes a key if it has the version named.
    fn put<'a>(&'a self, key: &'a str, put: Put) -> BoxFuture<'a, Result<Entry, Error>>;
    /// Removes a key if it has the version named.
    fn remove<'a>(&'a self, key: &'a str, version: Version) -> BoxFuture<'a, Result<(), Error>>;
    /// Lists a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<List, Error>>;
    /// Waits for changes under a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<List, Error>>;
    /// Asks for a lease.
    fn grant<'a>(&'a self, grant: Grant) -> BoxFuture<'a, Result<Lease, Error>>;
    /// Renews a lease.
    fn renew<'a>(&'a self, lease: u64) -> BoxFuture<'a, Result<Lease, Error>>;
    /// Gives a lease back.
    fn revoke<'a>(&'a self, lease: u64) -> BoxFuture<'a, Result<(), Error>>;
}

/// The service over HTTP.
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
    peer: String,
    within: Duration,
}

impl Remote {
    /// The service at `peer`; a call takes at most `within`.
    #[must_use]
    pub fn new(client: Client, peer: String, within: Duration) -> Self {
        Self {
            client,
            peer,
            within,
        }
    }

    async fn call(
        &self,
        step: &str,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<Bytes, Error> {
        self.client
            .call(step, method, &self.peer, path, body, within)
            .await
            .map_err(sort)
    }

    async fn delete(&self, step: &str, path: &str) -> Result<(), Error> {
        let done = self.call(step, Method::DELETE, path, Bytes::new(), self.within);
        done.await.map(|_body| ())
    }
}

/// Tells what surely wrote nothing from what may have.
fn sort(error: Call) -> Error {
    match error {
        Call::Status(_, _, 409, body) => match http::parse::<Conflict>(&body) {
            Ok(conflict) => Error::Conflict(conflict.current.map(Box::new)),
            Err(error) => Error::Unknown(error.to_string()),
        },
        Call::Status(_, _, 404, _) => Error::Lapsed,
        // The service answers these before it writes.
        Call::Status(_, _, 400..=499 | 503, _) => Error::Refused(error.to_string()),
        _ if error.unsent() => Error::Refused(error.to_string()),
        _ => Error::Unknown(error.to_string()),
    }
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    http::parse(body).map_err(|error| Error::Unknown(error.to_string()))
}

impl Store for Remote {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>, Error>> {
        Box::pin(async move {
            let path = format!("/v1/kv/{key}");
            let got = self
                .call("store_get", Method::GET, &path, Bytes::new(), self.within)
                .await;
            match got {
                Ok(body) => decode(&body).map(Some),
                Err(Error::Lapsed) => Ok(None),
                Err(error) => Err(error),
            }
        })
    }

    fn put<'a>(&'a self, key: &'a str, put: Put) -> BoxFuture<'a, Result<Entry, Error>> {
        Box::pin(async move {
            let path = format!("/v1/kv/{key}");
            let body = http::json(&put);
            decode(
                &self
                    .call("store_put", Method::PUT, &path, body, self.within)
                    .await?,
            )
        })
    }

    fn remove<'a>(&'a self, key: &'a str, version: Version) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let path = format!("/v1/kv/{key}?version={version}");
            self.delete("store_remove", &path).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<List, Error>> {
        Box::pin(async move {
            let path = format!("/v1/list/{prefix}");
            decode(
                &self
                    .call("store_list", Method::GET, &path, Bytes::new(), self.within)
                    .await?,
            )
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<List, Error>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={wait_ms}");
            let within = wait + self.within;
            decode(
                &self
                    .call("store_watch", Method::GET, &path, Bytes::new(), within)
                    .await?,
            )
        })
    }

    fn grant<'a>(&'a self, grant: Grant) -> BoxFuture<'a, Result<Lease, Error>> {
        Box::pin(async move {
            let body = http::json(&grant);
            let step = "store_grant";
            decode(
                &self
                    .call(step, Method::POST, "/v1/leases", body, self.within)
                    .await?,
            )
        })
    }

    fn renew<'a>(&'a self, lease: u64) -> BoxFuture<'a, Result<Lease, Error>> {
        Box::pin(async move {
            let path = format!("/v1/leases/{lease}");
            let step = "store_renew";
            decode(
                &self
                    .call(step, Method::PUT, &path, Bytes::new(), self.within)
                    .await?,
            )
        })
    }

    fn revoke<'a>(&'a self, lease: u64) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let path = format!("/v1/leases/{lease}");
            self.delete("store_revoke", &path).await
        })
    }
}
