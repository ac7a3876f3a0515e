//! Frames of streamed answers between entry instances: a fault is decoded as it was encoded,
//! whichever of its optional fields are set. Encoded by position, an omitted field would shift the
//! fields behind it.

use coltsfoothall::size::Millis;
use coltsfoothall_wire::fault::{Code, Fault};
use coltsfoothall_wire::peer::{Frames, Piece, frame};

#[test]
fn fault_round_trip() {
    for case in 0..8 {
        let fault = Fault {
            field: (case & 1 > 0).then(|| "prompt".into()),
            retry_after_ms: (case & 2 > 0).then_some(Millis(100)),
            request: (case & 4 > 0).then(|| "k-1".parse().unwrap()),
            ..Fault::new(Code::Unavailable, "the request is owned elsewhere")
        };
        let sent = Piece::Fault(Box::new(fault));
        let mut frames = Frames::default();
        frames.push(&frame(&sent).unwrap());
        assert_eq!(frames.take::<Piece>().unwrap(), Some(sent), "case {case}");
    }
}
