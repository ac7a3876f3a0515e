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
pub fn decompress(compressed: &[u8]) -> io::Result<Bytes> {
    let mut value = Vec::new();
    let max_bytes = limit::FRAME as u64;
    GzDecoder::new(compressed)
        .take(max_bytes + 1)
        .read_to_end(&mut value)?;
    if value.len() as u64 > max_bytes {
        return Err(io::Error::other(format!("larger than {max_bytes} bytes")));
    }
    Ok(Bytes::from(value))
}
