use super::FencingGuard;
use crate::{FencingToken, MAX_ROLES};

#[test]
fn tokens_older_than_the_highest_seen_epoch_are_rejected() {
    let mut guard = FencingGuard::default();
    let token = |role: &str, epoch| FencingToken { role: role.into(), epoch };
    let admitted: Vec<bool> = [3, 2, 3, 5, 4, 3, 5].map(|epoch| guard.admits(&token("roster", epoch))).into();
    assert_eq!(admitted, [true, false, true, true, false, false, true]);
    assert!(guard.admits(&token("list", 1)) && guard.rejected == 3);
    let admitted = (0..100).filter(|i| guard.admits(&token(&format!("d{i}"), 1))).count();
    assert_eq!(admitted, MAX_ROLES - 2);
    assert_eq!(guard.highest_epochs.len(), MAX_ROLES, "the number of roles is bounded");
}
