//! The log of departures: what was confirmed is recovered after a power failure, a torn write or an interrupted
//! rewrite, and writes go on after that.

use ashvane_gossip::{Liveness, Server, ServerState};
use ashvane_node::disk::DepartureWrite;

use super::*;

fn departure(number: usize, state: ServerState) -> Server {
    Server {
        id: format!("i-{number}").as_str().into(),
        service: "s".into(),
        address: format!("10.1.0.{number}:8080").as_str().into(),
        zone: "z".into(),
        capacity: 2,
        state,
        inferred_from: None,
        heartbeat_sequence: number as u64,
        liveness: Liveness::Alive,
        monitor: "n".into(),
    }
}

fn departures(numbers: std::ops::Range<usize>) -> Vec<Server> {
    numbers.map(|number| departure(number, ServerState::Terminated)).collect()
}

fn append(disk: &Disk, numbers: std::ops::Range<usize>) {
    let write = DepartureWrite::Append(departures(numbers));
    disk.save_departures(write).blocking_recv().expect("the disk confirms the departures");
}

fn replace(disk: &Disk, numbers: std::ops::Range<usize>) {
    let write = DepartureWrite::Replace(departures(numbers));
    disk.save_departures(write).blocking_recv().expect("the disk confirms the departures");
}

fn recovered(dir: &Path) -> Vec<Server> {
    let (disk, found) = open(dir);
    disk.close();
    found.departures
}

#[test]
fn departures_are_recovered_in_the_order_in_which_they_were_written() {
    let dir = scratch_folder("departures");
    let (disk, found) = open(&dir);
    assert_eq!(found.departures, []);
    let draining = departure(7, ServerState::Draining);
    let write = DepartureWrite::Append(vec![draining.clone()]);
    disk.save_departures(write).blocking_recv().expect("the disk confirms the departure");
    append(&disk, 7..9);
    disk.close();
    assert_eq!(recovered(&dir), [vec![draining], departures(7..9)].concat());
    let (disk, _) = open(&dir);
    replace(&disk, 20..23);
    append(&disk, 23..24);
    disk.close();
    assert_eq!(recovered(&dir), departures(20..24));
}

/// After each confirmed write the power fails, in three runs of the process, with rewrites in between.
#[test]
fn confirmed_departures_survive_a_power_loss() {
    let dir = scratch_folder("departures-power");
    let medium = Arc::new(PowerLossMedium { files: Mutex::default(), names: Mutex::default() });
    let mut written = 0;
    for _run in 0..3 {
        let (disk, _) = open_on(&dir, medium.clone());
        for _ in 0..6 {
            written += 1;
            if written % 4 == 0 {
                replace(&disk, 0..written)
            } else {
                append(&disk, written - 1..written)
            }
            let restored = scratch_folder("departures-power-left");
            medium.restore_synced(&dir, &restored);
            assert_eq!(recovered(&restored), departures(0..written), "after write {written}");
        }
        disk.close();
    }
}

/// Damages the end of a file: cuts it off, fills it with zeros, or flips bits.
fn damage(bytes: &[u8], from: usize, seed: u64) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut damaged = bytes.to_vec();
    let at = rng.usize(from..bytes.len());
    match seed % 3 {
        0 => damaged.truncate(at),
        1 => damaged[at..].fill(0),
        _ => (0..8).for_each(|_| damaged[rng.usize(from..bytes.len())] ^= rng.u8(1..)),
    }
    damaged
}

/// An append that was not confirmed is torn: all confirmed records are recovered, no damaged one is, and the
/// next confirmed append is recovered as well.
#[test]
fn a_torn_append_loses_no_confirmed_departure() {
    let dir = scratch_folder("departures-torn");
    let (disk, _) = open(&dir);
    append(&disk, 0..5);
    let confirmed = std::fs::read(dir.join("departures-a")).expect("the log can be read").len();
    append(&disk, 5..8);
    disk.close();
    let bytes = std::fs::read(dir.join("departures-a")).expect("the log can be read");
    for seed in 0..60 {
        let torn = scratch_folder(&format!("departures-torn-{seed}"));
        copy_folder(&dir, &torn);
        let damaged = damage(&bytes, confirmed, seed);
        std::fs::write(torn.join("departures-a"), damaged).expect("the log can be overwritten");
        let (disk, found) = open(&torn);
        let (first, torn_records) = found.departures.split_at(5);
        assert_eq!(first, departures(0..5), "seed {seed}");
        assert!(torn_records.iter().all(|record| departures(5..8).contains(record)), "seed {seed}");
        append(&disk, 8..9);
        disk.close();
        let after = recovered(&torn);
        assert_eq!(after[..5], departures(0..5), "seed {seed}");
        assert_eq!(after.last(), Some(&departure(8, ServerState::Terminated)), "seed {seed}");
        let _ = std::fs::remove_dir_all(&torn);
    }
}

