use std::time::Duration;

use super::{LeaseTerms, keepers_faults};

#[test]
fn an_owner_stops_before_a_keeper_expires_its_lease_for_any_clocks_within_the_drift_bound() {
    for drift in [0.0, 0.001, 0.01, 0.1] {
        let terms = LeaseTerms { lease: Duration::from_secs(3), drift };
        // The slowest owner's clock and the fastest keeper's, in true time.
        let owner = terms.holder_duration().as_secs_f64() / (1.0 - drift);
        let keeper = terms.expiry_delay().as_secs_f64() / (1.0 + drift);
        assert!(owner <= keeper + 1e-9, "{drift}: {owner} and {keeper}");
        let cutoff = terms.holder_duration() - terms.renewal_cutoff();
        assert!(
            terms.renewal_interval() + terms.max_call_duration() * 2 <= cutoff + Duration::from_micros(1)
        );
    }
}

#[test]
fn invalid_lease_terms_and_keeper_sets_are_reported() {
    let valid = LeaseTerms { lease: Duration::from_secs(3), drift: 0.01 };
    assert!(valid.faults().is_empty());
    assert!(
        LeaseTerms { lease: Duration::from_millis(500), ..valid }.faults()[0].to_string().contains("500 ms")
    );
    assert!(LeaseTerms { drift: 0.5, ..valid }.faults()[0].to_string().contains("drift"));
    let faults = |keepers: &[(u64, &str)]| {
        keepers_faults(keepers.iter().copied()).iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    assert_eq!(faults(&[(1, "a"), (2, "b"), (3, "c")]), "");
    assert!(faults(&[(1, "a"), (2, "b"), (3, "c"), (4, "d")]).contains("4 keepers"));
    assert!(faults(&[(1, "a")]).contains("1 keepers"));
    assert!(faults(&[(1, "a"), (2, "b"), (3, "a")]).contains("1 and 3"));
}
