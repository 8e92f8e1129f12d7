//! Frames to and from shard servers: a length of four bytes, a letter, the rest.

use std::sync::Arc;

use bytes::{Buf, BufMut, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// The longest frame that is read: one value fits into an answer to a client, which holds as much.
const FRAME_MOST: usize = 64 * 1024;

/// One part within a call.
#[derive(Clone, Debug, PartialEq)]
pub struct PartCall {
    pub id: Arc<str>,
    pub shard: u32,
    /// How many milliseconds the gatherer will wait.
    pub wait_ms: u64,
    pub text: Arc<str>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
    Call(Vec<PartCall>),
    GiveUp(Arc<str>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Done,
    Failed,
    Full,
}

#[derive(Debug, PartialEq)]
pub enum Got {
    Answer {
        id: String,
        end: End,
        value: String,
    },
    /// The frame before could not be used; the server closes.
    Unusable(String),
}

#[derive(Debug)]
pub enum Fault {
    Broken(std::io::Error),
    Malformed(&'static str),
}

impl From<std::io::Error> for Fault {
    fn from(error: std::io::Error) -> Self {
        Fault::Broken(error)
    }
}

pub struct Frames;

impl Encoder<Sent> for Frames {
    type Error = Fault;

    fn encode(&mut self, frame: Sent, out: &mut BytesMut) -> Result<(), Fault> {
        let start = out.len();
        out.put_u32(0);
        match frame {
            Sent::Call(parts) => {
                out.put_u8(b'S');
                for p in parts {
                    let line = format!("{} {} d={} {}\n", p.id, p.shard, p.wait_ms, p.text.len());
                    out.put_slice(line.as_bytes());
                    out.put_slice(p.text.as_bytes());
                }
            }
            Sent::GiveUp(id) => {
                out.put_u8(b'C');
                out.put_slice(id.as_bytes());
            }
        }
        let length = u32::try_from(out.len() - start - 4).map_err(|_| Fault::Malformed("frame too long"))?;
        out[start..start + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }
}

impl Decoder for Frames {
    type Item = Got;
    type Error = Fault;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Got>, Fault> {
        let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length == 0 || length > FRAME_MOST {
            return Err(Fault::Malformed("bad length"));
        }
        if bytes.len() < 4 + length {
            bytes.reserve(4 + length - bytes.len());
            return Ok(None);
        }
        bytes.advance(4);
        let frame = bytes.split_to(length);
        let rest = std::str::from_utf8(&frame[1..]).map_err(|_| Fault::Malformed("not text"))?;
        match frame[0] {
            b'R' => answer(rest).map(Some).ok_or(Fault::Malformed("bad answer line")),
            b'F' => Ok(Some(Got::Unusable(rest.to_owned()))),
            _ => Err(Fault::Malformed("unknown letter")),
        }
    }
}

fn answer(rest: &str) -> Option<Got> {
    let (line, value) = rest.split_once('\n')?;
    let mut words = line.split(' ');
    let id = words.next().filter(|id| !id.is_empty())?.to_owned();
    let end = match words.next()? {
        "done" => End::Done,
        "failed" => End::Failed,
        "full" => End::Full,
        _ => return None,
    };
    let (_score, _report) = (words.next()?, words.next()?);
    words.next().is_none().then(|| Got::Answer { id, end, value: value.to_owned() })
}

#[cfg(test)]
mod tests {
    use quickcheck::{Gen, QuickCheck};

    use super::*;

    fn encoded(frame: Sent) -> BytesMut {
        let mut bytes = BytesMut::new();
        Frames.encode(frame, &mut bytes).expect("a short frame");
        bytes
    }

    #[test]
    fn a_call_is_one_frame_of_lines_and_texts() {
        let part = |id: &str, shard| PartCall { id: id.into(), shard, wait_ms: 240, text: "c41e77d0".into() };
        let bytes = encoded(Sent::Call(vec![part("9b1f.3", 3), part("9b1f.9", 9)]));
        assert_eq!(&bytes[..], b"\0\0\0\x33S9b1f.3 3 d=240 8\nc41e77d09b1f.9 9 d=240 8\nc41e77d0");
        assert_eq!(&encoded(Sent::GiveUp("9b1f.3".into()))[..], b"\0\0\0\x07C9b1f.3");
    }

    /// However the bytes are cut, the same answers come of them, and none before its last byte.
    #[test]
    fn answers_are_the_same_however_their_bytes_arrive() {
        fn arrive(cuts: Vec<u8>) -> bool {
            let rest: [&[u8]; 3] = [b"Ra.0 done 7 -\nv\n1", b"Ra.1 full 7 1,2\n", b"Ra.2 failed - -\n"];
            let framed = |rest: &&[u8]| [&(rest.len() as u32).to_be_bytes()[..], rest].concat();
            let all: Vec<u8> = rest.iter().flat_map(framed).collect();
            let (mut bytes, mut got, mut at) = (BytesMut::new(), Vec::new(), 0);
            for cut in cuts.into_iter().map(usize::from).chain([all.len()]) {
                let next = (at + cut).min(all.len());
                bytes.extend_from_slice(&all[at..next]);
                at = next;
                while let Some(answer) = Frames.decode(&mut bytes).expect("well formed") {
                    got.push(answer);
                }
            }
            let want = [("a.0", End::Done, "v\n1"), ("a.1", End::Full, ""), ("a.2", End::Failed, "")];
            got == want.map(|(id, end, value)| Got::Answer { id: id.into(), end, value: value.into() })
        }
        QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).quickcheck(arrive as fn(Vec<u8>) -> bool);
    }

    /// Guards against a panic or an endless loop on bytes that no server should send.
    #[test]
    fn any_bytes_end_in_frames_a_fault_or_a_wait_for_more() {
        fn any(bytes: Vec<u8>, length: u8) -> bool {
            let mut framed = BytesMut::from(&u32::from(length).to_be_bytes()[..]);
            framed.extend_from_slice(&bytes);
            for mut bytes in [BytesMut::from(&bytes[..]), framed] {
                let before = bytes.len();
                while let Ok(Some(_)) = Frames.decode(&mut bytes) {}
                if bytes.len() > before {
                    return false;
                }
            }
            true
        }
        QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).quickcheck(any as fn(Vec<u8>, u8) -> bool);
    }
}
