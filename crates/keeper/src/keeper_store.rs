//! Storage of a keeper: the Raft log, the vote and the latest snapshot in one redb file, and the record in
//! memory. Each write is durable before it is acknowledged to Raft.

use std::fmt::{self, Debug};
use std::io::Cursor;
use std::ops::RangeBounds;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ashvane_fleet::{LeaseExpiry, LeaseRecord, Reply};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage, RaftStateMachine, Snapshot};
use openraft::{
    AnyError, BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftLogReader, RaftSnapshotBuilder,
    SnapshotMeta, StorageError, StorageIOError, StoredMembership, Vote,
};
use redb::{Database, ReadableDatabase as _, ReadableTable as _, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Types, clock};

/// Log entries by index.
const LOG_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
/// All other stored values, by the keys below.
const META_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const VOTE_KEY: &str = "vote";
const COMMITTED_KEY: &str = "committed";
const PURGED_KEY: &str = "purged";
const SNAPSHOT_KEY: &str = "snapshot";
/// Maximum size of the database's page cache.
const CACHE_BYTES: usize = 4 << 20;

type DatabaseError = Box<dyn std::error::Error + Send + Sync>;
type StorageResult<T> = Result<T, StorageError<u64>>;
type KeeperSnapshotMeta = SnapshotMeta<u64, BasicNode>;

/// Failure to open a keeper's database.
#[derive(Debug)]
pub struct OpenStoreError {
    path: PathBuf,
    reason: DatabaseError,
}

impl fmt::Display for OpenStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot open keeper database {}: {}", self.path.display(), self.reason)
    }
}

impl std::error::Error for OpenStoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.reason)
    }
}

/// State after applying the log up to an entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AppliedState {
    /// Id of the last applied entry.
    #[serde(rename = "last")]
    pub last_applied: Option<LogId<u64>>,
    /// Members of the Raft cluster, which are the keepers.
    pub membership: StoredMembership<u64, BasicNode>,
    /// Leases and tables.
    pub record: LeaseRecord,
}

/// Snapshot as stored on disk.
#[derive(Serialize, Deserialize)]
struct StoredSnapshot {
    meta: KeeperSnapshotMeta,
    data: Vec<u8>,
}

/// In-memory state of a keeper.
#[derive(Default)]
pub struct StoreState {
    /// State after the applied log entries.
    pub applied: AppliedState,
    /// Expiry of the leases on this keeper's clock.
    pub expiry: LeaseExpiry,
    /// Number of snapshots built since the keeper started; part of their ids.
    snapshot_count: u64,
}

/// Storage of one keeper. Clones share the database and the state.
#[derive(Clone)]
pub struct KeeperStore {
    database: Arc<Database>,
    state: Arc<Mutex<StoreState>>,
    trace: Trace,
}

/// Whether applied commands are printed on standard error, one JSON object a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trace {
    /// Prints the lease after each command, and the reply.
    On,
    /// Prints nothing.
    Off,
}

/// Runs a disk operation without blocking the other tasks of this thread.
fn run_blocking<T>(work: impl FnOnce() -> Result<T, DatabaseError>) -> Result<T, DatabaseError> {
    tokio::task::block_in_place(work)
}

fn read_error(reason: DatabaseError) -> StorageError<u64> {
    StorageIOError::read(AnyError::from_dyn(&*reason, None)).into()
}

fn write_error(reason: DatabaseError) -> StorageError<u64> {
    StorageIOError::write(AnyError::from_dyn(&*reason, None)).into()
}

impl KeeperStore {
    /// Opens the database file, or creates it. After a crash during a write the file has its state before
    /// that write.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or read.
    pub fn open(path: &Path, trace: Trace) -> Result<KeeperStore, OpenStoreError> {
        KeeperStore::try_open(path, trace).map_err(|reason| OpenStoreError { path: path.to_owned(), reason })
    }

