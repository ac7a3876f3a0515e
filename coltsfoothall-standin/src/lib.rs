//! Stand-ins for the platform and the endpoints, for runs on one machine.
//!
//! State is pure and takes the time of each call; servers put it behind HTTP.
//!
//! ```
//! use coltsfoothall::clock::Time;
//! use coltsfoothall_standin::kv::Store;
//! use coltsfoothall_wire::store::Put;
//!
//! let put = Put { value: "a".into(), version: Some(0), lease: None };
//! let mut store = Store::default();
//! assert_eq!(store.put(Time::START, "key", put.clone()).unwrap().version, 1);
//! assert!(store.put(Time::START, "key", put).is_err());
//! ```

pub mod batch;
pub mod cache;
pub mod cloud;
pub mod cloudserver;
pub mod denial;
pub mod engine;
pub mod fault;
pub mod kv;
pub mod kvserver;
pub mod model;
pub mod platform;
pub mod query;
pub mod rate;
pub mod report;
pub mod service;
pub mod setting;
pub mod start;
pub mod stock;
pub mod stream;
pub mod weights;
