//! The disk: the log, the vote and the latest snapshot in one redb file, each write durable before it counts; and
//! the record that the log makes, in memory.

use std::fmt::Debug;
use std::io::Cursor;
use std::ops::RangeBounds;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ashvane_fleet::{Judge, Record, Reply};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage, RaftStateMachine, Snapshot};
use openraft::{
    AnyError, BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftLogReader, RaftSnapshotBuilder,
    SnapshotMeta, StorageError, StorageIOError, StoredMembership, Vote,
};
use redb::{Database, ReadableDatabase as _, ReadableTable as _, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Types, clock};

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const SNAPSHOT: &str = "snapshot";
/// Memory that the database may use for its pages, in bytes.
const CACHE: usize = 4 << 20;

type Fault = Box<dyn std::error::Error + Send + Sync>;
type Stored<T> = Result<T, StorageError<u64>>;
type Meta = SnapshotMeta<u64, BasicNode>;

/// What the log has made so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Applied {
    pub last: Option<LogId<u64>>,
    pub membership: StoredMembership<u64, BasicNode>,
    pub record: Record,
}

#[derive(Serialize, Deserialize)]
struct Kept {
    meta: Meta,
    data: Vec<u8>,
}

#[derive(Default)]
pub struct State {
    pub applied: Applied,
    pub judge: Judge,
    snapshots: u64,
}

#[derive(Clone)]
pub struct Store {
    database: Arc<Database>,
    state: Arc<Mutex<State>>,
    /// What is agreed is printed.
    trace: bool,
}

/// Runs what waits for the disk without holding up the other tasks of this thread.
fn on_disk<T>(work: impl FnOnce() -> Result<T, Fault>) -> Result<T, Fault> {
    tokio::task::block_in_place(work)
}

fn read_fault(fault: Fault) -> StorageError<u64> {
    StorageIOError::read(AnyError::from_dyn(&*fault, None)).into()
}

fn write_fault(fault: Fault) -> StorageError<u64> {
    StorageIOError::write(AnyError::from_dyn(&*fault, None)).into()
}

impl Store {
    /// Opens the file, or makes it. One with a torn last write is as it was before that write.
    pub fn open(path: &Path, trace: bool) -> Result<Store, String> {
        let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let database = Database::builder().set_cache_size(CACHE).create(path).map_err(|e| named(&e))?;
        let store = Store { database: Arc::new(database), state: Arc::default(), trace };
        let tables = || -> Result<Option<Kept>, Fault> {
            let write = store.database.begin_write()?;
            write.open_table(LOG)?;
            write.open_table(META)?;
            write.commit()?;
            store.meta(SNAPSHOT)
        };
        if let Some(kept) = tables().map_err(|e| named(&e))? {
            store.adopt(&kept).map_err(|e| named(&e))?;
        }
        Ok(store)
    }