/// The power fails while the log is rewritten: the file that was complete before is still used, whatever the
/// other one holds.
#[test]
fn an_interrupted_rewrite_leaves_the_previous_records() {
    let dir = scratch_folder("departures-rewrite");
    let (disk, _) = open(&dir);
    append(&disk, 0..4);
    replace(&disk, 0..3);
    append(&disk, 4..6);
    disk.close();
    let before = [departures(0..3), departures(4..6)].concat();
    assert_eq!(recovered(&dir), before);
    let (disk, _) = open(&dir);
    replace(&disk, 2..9);
    disk.close();
    let bytes = std::fs::read(dir.join("departures-a")).expect("the log can be read");
    for len in 0..bytes.len() {
        let torn = scratch_folder("departures-rewrite-torn");
        copy_folder(&dir, &torn);
        std::fs::write(torn.join("departures-a"), &bytes[..len]).expect("the log can be overwritten");
        assert_eq!(recovered(&torn), before, "the first {len} of {} bytes were written", bytes.len());
    }
    for seed in 0..30 {
        let torn = scratch_folder("departures-rewrite-torn");
        copy_folder(&dir, &torn);
        let damaged = damage(&bytes, 0, seed);
        let is_intact = damaged == bytes;
        std::fs::write(torn.join("departures-a"), damaged).expect("the log can be overwritten");
        let (disk, found) = open(&torn);
        assert!(is_intact || found.departures == before, "seed {seed}");
        append(&disk, 9..10);
        disk.close();
        let last = recovered(&torn).pop();
        assert_eq!(last, Some(departure(9, ServerState::Terminated)), "seed {seed}");
    }
}

/// The very first write is torn: what is recovered of it stays on the disk when the next departure is written.
#[test]
fn what_is_recovered_from_an_incomplete_log_is_stored_again() {
    let dir = scratch_folder("departures-first");
    let (disk, _) = open(&dir);
    append(&disk, 0..4);
    disk.close();
    let bytes = std::fs::read(dir.join("departures-a")).expect("the log can be read");
    for len in 0..bytes.len() {
        let torn = scratch_folder("departures-first-torn");
        std::fs::create_dir_all(&torn).expect("the folder can be created");
        std::fs::write(torn.join("departures-a"), &bytes[..len]).expect("the log can be written");
        let (disk, found) = open(&torn);
        assert!(departures(0..3).starts_with(&found.departures), "the first {len} bytes were written");
        append(&disk, 9..10);
        disk.close();
        assert_eq!(recovered(&torn), [found.departures, departures(9..10)].concat(), "the first {len} bytes");
    }
}

/// No departure is confirmed while the disk is full; then the blocked one is, together with a later one.
#[test]
fn departures_blocked_by_a_full_disk_are_confirmed_once_there_is_room() {
    let dir = scratch_folder("departures-full");
    let medium = Arc::new(FillableMedium::default());
    let (disk, _) = open_on(&dir, medium.clone());
    append(&disk, 0..2);
    medium.is_full.store(true, Ordering::SeqCst);
    let mut blocked = disk.save_departures(DepartureWrite::Append(departures(2..3)));
    while medium.rejections.load(Ordering::SeqCst) < 3 {
        std::thread::yield_now();
    }
    assert!(blocked.try_recv().is_err(), "a departure is confirmed only once it is on disk");
    let later = disk.save_departures(DepartureWrite::Append(departures(3..4)));
    medium.is_full.store(false, Ordering::SeqCst);
    blocked.blocking_recv().expect("the blocked departure is confirmed once there is room");
    later.blocking_recv().expect("the later departure is confirmed");
    disk.close();
    assert_eq!(recovered(&dir), departures(0..4));
}

/// A departure costs one sync and as many bytes as its record, however many are in the log.
#[test]
fn an_append_costs_one_sync_whatever_the_log_holds() {
    let dir = scratch_folder("departures-cost");
    let medium = Arc::new(CountingMedium::default());
    let (disk, _) = open_on(&dir, medium.clone());
    replace(&disk, 0..1000);
    let bytes = || medium.written_bytes.load(Ordering::Relaxed);
    let (syncs_before, bytes_before) = (medium.syncs.load(Ordering::Relaxed), bytes());
    append(&disk, 1000..1001);
    assert_eq!(medium.syncs.load(Ordering::Relaxed) - syncs_before, 1);
    assert!(bytes() - bytes_before < 400, "{} bytes", bytes() - bytes_before);
    disk.close();
}