    fn try_open(path: &Path, trace: Trace) -> Result<KeeperStore, DatabaseError> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).create(path)?;
        let store = KeeperStore { database: Arc::new(database), state: Arc::default(), trace };
        let write = store.database.begin_write()?;
        write.open_table(LOG_TABLE)?;
        write.open_table(META_TABLE)?;
        write.commit()?;
        if let Some(snapshot) = store.read_meta(SNAPSHOT_KEY)? {
            store.restore_snapshot(&snapshot)?;
        }
        Ok(store)
    }

    /// Locks and returns the in-memory state.
    pub fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the applied state by that of a snapshot.
    fn restore_snapshot(&self, snapshot: &StoredSnapshot) -> Result<(), DatabaseError> {
        let applied: AppliedState = serde_json::from_slice(&snapshot.data)?;
        let mut state = self.state();
        state.applied = applied;
        let StoreState { applied, expiry, .. } = &mut *state;
        expiry.observe(&applied.record, clock::now());
        Ok(())
    }

    fn read_meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, DatabaseError> {
        let table = self.database.begin_read()?.open_table(META_TABLE)?;
        let bytes = table.get(key)?;
        Ok(bytes.map(|bytes| serde_json::from_slice(bytes.value())).transpose()?)
    }

    fn write_meta<T: Serialize>(&self, key: &str, value: &T) -> Result<(), DatabaseError> {
        let write = self.database.begin_write()?;
        write.open_table(META_TABLE)?.insert(key, serde_json::to_vec(value)?.as_slice())?;
        Ok(write.commit()?)
    }

    fn read_entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, DatabaseError> {
        let table = self.database.begin_read()?.open_table(LOG_TABLE)?;
        let entries = table.range((range.start_bound().cloned(), range.end_bound().cloned()))?;
        entries.map(|entry| Ok(serde_json::from_slice(entry?.1.value())?)).collect()
    }

    fn log_state(&self) -> Result<LogState<Types>, DatabaseError> {
        let table = self.database.begin_read()?.open_table(LOG_TABLE)?;
        let last = table.last()?.map(|(_, bytes)| serde_json::from_slice::<Entry<Types>>(bytes.value()));
        let last_purged_log_id: Option<LogId<u64>> = self.read_meta(PURGED_KEY)?;
        let last_log_id = last.transpose()?.map(|entry| entry.log_id).or(last_purged_log_id);
        Ok(LogState { last_purged_log_id, last_log_id })
    }

    fn insert_entries(&self, entries: Vec<Entry<Types>>) -> Result<(), DatabaseError> {
        let write = self.database.begin_write()?;
        {
            let mut table = write.open_table(LOG_TABLE)?;
            for entry in entries {
                table.insert(entry.log_id.index, serde_json::to_vec(&entry)?.as_slice())?;
            }
        }
        Ok(write.commit()?)
    }

    fn remove_entries(
        &self, range: impl RangeBounds<u64>, purged: Option<LogId<u64>>,
    ) -> Result<(), DatabaseError> {
        let write = self.database.begin_write()?;
        {
            let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
            write.open_table(LOG_TABLE)?.retain_in(bounds, |_, _| false)?;
            if let Some(purged) = purged {
                write.open_table(META_TABLE)?.insert(PURGED_KEY, serde_json::to_vec(&purged)?.as_slice())?;
            }
        }
        Ok(write.commit()?)
    }
}

impl KeeperStore {
    /// Applies one log entry. openraft requires a reply to every entry; the reply to one that is not a
    /// command is not used.
    fn apply_entry(&self, applied: &mut AppliedState, entry: Entry<Types>) -> Reply {
        applied.last_applied = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Normal(command) => {
                let reply = applied.record.apply(&command);
                if self.trace == Trace::On {
                    print_trace(entry.log_id.index, command.role(), &applied.record, &reply);
                }
                reply
            }
            EntryPayload::Membership(membership) => {
                applied.membership = StoredMembership::new(Some(entry.log_id), membership);
                Reply::Released
            }
            EntryPayload::Blank => Reply::Released,
        }
    }
}

/// Prints one trace line: the entry's index, the role, its lease after the command, and the reply.
fn print_trace(index: u64, role: &str, record: &LeaseRecord, reply: &Reply) {
    let line = serde_json::json!({"at": index, "duty": role, "holds": record.lease(role), "reply": reply});
    eprintln!("{line}");
}