    /// What the log has made so far.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn adopt(&self, kept: &Kept) -> Result<(), Fault> {
        let applied: Applied = serde_json::from_slice(&kept.data)?;
        let mut state = self.state();
        state.applied = applied;
        let State { applied, judge, .. } = &mut *state;
        judge.look(&applied.record, clock::now());
        Ok(())
    }

    fn meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, Fault> {
        let table = self.database.begin_read()?.open_table(META)?;
        let bytes = table.get(key)?;
        Ok(bytes.map(|bytes| serde_json::from_slice(bytes.value())).transpose()?)
    }

    fn set_meta<T: Serialize>(&self, key: &str, value: &T) -> Result<(), Fault> {
        let write = self.database.begin_write()?;
        write.open_table(META)?.insert(key, serde_json::to_vec(value)?.as_slice())?;
        Ok(write.commit()?)
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, Fault> {
        let table = self.database.begin_read()?.open_table(LOG)?;
        let entries = table.range((range.start_bound().cloned(), range.end_bound().cloned()))?;
        entries.map(|entry| Ok(serde_json::from_slice(entry?.1.value())?)).collect()
    }

    fn log_state(&self) -> Result<LogState<Types>, Fault> {
        let table = self.database.begin_read()?.open_table(LOG)?;
        let last = table.last()?.map(|(_, bytes)| serde_json::from_slice::<Entry<Types>>(bytes.value()));
        let last_purged_log_id: Option<LogId<u64>> = self.meta(PURGED)?;
        let last_log_id = last.transpose()?.map(|entry| entry.log_id).or(last_purged_log_id);
        Ok(LogState { last_purged_log_id, last_log_id })
    }

    fn insert(&self, entries: Vec<Entry<Types>>) -> Result<(), Fault> {
        let write = self.database.begin_write()?;
        {
            let mut table = write.open_table(LOG)?;
            for entry in entries {
                table.insert(entry.log_id.index, serde_json::to_vec(&entry)?.as_slice())?;
            }
        }
        Ok(write.commit()?)
    }

    fn remove(&self, range: impl RangeBounds<u64>, purged: Option<LogId<u64>>) -> Result<(), Fault> {
        let write = self.database.begin_write()?;
        {
            let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
            write.open_table(LOG)?.retain_in(bounds, |_, _| false)?;
            if let Some(purged) = purged {
                write.open_table(META)?.insert(PURGED, serde_json::to_vec(&purged)?.as_slice())?;
            }
        }
        Ok(write.commit()?)
    }
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self, range: R,
    ) -> Stored<Vec<Entry<Types>>> {
        on_disk(|| self.entries(range)).map_err(read_fault)
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Stored<LogState<Types>> {
        on_disk(|| self.log_state()).map_err(read_fault)
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Stored<()> {
        on_disk(|| self.set_meta(VOTE, vote)).map_err(write_fault)
    }

    async fn read_vote(&mut self) -> Stored<Option<Vote<u64>>> {
        on_disk(|| self.meta(VOTE)).map_err(read_fault)
    }

    async fn save_committed(&mut self, committed: Option<LogId<u64>>) -> Stored<()> {
        on_disk(|| self.set_meta(COMMITTED, &committed)).map_err(write_fault)
    }

    async fn read_committed(&mut self) -> Stored<Option<LogId<u64>>> {
        let committed: Option<Option<LogId<u64>>> = on_disk(|| self.meta(COMMITTED)).map_err(read_fault)?;
        Ok(committed.flatten())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Stored<()>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries = entries.into_iter().collect();
        on_disk(|| self.insert(entries)).map_err(write_fault)?;
        callback.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Stored<()> {
        on_disk(|| self.remove(from.index.., None)).map_err(write_fault)
    }

    async fn purge(&mut self, until: LogId<u64>) -> Stored<()> {
        on_disk(|| self.remove(..=until.index, Some(until))).map_err(write_fault)
    }
}

impl RaftSnapshotBuilder<Types> for Store {
    async fn build_snapshot(&mut self) -> Stored<Snapshot<Types>> {
        let (applied, number) = {
            let mut state = self.state();
            state.snapshots += 1;
            (state.applied.clone(), state.snapshots)
        };
        let build = || {
            let data = serde_json::to_vec(&applied)?;
            let index = applied.last.map_or(0, |last| last.index);
            let meta = SnapshotMeta {
                last_log_id: applied.last,
                last_membership: applied.membership.clone(),
                snapshot_id: format!("{index}-{number}"),
            };
            let kept = Kept { meta, data };
            self.set_meta(SNAPSHOT, &kept)?;
            Ok(kept)
        };
        let Kept { meta, data } = on_disk(build).map_err(write_fault)?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data)) })
    }
}

impl RaftStateMachine<Types> for Store {
    type SnapshotBuilder = Store;

    async fn applied_state(&mut self) -> Stored<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>)> {
        let state = self.state();
        Ok((state.applied.last, state.applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Stored<Vec<Reply>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut state = self.state();
        let State { applied, judge, .. } = &mut *state;
        let mut replies = Vec::new();
        for entry in entries {
            applied.last = Some(entry.log_id);
            replies.push(match entry.payload {
                EntryPayload::Normal(command) => {
                    let reply = applied.record.apply(&command);
                    if self.trace {
                        let (at, duty) = (entry.log_id.index, command.duty());
                        let lease = applied.record.lease(duty);
                        let line =
                            serde_json::json!({"at": at, "duty": duty, "holds": lease, "reply": reply});
                        eprintln!("{line}");
                    }
                    reply
                }
                EntryPayload::Membership(membership) => {
                    applied.membership = StoredMembership::new(Some(entry.log_id), membership);
                    Reply::Given
                }
                EntryPayload::Blank => Reply::Given,
            });
        }
        judge.look(&applied.record, clock::now());
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> Store {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Stored<Box<Cursor<Vec<u8>>>> {
        Ok(Box::default())
    }

    async fn install_snapshot(&mut self, meta: &Meta, snapshot: Box<Cursor<Vec<u8>>>) -> Stored<()> {
        let kept = Kept { meta: meta.clone(), data: snapshot.into_inner() };
        let install = || {
            self.set_meta(SNAPSHOT, &kept)?;
            self.adopt(&kept)
        };
        on_disk(install).map_err(write_fault)
    }

    async fn get_current_snapshot(&mut self) -> Stored<Option<Snapshot<Types>>> {
        let kept: Option<Kept> = on_disk(|| self.meta(SNAPSHOT)).map_err(read_fault)?;
        let snapshot = |kept: Kept| Snapshot { meta: kept.meta, snapshot: Box::new(Cursor::new(kept.data)) };
        Ok(kept.map(snapshot))
    }
}
