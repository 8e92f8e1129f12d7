//! Runs openraft's test suite for storage implementations.

use std::sync::atomic::{AtomicU32, Ordering};

use ashvane_keeper::Types;
use ashvane_keeper::keeper_store::{KeeperStore, Trace};
use openraft::StorageError;
use openraft::testing::{StoreBuilder, Suite};

static STORE_COUNT: AtomicU32 = AtomicU32::new(0);

/// Folder that is removed when its store is dropped.
struct TempFolder(std::path::PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Builder;

impl StoreBuilder<Types, KeeperStore, KeeperStore, TempFolder> for Builder {
    async fn build(&self) -> Result<(TempFolder, KeeperStore, KeeperStore), StorageError<u64>> {
        let number = STORE_COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("ashvane-store-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let store =
            KeeperStore::open(&folder.join("keeper.redb"), Trace::Off).expect("the store can be opened");
        Ok((TempFolder(folder), store.clone(), store))
    }
}

#[test]
fn the_store_passes_the_openraft_test_suite() {
    Suite::test_all(Builder).expect("the test suite passes");
}
