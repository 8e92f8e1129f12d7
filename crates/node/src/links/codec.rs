//! Encoding of messages as lines of JSON.

#[cfg(test)]
mod tests;

use std::rc::Rc;

use derive_more::{Display, Error, From};

use super::Message;
use crate::compression::{self, DecompressError};

/// Size of the longest message that is sent uncompressed.
const MAX_UNCOMPRESSED_BYTES: usize = 1200;

/// Reason why a line cannot be decoded.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// The line is not JSON, or not a message that this release knows.
    #[display("not a message: {_0}")]
    Json(serde_json::Error),
    /// The line is a compressed message that cannot be decompressed.
    #[display("not a compressed message: {_0}")]
    Compression(DecompressError),
}

/// Encodes a message as a line, including the line end.
///
/// # Errors
///
/// Fails if a field cannot be represented in JSON, which no existing message contains.
pub fn encode(message: &Message) -> Result<Rc<str>, serde_json::Error> {
    let mut text = serde_json::to_string(message)?;
    let has_compressed_content = matches!(message, Message::Config(_));
    if text.len() > MAX_UNCOMPRESSED_BYTES && !has_compressed_content {
        text = serde_json::to_string(&Message::Compressed(compression::compress(text.as_bytes())))?;
    }
    text.push('\n');
    Ok(text.into())
}

/// Decodes the message in a line.
///
/// # Errors
///
/// If the line is not a message.
pub fn decode(line: &[u8]) -> Result<Message, DecodeError> {
    match serde_json::from_slice(line)? {
        Message::Compressed(text) => Ok(serde_json::from_slice(&compression::decompress(&text)?)?),
        message => Ok(message),
    }
}
