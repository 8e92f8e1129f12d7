//! Compression of configurations and long messages: deflated, for they go to every process and links are narrow, and
//! encoded as base64, for they stand in lines of JSON.

#[cfg(test)]
mod tests;

use std::io::{self, Read as _, Write as _};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The longest content that is decompressed, in bytes: more than any message may hold.
const MAX_DECOMPRESSED: u64 = 64 << 20;

/// Why a text cannot be decompressed. Whoever sent it did not compress it with [`compress`].
#[derive(Debug, Display, Error, From)]
pub enum DecompressError {
    /// It is not base64.
    #[display("not base64: {_0}")]
    Encoding(base64::DecodeError),
    /// It is not a deflate stream.
    #[display("not deflated: {_0}")]
    Stream(io::Error),
}

/// Compresses content into text.
#[must_use]
pub fn compress(content: &[u8]) -> String {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(content).and_then(|()| encoder.finish());
    // Writing into a vector does not fail.
    STANDARD_NO_PAD.encode(compressed.unwrap_or_default())
}

/// The content that was compressed.
///
/// # Errors
///
/// Where the text was not compressed with [`compress`].
pub fn decompress(text: &str) -> Result<Vec<u8>, DecompressError> {
    let compressed = STANDARD_NO_PAD.decode(text)?;
    let mut content = Vec::new();
    DeflateDecoder::new(&*compressed).take(MAX_DECOMPRESSED).read_to_end(&mut content)?;
    Ok(content)
}
