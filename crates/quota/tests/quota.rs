//! The shares of a budget never add up to more than the budget, even with partitions and restarts.

use std::time::Duration;

use ashvane_quota::{GatewayCount, MIN_GATEWAYS, RetryAllowance, RetryBudget, connections_per_gateway};

/// Guards against allowances that together exceed the budget, for any distribution of requests over gateways.
#[test]
fn the_shares_never_add_up_to_more_than_the_budget() {
    let budget =
        RetryBudget { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10), is_restarted: false };
    for seed in 0..8 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = rng.usize(1..60);
        let mut allowances: Vec<RetryAllowance> = (0..gateways).map(|_| RetryAllowance::default()).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = Duration::ZERO;
        for _ in 0..4000 {
            now += Duration::from_micros(rng.u64(0..20_000));
            let allowance = &mut allowances[rng.usize(0..gateways)];
            if rng.u32(0..3) == 0 {
                allowance.record_request(now, &budget);
                requests.push(now);
            } else if allowance.allows_retry(now, &budget, gateways) {
                allowance.record_retry(now);
                retries.push(now);
            }
            let within =
                |times: &Vec<Duration>| times.iter().filter(|time| **time + budget.window >= now).count();
            assert!(within(&retries) as f64 <= budget.ratio * within(&requests) as f64 + budget.slack);
        }
    }
}

/// Guards against a restarted gateway that uses its full allowance again in the window of its previous
/// incarnation. In a simulated day that ended with a kill of all processes, servers received 865 to 888
/// retries where 842 were allowed.
#[test]
fn two_consecutive_incarnations_share_the_limit() {
    let window = Duration::from_secs(10);
    let simulate = |budget: RetryBudget, start: Duration, retries_from: Duration, end: Duration| {
        let (mut allowance, mut requests, mut retries) = (RetryAllowance::default(), Vec::new(), Vec::new());
        let mut now = start;
        while now < end {
            now += Duration::from_millis(20);
            allowance.record_request(now - start, &budget);
            requests.push(now);
            while now >= retries_from && allowance.allows_retry(now - start, &budget, MIN_GATEWAYS) {
                allowance.record_retry(now - start);
                retries.push(now);
            }
        }
        (requests, retries)
    };
    let first = RetryBudget { ratio: 0.2, slack: 58.0, window, is_restarted: false };
    // The first incarnation uses its allowance just before its end, and the next one uses its own
    // immediately.
    let killed = Duration::from_secs(30);
    let (mut requests, mut retries) = simulate(first, Duration::ZERO, Duration::from_millis(29_500), killed);
    let restarted = RetryBudget { is_restarted: true, ..first };
    let next = simulate(restarted, killed, killed, Duration::from_secs(50));
    requests.extend(next.0);
    retries.extend(next.1);
    let slack_share = first.slack / MIN_GATEWAYS as f64;
    for window_end in &retries {
        let within = |times: &[Duration]| {
            times.iter().filter(|time| **time <= *window_end && **time + window > *window_end).count()
        };
        assert!(
            within(&retries) as f64 <= first.ratio * within(&requests) as f64 + slack_share,
            "window ending at {window_end:?}"
        );
    }
}

#[test]
fn an_unreachable_gateway_keeps_its_share_for_the_retention_time() {
    let mut gateways = GatewayCount::default();
    gateways.observe(Duration::from_secs(1), 9);
    gateways.observe(Duration::from_secs(5), 3);
    assert_eq!(gateways.current(), 9);
    gateways.observe(Duration::from_secs(40), 3);
    assert_eq!(gateways.current(), 3);
    assert!(connections_per_gateway(76, 9) * 9 <= 76 && connections_per_gateway(76, 60) * 60 <= 76);
}
