use std::time::Duration;

use super::CallSchedule;

#[test]
fn the_call_rate_stays_bounded_at_start_while_keepers_fail_and_after_they_recover() {
    let (interval, fleet) = (Duration::from_secs(1), 300);
    let mut schedules: Vec<CallSchedule> =
        (0..u64::from(fleet)).map(|seed| CallSchedule::new(interval, 3, seed, Duration::ZERO)).collect();
    let (mut calls_by_second, mut calls_by_tenth) = (vec![0; 180], vec![0; 1800]);
    for ms in 0..180_000 {
        let now = Duration::from_millis(ms);
        for schedule in schedules.iter_mut().filter(|schedule| schedule.next().at <= now) {
            schedule.call_made(now);
            // No keeper answers during the second minute.
            if (60_000..120_000).contains(&ms) {
                schedule.keeper_failed();
            }
            calls_by_second[ms as usize / 1000] += 1;
            calls_by_tenth[ms as usize / 100] += 1;
        }
    }
    let max_rate = CallSchedule::max_rate(interval, fleet);
    assert!(calls_by_second.iter().all(|calls| f64::from(*calls) <= max_rate), "{calls_by_second:?}");
    assert!(calls_by_tenth.iter().all(|calls| f64::from(*calls) <= max_rate * 0.2), "{calls_by_tenth:?}");
}
