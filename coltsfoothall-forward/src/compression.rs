//! Compression of messages between instances.

use std::io::{self, Read, Write};

use bytes::Bytes;
use coltsfoothall_wire::limit;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;

/// Compresses a value with gzip.
///
/// # Panics
/// Never, as writing to memory does not fail.
#[must_use]
pub fn compress(value: &[u8]) -> Bytes {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(value).and_then(|()| encoder.finish());
    written.expect("writing to a vector does not fail").into()
}

/// Decompresses a value.
///
/// # Errors
/// The input is not a compressed value, or the value exceeds the limit on messages.
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
