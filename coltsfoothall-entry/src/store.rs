//! A client of the platform's key-value service.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::Method;
use quick_error::quick_error;

use coltsfoothall_wire::client::{Client, Error as Call};
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::{Conflict, Entry, Grant, Lease, List, Put, Version};
use coltsfoothall_wire::uri::Target;

quick_error! {
    /// A failed call to the service.
    #[derive(Debug)]
    pub enum Error {
        /// Nothing was written: the call was never sent, or it was refused.
        Refused(message: String) {
            display("{message}")
        }
        /// The call may or may not have taken effect.
        Unknown(message: String) {
            display("{message}")
        }
        /// The key has another version than the one named.
        Conflict(current: Option<Box<Entry>>) {
            display("the stored version differs: {current:?}")
        }
        /// The lease has expired.
        Expired {
            display("the lease has expired")
        }
    }
}

/// The key-value service.
pub trait Store: Send + Sync + fmt::Debug {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>, Error>>;
    /// Writes a key if it has the version named; unconditionally if none is named.
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
    /// Acquires a lease.
    fn grant<'a>(&'a self, grant: Grant) -> BoxFuture<'a, Result<Lease, Error>>;
    /// Renews a lease.
    fn renew<'a>(&'a self, lease: u64) -> BoxFuture<'a, Result<Lease, Error>>;
    /// Releases a lease.
    fn revoke<'a>(&'a self, lease: u64) -> BoxFuture<'a, Result<(), Error>>;
}

/// A client of the service over HTTP.
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
    address: String,
    timeout: Duration,
}

impl Remote {
    /// Creates a client of the service at `address`; a call takes at most `timeout`.
    #[must_use]
    pub fn new(client: Client, address: String, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    async fn call(
        &self,
        step: &str,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        self.client
            .call(step, method, &self.address, path, body, timeout)
            .await
            .map_err(classify)
    }

    async fn delete(&self, step: &str, path: &str) -> Result<(), Error> {
        let done = self.call(step, Method::DELETE, path, Bytes::new(), self.timeout);
        done.await.map(|_body| ())
    }
}

/// Classifies a failed call by whether it may have written something.
fn classify(error: Call) -> Error {
    match error {
        Call::Status(_, _, 409, body) => match http::parse::<Conflict>(&body) {
            Ok(conflict) => Error::Conflict(conflict.current.map(Box::new)),
            Err(error) => Error::Unknown(error.to_string()),
        },
        Call::Status(_, _, 404, _) => Error::Expired,
        // The service answers with these statuses before it writes.
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
            let target = Target::new("/v1/kv").join(key);
            let got = self
                .call(
                    "store_get",
                    Method::GET,
                    target.as_str(),
                    Bytes::new(),
                    self.timeout,
                )
                .await;
            match got {
                Ok(body) => decode(&body).map(Some),
                Err(Error::Expired) => Ok(None),
                Err(error) => Err(error),
            }
        })
    }

    fn put<'a>(&'a self, key: &'a str, put: Put) -> BoxFuture<'a, Result<Entry, Error>> {
        Box::pin(async move {
            let target = Target::new("/v1/kv").join(key);
            let body = http::json(&put);
            decode(
                &self
                    .call(
                        "store_put",
                        Method::PUT,
                        target.as_str(),
                        body,
                        self.timeout,
                    )
                    .await?,
            )
        })
    }

    fn remove<'a>(&'a self, key: &'a str, version: Version) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let target = Target::new("/v1/kv")
                .join(key)
                .with("version", &version.to_string());
            self.delete("store_remove", target.as_str()).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<List, Error>> {
        Box::pin(async move {
            let target = Target::new("/v1/list").join(prefix);
            let path = target.as_str();
            decode(
                &self
                    .call("store_list", Method::GET, path, Bytes::new(), self.timeout)
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
            let target = Target::new("/v1/watch")
                .join(prefix)
                .with("after", &after.to_string())
                .with("wait_ms", &wait.as_millis().to_string());
            let path = target.as_str();
            let timeout = wait + self.timeout;
            decode(
                &self
                    .call("store_watch", Method::GET, path, Bytes::new(), timeout)
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
                    .call(step, Method::POST, "/v1/leases", body, self.timeout)
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
                    .call(step, Method::PUT, &path, Bytes::new(), self.timeout)
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
