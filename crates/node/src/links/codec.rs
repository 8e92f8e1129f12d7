//! A message as a line of JSON, and back.

#[cfg(test)]
mod tests;

use std::rc::Rc;

use derive_more::{Display, Error, From};

use super::Message;
use crate::compression::{self, DecompressError};

/// Messages longer than this are compressed, in bytes.
const MAX_UNCOMPRESSED_BYTES: usize = 1200;

/// Why a line is no message.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// It is not JSON, or no message that this release knows.
    #[display("no message: {_0}")]
    Json(serde_json::Error),
    /// It is a compressed message that cannot be decompressed.
    #[display("no compressed message: {_0}")]
    Compression(DecompressError),
}

/// A message as a line, with its end.
///
/// # Errors
///
/// None that is known: all fields of messages have a form in JSON.
pub fn encode(message: &Message) -> Result<Rc<str>, serde_json::Error> {
    let mut text = serde_json::to_string(message)?;
    let has_compressed_content = matches!(message, Message::Config(_));
    if text.len() > MAX_UNCOMPRESSED_BYTES && !has_compressed_content {
        text = serde_json::to_string(&Message::Compressed(compression::compress(text.as_bytes())))?;
    }
    text.push('\n');
    Ok(text.into())
}

/// The message in a line.
///
/// # Errors
///
/// Where the line is none.
pub fn decode(line: &[u8]) -> Result<Message, DecodeError> {
    match serde_json::from_slice(line)? {
        Message::Compressed(text) => Ok(serde_json::from_slice(&compression::decompress(&text)?)?),
        message => Ok(message),
    }
}
