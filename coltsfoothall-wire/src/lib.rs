//! Message types and HTTP plumbing of coltsfoothall: messages to and from callers, operators,
//! peers, the platform and endpoints, with their size limits.
//!
//! ```
//! use coltsfoothall_wire::fault::{Code, Fault, Outcome};
//!
//! let fault = Fault::new(Code::Overloaded, "queue of service turni-llm is full");
//! assert_eq!(fault.outcome, Outcome::NotRun);
//! ```

pub mod body;
pub mod caller;
pub mod client;
pub mod cloud;
pub mod engine;
pub mod fault;
pub mod header;
pub mod http;
pub mod limit;
pub mod operator;
pub mod peer;
pub mod serve;
pub mod sse;
pub mod store;
pub mod uri;
