//! Frames to and from shard servers: a length of four bytes, a letter, the rest.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Buf, BufMut, BytesMut};
use tokio::time::Instant;
use tokio_util::codec::{Decoder, Encoder};

/// The longest frame that is read: one value fits into an answer to a client, which holds as much.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// One part within a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PartCall {
    pub id: Arc<str>,
    pub shard: u32,
    /// How many milliseconds the gatherer will wait.
    pub timeout_ms: u64,
    pub payload: Arc<str>,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OutgoingFrame {
    Call(Vec<PartCall>),
    Cancel(Arc<str>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallStatus {
    Done,
    Failed,
    Full,
}

#[derive(Debug, PartialEq)]
pub(crate) enum IncomingFrame {
    Answer {
        id: String,
        status: CallStatus,
        value: String,
    },
    /// The frame before could not be used; the server closes.
    ProtocolError(String),
}

#[derive(Debug)]
pub(crate) enum FrameError {
    Io(std::io::Error),
    Malformed(&'static str),
    MemoryLimit,
}

impl From<std::io::Error> for FrameError {
    fn from(error: std::io::Error) -> Self {
        FrameError::Io(error)
    }
}

/// Reads and writes frames. It may be asked since when a frame has begun to come and is not whole.
#[derive(Clone, Default)]
pub(crate) struct FrameCodec {
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
                for p in parts {
                    let line = format!("{} {} d={} {}\n", p.id, p.shard, p.timeout_ms, p.payload.len());
                    out.put_slice(line.as_bytes());
                    out.put_slice(p.payload.as_bytes());
                }
            }
            OutgoingFrame::Cancel(id) => {
                out.put_u8(b'C');
                out.put_slice(id.as_bytes());
            }
        }
        let length =
            u32::try_from(out.len() - start - 4).map_err(|_| FrameError::Malformed("frame too long"))?;
        out[start..start + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = IncomingFrame;
    type Error = FrameError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<IncomingFrame>, FrameError> {
        let got = decode_frame(bytes);
        // A frame stands in its server's writes as one, so that the rest of one that has begun is on its way.
        let waits = matches!(got, Ok(None)) && !bytes.is_empty();
        self.partial_since.set(waits.then(|| self.partial_since.get().unwrap_or_else(Instant::now)));
        got
    }
}

/// How many bytes the frame that has begun takes in all, once its length is known and can be one.
pub(crate) fn expected_frame_bytes(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_be_bytes(*bytes.first_chunk::<4>()?) as usize;
    (length <= MAX_FRAME_BYTES).then_some(4 + length)
}

/// The next frame if it is whole; a fault as soon as it can be none.
fn decode_frame(bytes: &mut BytesMut) -> Result<Option<IncomingFrame>, FrameError> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::Malformed("bad length"));
    }
    if bytes.get(4).is_some_and(|letter| !b"RF".contains(letter)) {
        return Err(FrameError::Malformed("unknown letter"));
    }
    if bytes.len() < 4 + length {
        bytes.reserve(4 + length - bytes.len());
        return Ok(None);
    }
    bytes.advance(4);
    let frame = bytes.split_to(length);
    let rest = &frame[1..];
    match frame[0] {
        b'R' => decode_answer(rest).map(Some).ok_or(FrameError::Malformed("bad answer")),
        _ => Ok(Some(IncomingFrame::ProtocolError(String::from_utf8_lossy(rest).into_owned()))),
    }
}

/// An answer's line and value. Nothing here goes by the score and the report, so they may hold anything. A
/// value with a zero byte has run over its end into the next frame, whose length begins with one.
fn decode_answer(rest: &[u8]) -> Option<IncomingFrame> {
    let end = rest.iter().position(|b| *b == b'\n')?;
    let (line, value) = (&rest[..end], std::str::from_utf8(&rest[end + 1..]).ok()?);
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

    fn encoded(frame: OutgoingFrame) -> BytesMut {
        let mut bytes = BytesMut::new();
        FrameCodec::default().encode(frame, &mut bytes).expect("a short frame");
        bytes
    }

    #[test]
    fn a_call_is_one_frame_of_lines_and_texts() {
        let part =
            |id: &str, shard| PartCall { id: id.into(), shard, timeout_ms: 240, payload: "c41e77d0".into() };
        let bytes = encoded(OutgoingFrame::Call(vec![part("9b1f.3", 3), part("9b1f.9", 9)]));
        assert_eq!(&bytes[..], b"\0\0\0\x33S9b1f.3 3 d=240 8\nc41e77d09b1f.9 9 d=240 8\nc41e77d0");
        assert_eq!(&encoded(OutgoingFrame::Cancel("9b1f.3".into()))[..], b"\0\0\0\x07C9b1f.3");
    }

    /// However the bytes are cut, the same answers come of them, and none before its last byte.
    #[test]
    fn answers_are_the_same_however_their_bytes_arrive() {
        fn arrive(cuts: Vec<u8>) -> bool {
            let rest: [&[u8]; 3] = [b"Ra.0 done 7 -\nv\n1", b"Ra.1 full 7 {\xff\0 1, 2\n", b"Ra.2 failed\n"];
            let framed = |rest: &&[u8]| [&(rest.len() as u32).to_be_bytes()[..], rest].concat();
            let all: Vec<u8> = rest.iter().flat_map(framed).collect();
            let (mut bytes, mut got, mut at) = (BytesMut::new(), Vec::new(), 0);
            for cut in cuts.into_iter().map(usize::from).chain([all.len()]) {
                let next = (at + cut).min(all.len());
                bytes.extend_from_slice(&all[at..next]);
                at = next;
                while let Some(answer) = FrameCodec::default().decode(&mut bytes).expect("well formed") {
                    got.push(answer);
                }
            }
            let want = [
                ("a.0", CallStatus::Done, "v\n1"),
                ("a.1", CallStatus::Full, ""),
                ("a.2", CallStatus::Failed, ""),
            ];
            got == want.map(|(id, status, value)| IncomingFrame::Answer {
                id: id.into(),
                status,
                value: value.into(),
            })
        }
        QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).quickcheck(arrive as fn(Vec<u8>) -> bool);
    }

    /// Guards against a value passed on that is not the one made, and a connection kept of no further use.
    #[test]
    fn a_frame_that_can_be_no_answer_is_a_fault_as_soon_as_that_shows() {
        let spoilt: [&[u8]; 8] = [
            b"\0\0\0\0",
            b"\xb3\0\0\0R",
            b"\0\0\0\x63Z",
            b"\0\0\0\x08Ra.0 don",
            b"\0\0\0\x0dRa.0 odd 7 -\n",
            b"\0\0\0\x0bR done 7 -\n",
            b"\0\0\0\x10Ra.0 done 7 -\n\xff\xfe",
            b"\0\0\0\x16Ra.0 done 7 -\nvalue\0\0\0",
        ];
        for bytes in spoilt {
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

    /// Guards against a panic or an endless loop on bytes that no server should send.
    #[test]
    fn any_bytes_end_in_frames_a_fault_or_a_wait_for_more() {
        fn any(bytes: Vec<u8>, length: u8) -> bool {
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
        QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).quickcheck(any as fn(Vec<u8>, u8) -> bool);
    }
}
