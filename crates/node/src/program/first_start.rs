//! Replica with which a control node starts.

use ashvane_identifiers::DiskId;
use ashvane_quorum::{Member, Membership, Replica};
use slog::{Logger, warn};

use crate::disk::{Disk, RecoveredState};
use crate::settings::Settings;

/// Returns the replica stored on the disk, or an empty one. At the first start of the whole system, the
/// empty disks of the seeds have identifiers that all processes can derive. Later an empty disk gets a new
/// random identifier, because it may have lost the votes that were stored under the old one.
pub async fn recover_replica(
    settings: &Settings, disk: &Disk, recovered: RecoveredState, log: &Logger,
) -> Replica {
    for reason in &recovered.unreadable {
        warn!(log, "store on the disk cannot be read; cleared it"; "why" => reason.to_string());
    }
    if let Some(state) = recovered.replica {
        return Replica::from_state(state);
    }
    let is_first_start = settings.is_first_start && recovered.unreadable.is_empty();
    let membership = if is_first_start { initial_membership(settings) } else { Membership::default() };
    let control = settings.listen.control.map(|address| address.to_string()).unwrap_or_default();
    let is_first_member = is_first_start && settings.seeds.contains(&control);
    let id = match is_first_member {
        true => initial_disk_id(&control),
        false => format!("{:016x}", fastrand::u64(..)).into(),
    };
    let replica = Replica::empty(id, membership);
    // The wait fails only if the disk is already closed, which means that the process is exiting.
    let _ = disk.save_replica(Some(replica.state().clone())).await;
    replica
}

/// Returns the membership with which the whole system starts: the disks of the seeds, which all processes
/// have in their settings.
fn initial_membership(settings: &Settings) -> Membership {
    let member = |seed: &String| {
        let (host, _) = seed.rsplit_once(':')?;
        let address = format!("{host}:{}", settings.internal_ports.first).into();
        Some(Member { disk: initial_disk_id(seed), address })
    };
    Membership::new(1, settings.seeds.iter().filter_map(member).collect())
}

/// Returns the identifier of a seed's disk at the first start of the whole system.
fn initial_disk_id(seed: &str) -> DiskId {
    format!("first:{seed}").into()
}
