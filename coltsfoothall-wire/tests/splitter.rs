//! Splitting of streams at event boundaries.

use bytes::Bytes;
use coltsfoothall_wire::sse::Splitter;

const STREAM: &[u8] = b"\n\nid: 1\ndata: a\n\r\ndata: b\r\n\r\n\nid: 2\ndata: c\n\nid: 3\nda";
/// Bytes of the complete events in it.
const COMPLETE: usize = STREAM.len() - b"id: 3\nda".len();

/// Guards against boundaries that depend on the parts in which a stream arrives.
#[test]
fn any_parts() {
    for size in 1..=STREAM.len() {
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        for part in STREAM.chunks(size) {
            if let Some(events) = splitter.push(Bytes::copy_from_slice(part)) {
                out.extend_from_slice(&events);
            }
        }
        assert_eq!(out, &STREAM[..COMPLETE], "parts of {size}");
        assert_eq!((splitter.events(), splitter.last()), (6, Some("2")));
        assert_eq!(splitter.buffered(), STREAM.len() - COMPLETE);
        splitter.discard();
        assert_eq!(splitter.push(Bytes::from("\n")), Some(Bytes::from("\n")));
    }
}
