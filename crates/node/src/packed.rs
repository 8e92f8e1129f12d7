//! A configuration's text on its way and on disk: deflated, for it goes to every process and links are narrow,
//! and as letters, for it stands in lines of JSON.

use std::io::{Read as _, Write as _};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The longest text that is unpacked, in bytes.
const TEXT_MOST: u64 = 64 << 20;

pub fn pack(text: &[u8]) -> String {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(text).and_then(|()| encoder.finish());
    STANDARD_NO_PAD.encode(packed.unwrap_or_default())
}

/// None where it was not packed here.
pub fn unpack(packed: &str) -> Option<Vec<u8>> {
    let bytes = STANDARD_NO_PAD.decode(packed).ok()?;
    let mut text = Vec::new();
    DeflateDecoder::new(&*bytes).take(TEXT_MOST).read_to_end(&mut text).ok()?;
    Some(text)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_packed_comes_back_and_is_shorter() {
        let text = r#"{"name":"r","host":"h.example","path-prefix":"/a/"},"#.repeat(300);
        let packed = pack(text.as_bytes());
        assert!(packed.len() * 10 < text.len());
        assert_eq!(unpack(&packed).as_deref(), Some(text.as_bytes()));
        assert_eq!(unpack("?"), None);
    }
}
