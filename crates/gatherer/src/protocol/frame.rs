//! Frames to and from shard servers: a length of four bytes, a letter, the rest.

use std::sync::Arc;

use bytes::{Buf, BufMut, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// The longest frame that is read; a value is far shorter.
const FRAME_MOST: usize = 256 * 1024;

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
