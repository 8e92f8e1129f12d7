//! Frames to and from shard servers: a length of four bytes, a letter for the type, and the content.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Buf, BufMut, BytesMut};
use tokio::time::Instant;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum length of a received frame. A frame holds one value, and an answer to a client may be as long.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// One part in a call frame.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PartCall {
    pub id: Arc<str>,
    pub shard: u32,
    /// How long the gatherer waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    pub payload: Arc<str>,
}

/// A frame to a shard server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OutgoingFrame {
    Call(Vec<PartCall>),
    /// The gatherer no longer waits for the part with this id.
    Cancel(Arc<str>),
}

/// The result of a part, as its shard server reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallStatus {
    Done,
    Failed,
    /// The server rejected the part because of overload, without running it.
    Full,
}

/// A frame from a shard server.
#[derive(Debug, PartialEq)]
pub(crate) enum IncomingFrame {
    Answer {
        id: String,
        status: CallStatus,
        value: String,
    },
    /// The server could not decode a frame and closes the connection. The text is its reason.
    ProtocolError(String),
}

/// Why reading or writing frames failed.
#[derive(Debug)]
pub(crate) enum FrameError {
    Io(std::io::Error),
    Malformed(&'static str),
    /// The frame is longer than the memory that frames may take.
    MemoryLimit,
}

impl From<std::io::Error> for FrameError {
    fn from(error: std::io::Error) -> Self {
        FrameError::Io(error)
    }
}

/// Encodes and decodes frames. Clones share `partial_since`.
#[derive(Clone, Default)]
pub(crate) struct FrameCodec {
    /// When the frame that is only partly received began to arrive.
    pub partial_since: Rc<Cell<Option<Instant>>>,
}

impl Encoder<OutgoingFrame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: OutgoingFrame, out: &mut BytesMut) -> Result<(), FrameError> {
        let start = out.len();
        out.put_u32(0);
        match frame {
            OutgoingFrame::Call(parts) => {
                out.put_u8(b'S');
                for part in parts {
                    let line =
                        format!("{} {} d={} {}\n", part.id, part.shard, part.timeout_ms, part.payload.len());
                    out.put_slice(line.as_bytes());
                    out.put_slice(part.payload.as_bytes());
                }
            }
            OutgoingFrame::Cancel(id) => {
                out.put_u8(b'C');
                out.put_slice(id.as_bytes());
            }
        }
        let length = u32::try_from(out.len() - start - 4)
            .map_err(|_| FrameError::Malformed("length of an outgoing frame exceeds 32 bits"))?;
        out[start..start + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = IncomingFrame;
    type Error = FrameError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<IncomingFrame>, FrameError> {
        let decoded = decode_frame(bytes);
        // Servers write each frame whole, so the rest of a partly received frame is on its way.
        let is_partial = matches!(decoded, Ok(None)) && !bytes.is_empty();
        self.partial_since.set(is_partial.then(|| self.partial_since.get().unwrap_or_else(Instant::now)));
        decoded
    }
}

/// Returns the length of the frame that `bytes` begins with, including its length field, in bytes. Returns
/// `None` while the length field is incomplete, and if the length is over the maximum.
pub(crate) fn expected_frame_bytes(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_be_bytes(*bytes.first_chunk::<4>()?) as usize;
    (length <= MAX_FRAME_BYTES).then_some(4 + length)
}

/// Decodes the next frame once it is completely received. Fails as soon as the bytes cannot be a valid frame.
fn decode_frame(bytes: &mut BytesMut) -> Result<Option<IncomingFrame>, FrameError> {
    let Some(prefix) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::Malformed("frame length is zero or over the maximum"));
    }
    if bytes.get(4).is_some_and(|letter| !b"RF".contains(letter)) {
        return Err(FrameError::Malformed("unknown frame type"));
    }
    if bytes.len() < 4 + length {
        bytes.reserve(4 + length - bytes.len());
        return Ok(None);
    }
    bytes.advance(4);
    let frame = bytes.split_to(length);
    let content = &frame[1..];
    match frame[0] {
        b'R' => decode_answer(content)
            .map(Some)
            .ok_or(FrameError::Malformed("answer frame is not an id, a status and a value in UTF-8")),
        _ => Ok(Some(IncomingFrame::ProtocolError(String::from_utf8_lossy(content).into_owned()))),
    }
}

/// Decodes the status line and the value of an answer. The score and the report on the line are unused and
/// may hold anything. A value with a zero byte is invalid: it extends into the next frame, whose length field
/// starts with one.
fn decode_answer(content: &[u8]) -> Option<IncomingFrame> {
    let line_end = content.iter().position(|b| *b == b'\n')?;
    let (line, value) = (&content[..line_end], std::str::from_utf8(&content[line_end + 1..]).ok()?);
    let mut words = line.split(|b| *b == b' ');
    let id = std::str::from_utf8(words.next()?).ok().filter(|id| !id.is_empty())?.to_owned();
    let status = match words.next()? {
        b"done" => CallStatus::Done,
        b"failed" => CallStatus::Failed,
        b"full" => CallStatus::Full,
        _ => return None,
    };
    (!value.contains('\0')).then(|| IncomingFrame::Answer { id, status, value: value.to_owned() })
}

