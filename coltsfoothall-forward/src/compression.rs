//! Compression of what instances send each other.

use std::io::{self, Read, Write};

use bytes::Bytes;
use coltsfoothall_wire::limit;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;

/// Compresses a value.
///
/// # Panics
/// Never: what it writes to is memory.
#[must_use]
pub fn compress(value: &[u8]) -> Bytes {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(value).and_then(|()| encoder.finish());
    written.expect("a vector takes all that is written").into()
}

/// Restores a value.
///
/// # Errors
/// It is not a compressed value, or is larger than any message may be.
pub fn decompress(packed: &[u8]) -> io::Result<Bytes> {
    let mut value = Vec::new();
    let most = limit::FRAME as u64;
    GzDecoder::new(packed)
        .take(most + 1)
        .read_to_end(&mut value)?;
    if value.len() as u64 > most {
        return Err(io::Error::other(format!("larger than {most} bytes")));
    }
    Ok(Bytes::from(value))
}
