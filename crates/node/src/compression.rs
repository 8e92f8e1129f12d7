//! Compression of configurations and long messages. They are sent to every process over links of low
//! bandwidth, so they are deflated, and they are embedded in lines of JSON, so the result is encoded as
//! base64.

#[cfg(test)]
mod tests;

use std::io::{self, Read as _, Write as _};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Longest content that is decompressed: more than any message may hold. Longer content is truncated.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;

/// Why a text cannot be decompressed: it was not produced by [`compress`].
#[derive(Debug, Display, Error, From)]
pub enum DecompressError {
    /// The text is not base64.
    #[display("not base64: {_0}")]
    Encoding(base64::DecodeError),
    /// The decoded text is not a deflate stream.
    #[display("not a deflate stream: {_0}")]
    Stream(io::Error),
}

/// Compresses content to a base64 text.
#[must_use]
pub fn compress(content: &[u8]) -> String {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(content).and_then(|()| encoder.finish());
    // Writing to a vector cannot fail.
    STANDARD_NO_PAD.encode(compressed.unwrap_or_default())
}

/// Returns the content of a text that [`compress`] produced.
///
/// # Errors
///
/// If the text is not base64 or not a deflate stream.
pub fn decompress(text: &str) -> Result<Vec<u8>, DecompressError> {
    let compressed = STANDARD_NO_PAD.decode(text)?;
    let mut content = Vec::new();
    DeflateDecoder::new(&*compressed).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut content)?;
    Ok(content)
}
