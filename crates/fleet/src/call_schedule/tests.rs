use std::time::Duration;

use super::CallSchedule;

#[test]
fn a_fleet_stays_below_its_rate_when_it_starts_when_keepers_fail_and_when_they_are_back() {
    let (every, fleet) = (Duration::from_secs(1), 300);
    let mut schedules: Vec<CallSchedule> =
        (0..u64::from(fleet)).map(|seed| CallSchedule::new(every, 3, seed, Duration::ZERO)).collect();
    let (mut by_second, mut by_tenth) = (vec![0; 180], vec![0; 1800]);
    for ms in 0..180_000 {
        let now = Duration::from_millis(ms);
        for schedule in schedules.iter_mut().filter(|schedule| schedule.next().at <= now) {
            schedule.call_made(now);
            // A minute in which no keeper answers.
            if (60_000..120_000).contains(&ms) {
                schedule.keeper_failed();
            }
            by_second[ms as usize / 1000] += 1;
            by_tenth[ms as usize / 100] += 1;
        }
    }
    let most = CallSchedule::max_rate(every, fleet);
    assert!(by_second.iter().all(|calls| f64::from(*calls) <= most), "{by_second:?}");
    assert!(by_tenth.iter().all(|calls| f64::from(*calls) <= most * 0.2), "{by_tenth:?}");
}