#[cfg(test)]
mod tests {
    use quickcheck::{Gen, QuickCheck};

    use super::*;

    fn encode(frame: OutgoingFrame) -> BytesMut {
        let mut bytes = BytesMut::new();
        FrameCodec::default().encode(frame, &mut bytes).expect("the frame is short");
        bytes
    }

    #[test]
    fn a_call_is_one_frame_of_lines_and_payloads() {
        let part =
            |id: &str, shard| PartCall { id: id.into(), shard, timeout_ms: 240, payload: "c41e77d0".into() };
        let bytes = encode(OutgoingFrame::Call(vec![part("9b1f.3", 3), part("9b1f.9", 9)]));
        assert_eq!(&bytes[..], b"\0\0\0\x33S9b1f.3 3 d=240 8\nc41e77d09b1f.9 9 d=240 8\nc41e77d0");
        assert_eq!(&encode(OutgoingFrame::Cancel("9b1f.3".into()))[..], b"\0\0\0\x07C9b1f.3");
    }

    /// Guards against answers that depend on how their bytes are split over reads.
    #[test]
    fn answers_do_not_depend_on_how_their_bytes_are_split() {
        fn are_equal(cuts: Vec<u8>) -> bool {
            let contents: [&[u8]; 3] =
                [b"Ra.0 done 7 -\nv\n1", b"Ra.1 full 7 {\xff\0 1, 2\n", b"Ra.2 failed\n"];
            let framed = |content: &&[u8]| [&(content.len() as u32).to_be_bytes()[..], content].concat();
            let all: Vec<u8> = contents.iter().flat_map(framed).collect();
            let (mut bytes, mut answers, mut sent) = (BytesMut::new(), Vec::new(), 0);
            for cut in cuts.into_iter().map(usize::from).chain([all.len()]) {
                let next = (sent + cut).min(all.len());
                bytes.extend_from_slice(&all[sent..next]);
                sent = next;
                while let Some(answer) =
                    FrameCodec::default().decode(&mut bytes).expect("all frames are well formed")
                {
                    answers.push(answer);
                }
            }
            let expected = [
                ("a.0", CallStatus::Done, "v\n1"),
                ("a.1", CallStatus::Full, ""),
                ("a.2", CallStatus::Failed, ""),
            ];
            answers
                == expected.map(|(id, status, value)| IncomingFrame::Answer {
                    id: id.into(),
                    status,
                    value: value.into(),
                })
        }
        QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).quickcheck(are_equal as fn(Vec<u8>) -> bool);
    }

    /// Guards against corrupted values that reach clients, and against connections that stay in use after a
    /// malformed frame.
    #[test]
    fn malformed_frames_fail_as_soon_as_they_are_recognizable() {
        let malformed: [&[u8]; 8] = [
            b"\0\0\0\0",
            b"\xb3\0\0\0R",
            b"\0\0\0\x63Z",
            b"\0\0\0\x08Ra.0 don",
            b"\0\0\0\x0dRa.0 odd 7 -\n",
            b"\0\0\0\x0bR done 7 -\n",
            b"\0\0\0\x10Ra.0 done 7 -\n\xff\xfe",
            b"\0\0\0\x16Ra.0 done 7 -\nvalue\0\0\0",
        ];
        for bytes in malformed {
            assert!(matches!(decode_frame(&mut bytes.into()), Err(FrameError::Malformed(_))), "{bytes:?}");
        }
        let mut frames = FrameCodec::default();
        let mut bytes = BytesMut::from(&b"\0\0\0\x13Ra.0 done 7 -\nval"[..]);
        assert!(
            frames.decode(&mut bytes).is_ok_and(|got| got.is_none()) && frames.partial_since.get().is_some()
        );
        bytes.extend_from_slice(b"ue");
        assert!(
            frames.decode(&mut bytes).is_ok_and(|got| got.is_some()) && frames.partial_since.get().is_none()
        );
    }

    /// Guards against panics and endless loops on arbitrary bytes.
    #[test]
    fn decoding_arbitrary_bytes_ends_in_frames_an_error_or_a_wait_for_more() {
        fn terminates(bytes: Vec<u8>, length: u8) -> bool {
            let mut framed = BytesMut::from(&u32::from(length).to_be_bytes()[..]);
            framed.extend_from_slice(&bytes);
            for mut bytes in [BytesMut::from(&bytes[..]), framed] {
                let before = bytes.len();
                while let Ok(Some(_)) = FrameCodec::default().decode(&mut bytes) {}
                if bytes.len() > before {
                    return false;
                }
            }
            true
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(100, 7))
            .quickcheck(terminates as fn(Vec<u8>, u8) -> bool);
    }
}
