use std::time::Duration;

use crate::roster::Roster;
use crate::{FencingToken, LeaseParticipant, LeaseTerms, Reply, Transition};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const TERMS: LeaseTerms = LeaseTerms { lease: ms(3000), drift: 0.0 };

#[test]
fn a_lease_counts_from_the_send_time_and_permits_expire_with_it_without_a_tick() {
    let mut participant = LeaseParticipant::default();
    assert!(participant.permit::<Roster>(ms(0)).is_none());
    let granted = |epoch| Reply::Granted { epoch };
    assert_eq!(
        participant.reply_received(ms(100), &granted(4), ms(900), &TERMS),
        Some(Transition::Acquired { epoch: 4 })
    );
    let permit = participant.permit::<Roster>(ms(3000)).expect("still the owner");
    assert_eq!(permit.token(ms(3099)), Some(FencingToken { role: "roster".into(), epoch: 4 }));
    // The process is paused between obtaining the permit and the action.
    let permit = participant.permit::<Roster>(ms(3000)).expect("still the owner");
    assert_eq!(permit.token(ms(3100)), None);
    assert!(
        participant.permit::<Roster>(ms(3100)).is_none() && participant.epoch().is_some(),
        "the state changes only with a tick"
    );
    assert_eq!(participant.tick(ms(3100), &TERMS), Some(Transition::Lost));
}

#[test]
fn late_duplicate_and_reordered_replies_do_not_revive_an_ended_lease() {
    let mut participant = LeaseParticipant::default();
    let granted = |epoch| Reply::Granted { epoch };
    assert_eq!(
        participant.reply_received(ms(0), &granted(1), ms(3000), &TERMS),
        None,
        "the lease expired before the reply arrived"
    );
    assert!(participant.reply_received(ms(0), &granted(2), ms(10), &TERMS).is_some());
    participant.reply_received(ms(1000), &granted(2), ms(1010), &TERMS);
    participant.reply_received(ms(500), &granted(2), ms(1020), &TERMS);
    assert!(
        participant.permit::<Roster>(ms(3999)).is_some() && participant.permit::<Roster>(ms(4000)).is_none()
    );
    assert_eq!(participant.release(), Transition::Lost);
    // A duplicate of an earlier reply.
    assert_eq!(participant.reply_received(ms(1000), &granted(2), ms(1030), &TERMS), None);
    assert!(participant.reply_received(ms(1040), &granted(3), ms(1050), &TERMS).is_some());
    assert_eq!(
        participant.reply_received(ms(1060), &Reply::Fenced { epoch: 2 }, ms(1070), &TERMS),
        None,
        "fenced by an earlier epoch"
    );
    assert_eq!(
        participant.reply_received(ms(1060), &Reply::Fenced { epoch: 4 }, ms(1070), &TERMS),
        Some(Transition::Lost)
    );
}

/// Guards against a successor that waits for two lease durations because keepers receive the renewals of an
/// owner that does not receive their replies.
#[test]
fn an_owner_whose_calls_go_unanswered_stops_renewing_after_half_its_lease() {
    let mut participant = LeaseParticipant::default();
    participant.reply_received(ms(0), &Reply::Granted { epoch: 1 }, ms(10), &TERMS);
    assert!(participant.may_renew(ms(2900), &TERMS), "no call is unanswered");
    participant.call_unanswered();
    assert!(participant.may_renew(ms(1499), &TERMS) && !participant.may_renew(ms(1500), &TERMS));
    participant.reply_received(ms(1400), &Reply::Granted { epoch: 1 }, ms(1550), &TERMS);
    assert!(participant.may_renew(ms(4300), &TERMS), "a reply has arrived");
}

/// Guards against a role that keeps changing owners among processes whose calls take nearly a lease duration.
#[test]
fn a_slow_process_does_not_seek_the_role_and_backs_off_for_a_minute_after_losing_it() {
    let mut participant = LeaseParticipant::default();
    assert!(
        participant.is_seeking(ms(50), ms(0), &TERMS) && !participant.is_seeking(ms(2700), ms(0), &TERMS)
    );
    participant.reply_received(ms(0), &Reply::Granted { epoch: 1 }, ms(10), &TERMS);
    assert!(!participant.is_seeking(ms(50), ms(20), &TERMS), "it is the owner");
    participant.tick(ms(3000), &TERMS);
    assert!(
        !participant.is_seeking(ms(50), ms(62_999), &TERMS)
            && participant.is_seeking(ms(50), ms(63_000), &TERMS)
    );
    participant.reply_received(ms(70_000), &Reply::Granted { epoch: 9 }, ms(70_010), &TERMS);
    participant.release();
    assert!(participant.is_seeking(ms(50), ms(70_020), &TERMS), "no backoff after a release");
}
