//! Log of departures: servers that have reported that they are draining or have terminated.
//!
//! Records are appended, so that a departure costs one sync and a write of a few hundred bytes, however many
//! servers there are. Once most records are outdated, all current ones are written to a second file, with a
//! higher generation, and the next records are appended to that one. A power failure can only damage what was
//! not synced: the end of the newest file, or a file that is being rewritten while the other one is intact.

use std::fs::File;
use std::io::{self, Seek as _, SeekFrom, Write as _};
use std::path::PathBuf;
use std::sync::Arc;

use ashvane_gossip::Server;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::Medium;

/// The two files, which are rewritten in turn.
const FILE_NAMES: [&str; 2] = ["departures-a", "departures-b"];
/// Hexadecimal digits of the checksum before each record.
const CHECKSUM_DIGITS: usize = 8;

/// Change of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DepartureWrite {
    /// Adds records.
    Append(Vec<Server>),
    /// Replaces all records.
    Replace(Vec<Server>),
}

impl DepartureWrite {
    /// Returns the change that has the effect of this one and then `next`.
    #[must_use]
    pub(super) fn followed_by(self, next: DepartureWrite) -> DepartureWrite {
        match (self, next) {
            (_, DepartureWrite::Replace(records)) => DepartureWrite::Replace(records),
            (DepartureWrite::Append(records), DepartureWrite::Append(more)) => {
                DepartureWrite::Append([records, more].concat())
            }
            (DepartureWrite::Replace(records), DepartureWrite::Append(more)) => {
                DepartureWrite::Replace([records, more].concat())
            }
        }
    }

    /// Applies this change to the records of a log.
    pub fn apply_to(&self, log: &mut Vec<Server>) {
        match self {
            DepartureWrite::Append(records) => log.extend(records.iter().cloned()),
            DepartureWrite::Replace(records) => log.clone_from(records),
        }
    }
}

/// First line of a file.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Header {
    /// Number that increases with each rewrite.
    generation: u64,
    /// Number of records that were written together with this line. With fewer the file is not complete.
    records: usize,
}

/// Content of a file, as far as it can be read.
#[derive(Debug, Default)]
struct FileContent {
    header: Option<Header>,
    records: Vec<Server>,
    /// Length up to the end of the last line that can be read.
    valid_len: u64,
}

impl FileContent {
    fn read(bytes: &[u8]) -> FileContent {
        let mut content = FileContent::default();
        let mut position = 0;
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            let is_first = position == 0;
            position += line.len() as u64;
            if is_first {
                content.header = decode(line);
            } else if let Some(record) = decode(line) {
                content.records.push(record);
            } else {
                continue;
            }
            content.valid_len = position;
        }
        content
    }

    /// Returns the generation if the file holds all records that were written with its header.
    fn complete_generation(&self) -> Option<u64> {
        self.header.filter(|header| header.records <= self.records.len()).map(|header| header.generation)
    }
}

/// Encodes a line: a checksum, a space and JSON.
fn encode(value: &impl Serialize) -> String {
    // Encoding cannot fail: all fields can be represented in JSON.
    let json = serde_json::to_string(value).unwrap_or_default();
    format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes()))
}

/// Decodes a line. Returns `None` if it is not complete, or does not match its checksum.
fn decode<T: DeserializeOwned>(line: &[u8]) -> Option<T> {
    let line = line.strip_suffix(b"\n")?;
    let (checksum, json) = line.split_at_checked(CHECKSUM_DIGITS)?;
    let json = json.strip_prefix(b" ")?;
    let checksum = u32::from_str_radix(std::str::from_utf8(checksum).ok()?, 16).ok()?;
    if checksum != crc32fast::hash(json) {
        return None;
    }
    serde_json::from_slice(json).ok()
}

/// Position at which the next record is appended.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Index of the file.
    file: usize,
    /// Length of the file that is synced.
    synced_len: u64,
    generation: u64,
}

/// Log of departures on a disk.
pub(super) struct DepartureLog {
    dir: PathBuf,
    medium: Arc<dyn Medium>,
    /// `None` while the disk has no log.
    position: Option<Position>,
}

impl DepartureLog {
    pub(super) fn new(dir: PathBuf, medium: Arc<dyn Medium>) -> Self {
        DepartureLog { dir, medium, position: None }
    }

    /// Reads the newest complete file and continues it. What is returned is synced: the process that wrote it
    /// may have been killed before its sync.
    pub(super) fn recover(&mut self) -> io::Result<Vec<Server>> {
        let contents = [self.read_file(0)?, self.read_file(1)?];
        let generations = contents.each_ref().map(FileContent::complete_generation);
        let newest = (0..contents.len()).max_by_key(|file| generations[*file]).unwrap_or_default();
        let [first, second] = contents;
        let Some(generation) = generations[newest] else {
            // Neither file is complete, so nothing was ever confirmed; what can be read is still true.
            let records = [first.records, second.records].concat();
            if !records.is_empty() {
                self.rewrite(&records, None)?;
            }
            return Ok(records);
        };
        let content = if newest == 0 { first } else { second };
        self.medium.sync(&self.path(newest))?;
        self.medium.sync(&self.dir)?;
        self.position = Some(Position { file: newest, synced_len: content.valid_len, generation });
        Ok(content.records)
    }

    /// Writes and syncs a change. After an error the log is as before, and the call can be repeated.
    pub(super) fn write(&mut self, change: &DepartureWrite) -> io::Result<()> {
        match (change, self.position) {
            (DepartureWrite::Append(records), Some(position)) => self.append(records, position),
            (DepartureWrite::Append(records) | DepartureWrite::Replace(records), position) => {
                self.rewrite(records, position)
            }
        }
    }

    fn append(&mut self, records: &[Server], position: Position) -> io::Result<()> {
        let lines: String = records.iter().map(encode).collect();
        let path = self.path(position.file);
        self.medium.check_write(&path, lines.len() as u64)?;
        let mut file = File::options().write(true).open(&path)?;
        // Removes what a failed write or a power failure has left.
        file.set_len(position.synced_len)?;
        file.seek(SeekFrom::Start(position.synced_len))?;
        file.write_all(lines.as_bytes())?;
        self.medium.sync(&path)?;
        let synced_len = position.synced_len + lines.len() as u64;
        self.position = Some(Position { synced_len, ..position });
        Ok(())
    }

    fn rewrite(&mut self, records: &[Server], position: Option<Position>) -> io::Result<()> {
        let file = position.map_or(0, |position| 1 - position.file);
        let generation = position.map_or(0, |position| position.generation) + 1;
        let header = encode(&Header { generation, records: records.len() });
        let lines: String = std::iter::once(header).chain(records.iter().map(encode)).collect();
        let path = self.path(file);
        self.medium.check_write(&path, lines.len() as u64)?;
        File::create(&path)?.write_all(lines.as_bytes())?;
        self.medium.sync(&path)?;
        self.medium.sync(&self.dir)?;
        self.position = Some(Position { file, synced_len: lines.len() as u64, generation });
        Ok(())
    }

    fn path(&self, file: usize) -> PathBuf {
        self.dir.join(FILE_NAMES[file])
    }

    fn read_file(&self, file: usize) -> io::Result<FileContent> {
        match std::fs::read(self.path(file)) {
            Ok(bytes) => Ok(FileContent::read(&bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(FileContent::default()),
            Err(e) => Err(e),
        }
    }
}