impl RaftLogReader<Types> for KeeperStore {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self, range: R,
    ) -> StorageResult<Vec<Entry<Types>>> {
        run_blocking(|| self.read_entries(range)).map_err(read_error)
    }
}

impl RaftLogStorage<Types> for KeeperStore {
    type LogReader = KeeperStore;

    async fn get_log_state(&mut self) -> StorageResult<LogState<Types>> {
        run_blocking(|| self.log_state()).map_err(read_error)
    }

    async fn get_log_reader(&mut self) -> KeeperStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> StorageResult<()> {
        run_blocking(|| self.write_meta(VOTE_KEY, vote)).map_err(write_error)
    }

    async fn read_vote(&mut self) -> StorageResult<Option<Vote<u64>>> {
        run_blocking(|| self.read_meta(VOTE_KEY)).map_err(read_error)
    }

    async fn save_committed(&mut self, committed: Option<LogId<u64>>) -> StorageResult<()> {
        run_blocking(|| self.write_meta(COMMITTED_KEY, &committed)).map_err(write_error)
    }

    async fn read_committed(&mut self) -> StorageResult<Option<LogId<u64>>> {
        let committed: Option<Option<LogId<u64>>> =
            run_blocking(|| self.read_meta(COMMITTED_KEY)).map_err(read_error)?;
        Ok(committed.flatten())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> StorageResult<()>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries = entries.into_iter().collect();
        run_blocking(|| self.insert_entries(entries)).map_err(write_error)?;
        callback.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, from: LogId<u64>) -> StorageResult<()> {
        run_blocking(|| self.remove_entries(from.index.., None)).map_err(write_error)
    }

    async fn purge(&mut self, until: LogId<u64>) -> StorageResult<()> {
        run_blocking(|| self.remove_entries(..=until.index, Some(until))).map_err(write_error)
    }
}

impl RaftSnapshotBuilder<Types> for KeeperStore {
    async fn build_snapshot(&mut self) -> StorageResult<Snapshot<Types>> {
        let (applied, number) = {
            let mut state = self.state();
            state.snapshot_count += 1;
            (state.applied.clone(), state.snapshot_count)
        };
        let build = || {
            let data = serde_json::to_vec(&applied)?;
            let index = applied.last_applied.map_or(0, |last| last.index);
            let meta = SnapshotMeta {
                last_log_id: applied.last_applied,
                last_membership: applied.membership.clone(),
                snapshot_id: format!("{index}-{number}"),
            };
            let snapshot = StoredSnapshot { meta, data };
            self.write_meta(SNAPSHOT_KEY, &snapshot)?;
            Ok(snapshot)
        };
        let StoredSnapshot { meta, data } = run_blocking(build).map_err(write_error)?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data)) })
    }
}

impl RaftStateMachine<Types> for KeeperStore {
    type SnapshotBuilder = KeeperStore;

    async fn applied_state(
        &mut self,
    ) -> StorageResult<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>)> {
        let state = self.state();
        Ok((state.applied.last_applied, state.applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> StorageResult<Vec<Reply>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut state = self.state();
        let StoreState { applied, expiry, .. } = &mut *state;
        let replies = entries.into_iter().map(|entry| self.apply_entry(applied, entry)).collect();
        expiry.observe(&applied.record, clock::now());
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> KeeperStore {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> StorageResult<Box<Cursor<Vec<u8>>>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self, meta: &KeeperSnapshotMeta, snapshot: Box<Cursor<Vec<u8>>>,
    ) -> StorageResult<()> {
        let snapshot = StoredSnapshot { meta: meta.clone(), data: snapshot.into_inner() };
        let install = || {
            self.write_meta(SNAPSHOT_KEY, &snapshot)?;
            self.restore_snapshot(&snapshot)
        };
        run_blocking(install).map_err(write_error)
    }

    async fn get_current_snapshot(&mut self) -> StorageResult<Option<Snapshot<Types>>> {
        let stored: Option<StoredSnapshot> =
            run_blocking(|| self.read_meta(SNAPSHOT_KEY)).map_err(read_error)?;
        Ok(stored.map(|stored| Snapshot { meta: stored.meta, snapshot: Box::new(Cursor::new(stored.data)) }))
    }
}
