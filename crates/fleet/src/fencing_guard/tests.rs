use super::FencingGuard;
use crate::{FencingToken, MAX_ROLES};

#[test]
fn what_is_older_than_the_latest_seen_is_rejected_for_good() {
    let mut fence = FencingGuard::default();
    let stamp = |role: &str, epoch| FencingToken { role: role.into(), epoch };
    let lets: Vec<bool> = [3, 2, 3, 5, 4, 3, 5].map(|epoch| fence.admits(&stamp("roster", epoch))).into();
    assert_eq!(lets, [true, false, true, true, false, false, true]);
    assert!(fence.admits(&stamp("list", 1)) && fence.rejected == 3);
    let lets = (0..100).filter(|i| fence.admits(&stamp(&format!("d{i}"), 1))).count();
    assert_eq!(lets, MAX_ROLES - 2);
    assert_eq!(fence.highest.len(), MAX_ROLES, "bounded");
}
