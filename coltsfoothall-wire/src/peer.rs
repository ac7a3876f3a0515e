//! Messages between entry instances.
//!
//! `POST /v1/follow` with a [`Follow`] is answered with a stream of [`Piece`]s.
//! All else goes through [`Peer`], whose connection opens as `GET /v1/peer` and
//! upgrades. Both carry MessagePack, each frame behind its length.

use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use coltsfoothall::catalog::Catalog;
use coltsfoothall::fingerprint::Evidence;
use coltsfoothall::handoff::Handoff;
use coltsfoothall::id;
use coltsfoothall::key::{Epoch, Slot};
use coltsfoothall::member::Heartbeat;
use coltsfoothall::record::{Answer, End, Finish, Intake, Name};
use coltsfoothall::replica::{Ack, Chunk, Life, Taken, Update};
use coltsfoothall::size::Millis;
use coltsfoothall::slot::Table;
use quick_error::quick_error;

use crate::fault::Fault;
use crate::limit;

/// Path of the stream of pieces.
pub const FOLLOW: &str = "/v1/follow";
/// Path of the connection that upgrades.
pub const PEER: &str = "/v1/peer";
/// Protocol named in the upgrade.
pub const UPGRADE: &str = "coltsfoothall-peer";

/// Asks the owner of a request for its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// The request.
    pub name: Name,
    /// The request itself; without it only a known request is followed.
    pub intake: Option<Box<Intake>>,
    /// Tokens that the caller has already.
    pub offset: u64,
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Text up to `tokens` tokens of the answer.
    Text {
        /// Tokens of the answer up to the end of this piece.
        tokens: u64,
        /// The text.
        text: String,
        /// Set in the last piece.
        finish: Option<Finish>,
    },
    /// The whole answer of a plain service.
    Answer(Box<Answer>),
    /// The request ended.
    End {
        /// How.
        end: End,
        /// When its caller may come back, if it was given up.
        retry_after_ms: Option<Millis>,
    },
    /// Another entry instance owns the request now.
    Moved,
    /// The request was refused.
    Fault(Box<Fault>),
}

quick_error! {
    /// A frame that cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// Its length is over the limit.
        Length(message: String) {
            display("frame: {message}")
        }
        /// Its contents are not the message that was expected.
        Message(message: String) {
            display("message: {message}")
        }
    }
}

/// The framing of all messages between entry instances.
#[must_use]
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit::FRAME)
        .new_codec()
}

/// A message as MessagePack, without a frame.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    rmp_serde::to_vec(message)
        .expect("messages have no shape that MessagePack refuses")
        .into()
}

/// A message from MessagePack.
///
/// # Errors
/// The bytes are not that message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|error| Error::Message(error.to_string()))
}

/// A message as one frame.
///
/// # Errors
/// The message is longer than a frame may be.
pub fn frame<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    let mut framed = BytesMut::new();
    // Named fields: a fault leaves out those that it does not have.
    let body = rmp_serde::to_vec_named(message)
        .map(Bytes::from)
        .expect("messages have no shape that MessagePack refuses");
    codec()
        .encode(body, &mut framed)
        .map_err(|error| Error::Length(error.to_string()))?;
    Ok(framed.freeze())
}

/// A stream of bytes cut into messages.
#[derive(Debug)]
pub struct Frames {
    codec: LengthDelimitedCodec,
    rest: BytesMut,
}

impl Default for Frames {
    fn default() -> Self {
        Self {
            codec: codec(),
            rest: BytesMut::new(),
        }
    }
}

impl Frames {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Takes the next whole message.
    ///
    /// # Errors
    /// The frame is too long, or is not that message; the stream cannot go on.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        let frame = self.codec.decode(&mut self.rest);
        match frame.map_err(|error| Error::Length(error.to_string()))? {
            Some(frame) => decode(&frame).map(Some),
            None => Ok(None),
        }
    }
}

/// A configuration from another entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The instance that sends it.
    pub from: id::Instance,
    /// Time since it knew that this was current; none if it never did.
    pub age: Option<Millis>,
    /// The configuration.
    pub catalog: Catalog,
}

/// Calls between entry instances.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn beat(heartbeat: Heartbeat) -> Heartbeat;
    /// Asks for the configuration in force.
    async fn config() -> Option<Config>;
    /// Asks for the newest slot table that the instance knows.
    async fn table() -> Table;
    /// Applies changes of `from` to copies of records; one answer for each.
    async fn update(from: id::Instance, updates: Vec<Update>) -> Vec<Ack>;
    /// Takes in a piece of a whole copy.
    async fn import(chunk: Chunk) -> Taken;
    /// Lets the backup act as owner; false if its copy lacks a change.
    async fn hand_over(handoff: Handoff) -> bool;
    /// Tells the backup that the slot's owner has lost its records; false if
    /// there is no copy here either.
    async fn cede(slot: Slot, epoch: Epoch) -> bool;
    /// Asks a leaving backup to drop its copy for good. The process that has none left says
    /// which it is; none may still take the slot over.
    async fn dismiss(slot: Slot, epoch: Epoch) -> Option<Life>;
    /// Cancels a request; false if it is not open there.
    async fn cancel(name: Name) -> bool;
    /// Tells evidence against requests, at most what a docket holds. Nothing told
    /// asks for all; else the answer is empty.
    async fn evidence(told: Vec<Evidence>) -> Vec<Evidence>;
    /// Passes on that an instance was given notice.
    async fn notice(instance: id::Instance);
}
