//! `read_steady` limits the pause between frames of a body, not the time for the complete body.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall_wire::http::{Error, read_steady};
use futures_util::stream::{self, Stream, StreamExt};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::time::{Instant, sleep};

const PAUSE: Duration = Duration::from_secs(2);

/// A body of frames of 1 KiB each, with one frame after each of these pauses.
fn body(pauses: Vec<Duration>) -> StreamBody<impl Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let frames = stream::iter(pauses).then(async |pause| {
        sleep(pause).await;
        Ok(Frame::data(Bytes::from_static(&[7; 1024])))
    });
    StreamBody::new(frames)
}

#[tokio::test(start_paused = true)]
async fn slow_but_steady() {
    let started = Instant::now();
    let body = Box::pin(body(vec![PAUSE / 2; 20]));
    let read = read_steady(body, 1 << 20, PAUSE).await;
    assert_eq!(read.map(|bytes| bytes.len()).ok(), Some(20 << 10));
    assert_eq!(
        started.elapsed(),
        PAUSE * 10,
        "the total time is not limited"
    );
}

#[tokio::test(start_paused = true)]
async fn stalled() {
    let started = Instant::now();
    let pauses = vec![PAUSE / 2, PAUSE / 2, PAUSE * 30];
    let read = read_steady(Box::pin(body(pauses)), 1 << 20, PAUSE).await;
    assert!(matches!(read, Err(Error::Stalled(PAUSE))), "{read:?}");
    assert_eq!(started.elapsed(), PAUSE * 2);
}

#[tokio::test(start_paused = true)]
async fn over_limit() {
    let read = read_steady(Box::pin(body(vec![PAUSE / 2; 20])), 4 << 10, PAUSE).await;
    assert!(matches!(read, Err(Error::Large(_))), "{read:?}");
}
