//! Messages between entry instances.
//!
//! `POST /v1/follow` with a [`Follow`] is answered with a stream of [`Piece`]s.
//! All other calls use the RPC service [`Peer`], whose connection starts as `GET /v1/peer` and
//! is upgraded. Both carry MessagePack in length-prefixed frames.

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

/// Path of the call that streams [`Piece`]s.
pub const FOLLOW: &str = "/v1/follow";
/// Path of the request that upgrades the connection for [`Peer`].
pub const PEER: &str = "/v1/peer";
/// Protocol name in the `Upgrade` header.
pub const UPGRADE: &str = "coltsfoothall-peer";

/// Asks the instance that owns a request for its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// Name of the request.
    pub name: Name,
    /// Contents of the request, so that the owner can start it. Without them, only a request that
    /// the owner already knows is followed.
    pub intake: Option<Box<Intake>>,
    /// Number of tokens that the caller has already received.
    pub offset: u64,
}

/// Part of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Generated text.
    Text {
        /// Number of tokens of the answer up to the end of this piece.
        tokens: u64,
        /// Text of this piece.
        text: String,
        /// Why generation ended; set only in the last piece.
        finish: Option<Finish>,
    },
    /// The complete answer of a plain service.
    Answer(Box<Answer>),
    /// The request ended.
    End {
        /// How it ended.
        end: End,
        /// Delay before the caller may retry, if the request was given up.
        retry_after_ms: Option<Millis>,
    },
    /// Another entry instance now owns the request.
    Moved,
    /// The request was refused.
    Fault(Box<Fault>),
}

quick_error! {
    /// A frame that cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// The length of the frame is over the limit.
        Length(message: String) {
            display("frame: {message}")
        }
        /// The contents of the frame are not the expected message.
        Message(message: String) {
            display("message: {message}")
        }
    }
}

/// Codec for the frames of all messages between entry instances.
#[must_use]
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit::FRAME)
        .new_codec()
}

/// Serializes a message to MessagePack, without framing it.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    rmp_serde::to_vec(message)
        .expect("messages have only types that MessagePack can represent")
        .into()
}

/// Deserializes a message from MessagePack.
///
/// # Errors
/// The bytes are not a message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|error| Error::Message(error.to_string()))
}

/// Serializes a message to one frame.
///
/// # Errors
/// The message is longer than the maximum frame length.
pub fn frame<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    let mut framed = BytesMut::new();
    // Fields are encoded by name, because a fault omits those that are not set.
    let body = rmp_serde::to_vec_named(message)
        .map(Bytes::from)
        .expect("messages have only types that MessagePack can represent");
    codec()
        .encode(body, &mut framed)
        .map_err(|error| Error::Length(error.to_string()))?;
    Ok(framed.freeze())
}

/// Decodes messages from a stream of bytes.
#[derive(Debug)]
pub struct Frames {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Default for Frames {
    fn default() -> Self {
        Self {
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }
}

impl Frames {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete message from the buffer and returns it.
    ///
    /// # Errors
    /// The frame is too long or is not a message of type `T`; the stream cannot be decoded further.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        let frame = self.codec.decode(&mut self.buffer);
        match frame.map_err(|error| Error::Length(error.to_string()))? {
            Some(frame) => decode(&frame).map(Some),
            None => Ok(None),
        }
    }
}

/// A configuration sent by another entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The instance that sends it.
    pub from: id::Instance,
    /// Time since the sender last knew that the configuration was current; `None` if it never did.
    pub age: Option<Millis>,
    /// The configuration.
    pub catalog: Catalog,
}

/// Calls between entry instances.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn beat(heartbeat: Heartbeat) -> Heartbeat;
    /// Returns the configuration in force.
    async fn config() -> Option<Config>;
    /// Returns the newest slot table that the instance knows.
    async fn table() -> Table;
    /// Applies changes that `from` made to records to the copies of these records; returns one
    /// acknowledgement per change.
    async fn update(from: id::Instance, updates: Vec<Update>) -> Vec<Ack>;
    /// Imports one chunk of a complete copy.
    async fn import(chunk: Chunk) -> Taken;
    /// Makes the backup act as primary; returns false if its copy lacks a change.
    async fn hand_over(handoff: Handoff) -> bool;
    /// Tells the backup that the primary of the slot has lost its records; returns false if the
    /// backup has no copy either.
    async fn cede(slot: Slot, epoch: Epoch) -> bool;
    /// Asks a leaving backup to drop its copy permanently. A process that has no copy left
    /// answers with its identity; `None` means that it may still take over the slot.
    async fn dismiss(slot: Slot, epoch: Epoch) -> Option<Life>;
    /// Cancels a request; returns false if it is not open on the instance.
    async fn cancel(name: Name) -> bool;
    /// Reports evidence against requests, at most as much as a suspicion tracker holds. An empty
    /// report asks for all evidence of the instance; otherwise the answer is empty.
    async fn evidence(told: Vec<Evidence>) -> Vec<Evidence>;
    /// Forwards the notice that an instance will be reclaimed.
    async fn notice(instance: id::Instance);
}
