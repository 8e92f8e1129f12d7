//! What openraft demands of a store, by its own suite.

use std::sync::atomic::{AtomicU32, Ordering};

use ashvane_keeper::Types;
use ashvane_keeper::keeper_store::{KeeperStore, Trace};
use openraft::StorageError;
use openraft::testing::{StoreBuilder, Suite};

static STORES: AtomicU32 = AtomicU32::new(0);

/// A folder that goes with its store.
struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Builder;

impl StoreBuilder<Types, KeeperStore, KeeperStore, Folder> for Builder {
    async fn build(&self) -> Result<(Folder, KeeperStore, KeeperStore), StorageError<u64>> {
        let number = STORES.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("ashvane-store-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = KeeperStore::open(&folder.join("keeper.redb"), Trace::Off).expect("a store");
        Ok((Folder(folder), store.clone(), store))
    }
}

#[test]
fn the_store_does_what_openraft_demands() {
    Suite::test_all(Builder).expect("all of it");
}
