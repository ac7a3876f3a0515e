//! Decoders of events, frames and JSON: the result does not depend on how the bytes are split, and
//! malformed input gives an error instead of a panic.

use coltsfoothall_wire::operator::{Catalog, Plan};
use coltsfoothall_wire::peer::{self, Frames, Piece};
use coltsfoothall_wire::sse::{Decoder, Event};
use coltsfoothall_wire::{caller::Prompt, http, limit, store};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use proptest::{prop_assert, prop_assert_eq, proptest};

/// Splits `bytes` into chunks of the lengths in `cuts`; the last chunk takes the remaining bytes.
fn split<'a>(bytes: &'a [u8], cuts: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let mut remaining = bytes;
    let mut cuts = cuts.iter().copied();
    std::iter::from_fn(move || {
        if remaining.is_empty() {
            return None;
        }
        let len = cuts.next().unwrap_or(remaining.len()).min(remaining.len());
        let (chunk, tail) = remaining.split_at(len.max(1));
        remaining = tail;
        Some(chunk)
    })
}

fn events(bytes: &[u8], cuts: &[usize]) -> Vec<Event> {
    let mut decoder = Decoder::new(limit::EVENT);
    let mut events = Vec::new();
    for chunk in split(bytes, cuts) {
        decoder.push(chunk);
        events.extend(std::iter::from_fn(|| decoder.next_event()));
    }
    events
}

/// Decodes a stream of frames; returns the pieces and the error that ended decoding, if any.
fn pieces(bytes: &[u8], cuts: &[usize]) -> (Vec<Piece>, Option<String>) {
    let mut frames = Frames::default();
    let mut pieces = Vec::new();
    for chunk in split(bytes, cuts) {
        frames.push(chunk);
        loop {
            match frames.take::<Piece>() {
                Ok(Some(piece)) => pieces.push(piece),
                Ok(None) => break,
                Err(error) => return (pieces, Some(error.to_string())),
            }
        }
    }
    (pieces, None)
}

fn event() -> impl Strategy<Value = Event> {
    let id = proptest::option::of("[0-9a-z]{1,8}");
    (id, "[^\r]{1,40}").prop_map(|(id, data)| Event { id, data })
}

fn piece() -> impl Strategy<Value = Piece> {
    let text = (any::<u64>(), ".{0,60}");
    prop_oneof![
        text.prop_map(|(tokens, text)| Piece::Text {
            tokens,
            text,
            finish: None
        }),
        proptest::strategy::Just(Piece::Moved),
    ]
}

/// A fixed seed, so that every run generates the same cases.
fn settings() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn events_split_anywhere(sent in vec(event(), 0..8), cuts in vec(1..20_usize, 0..40)) {
        let bytes: String = sent.iter().map(Event::encode).collect();
        let got = events(bytes.as_bytes(), &cuts);
        // Data is never empty (an event without data is skipped) and holds no carriage return (part
        // of a line end), so that every event is decoded as it was encoded.
        prop_assert_eq!(&got, &events(bytes.as_bytes(), &[]));
        prop_assert_eq!(got, sent);
    }

    #[test]
    fn events_malformed(bytes in vec(any::<u8>(), 0..400), cuts in vec(1..20_usize, 0..40)) {
        prop_assert_eq!(events(&bytes, &cuts), events(&bytes, &[]));
    }

    #[test]
    fn event_line_endings(bytes in "(id|data|:| |\r|\n|x|\u{e9}){0,60}", cuts in vec(1..5_usize, 0..60)) {
        prop_assert_eq!(events(bytes.as_bytes(), &cuts), events(bytes.as_bytes(), &[]));
    }

    #[test]
    fn frames_split_anywhere(sent in vec(piece(), 0..8), cuts in vec(1..20_usize, 0..40)) {
        let frames: Vec<_> = sent.iter().map(|piece| peer::frame(piece).unwrap()).collect();
        let bytes = frames.concat();
        prop_assert_eq!(pieces(&bytes, &cuts), (sent, None));
    }

    #[test]
    fn frames_malformed(bytes in vec(any::<u8>(), 0..400), cuts in vec(1..20_usize, 0..40)) {
        prop_assert_eq!(pieces(&bytes, &cuts), pieces(&bytes, &[]));
    }

    #[test]
    fn frame_with_altered_byte(sent in piece(), position in any::<proptest::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = peer::frame(&sent).unwrap().to_vec();
        let index = position.index(bytes.len());
        bytes[index] = byte;
        let (got, _error) = pieces(&bytes, &[]);
        prop_assert!(got.len() <= 1);
    }

    #[test]
    fn messages_malformed(bytes in vec(any::<u8>(), 0..200)) {
        // Any input gives a value or an error, never a panic.
        let _follow = peer::decode::<peer::Follow>(&bytes);
        let _table = peer::decode::<coltsfoothall::slot::Table>(&bytes);
        let _update = peer::decode::<Vec<coltsfoothall::replica::Update>>(&bytes);
        let _chunk = peer::decode::<coltsfoothall::replica::Chunk>(&bytes);
        let _heartbeat = peer::decode::<coltsfoothall::member::Heartbeat>(&bytes);
        let _config = peer::decode::<peer::Config>(&bytes);
        let _prompt = http::parse::<Prompt>(&bytes);
    }

    #[test]
    fn json_malformed(text in "[\\[\\]{}\",:0-9a-z .\\-]{0,120}") {
        let _prompt = http::parse::<Prompt>(text.as_bytes());
        let _plan = http::parse::<Plan>(text.as_bytes());
        let _catalog = http::parse::<Catalog>(text.as_bytes());
        let _list = http::parse::<store::List>(text.as_bytes());
    }

    #[test]
    fn prompt_round_trip(model in "[a-z]{1,9}", prompt in ".{0,60}", max_tokens in any::<u64>(), stream in any::<bool>()) {
        let prompt = Prompt { model, prompt, max_tokens, stream };
        prop_assert_eq!(http::parse::<Prompt>(&http::json(&prompt)).unwrap(), prompt);
    }
}

#[test]
fn frame_over_limit() {
    let mut bytes = (u32::MAX).to_be_bytes().to_vec();
    bytes.extend_from_slice(b"rest");
    let (got, error) = pieces(&bytes, &[]);
    assert!(got.is_empty());
    assert!(error.is_some_and(|error| error.starts_with("frame:")));
}

#[test]
fn deep_nesting() {
    let deep = "[".repeat(100_000);
    assert!(http::parse::<Catalog>(deep.as_bytes()).is_err());
    // 0x91 starts a MessagePack array of one element: 100,000 nested arrays.
    let deep = vec![0x91; 100_000];
    assert!(peer::decode::<peer::Follow>(&deep).is_err());
    assert!(peer::decode::<Vec<coltsfoothall::replica::Update>>(&deep).is_err());
}

#[test]
fn event_over_limit() {
    let mut decoder = Decoder::new(64);
    decoder.push(b"data: ");
    decoder.push(&[b'x'; 40]);
    assert!(!decoder.overflown());
    decoder.push(&[b'x'; 40]);
    assert!(decoder.next_event().is_none());
    assert!(decoder.overflown());
}
