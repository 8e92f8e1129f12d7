//! The minimal coverage of a route: as it is read, and as a number of shards.

use std::rc::Rc;

use ashvane_node::config::{Config, Route};

/// Returns a route to this many shards, as it is read from a configuration.
fn route(shard_count: usize, min_coverage: f64) -> Rc<Route> {
    let names: Vec<String> = (0..shard_count).map(|n| format!("\"s{n}\"")).collect();
    let services: Vec<String> = names.iter().map(|name| format!("{{\"name\":{name}}}")).collect();
    let text = format!(
        r#"{{"version":1,"routes":[{{"name":"r","host":"h","path-prefix":"/r/","kind":"idempotent","deadline-ms":9,
            "target-ms":9,"fan-out":[{}],"min-coverage":{min_coverage:?}}}],"services":[{}]}}"#,
        names.join(","),
        services.join(",")
    );
    let config = Config::parse(text.as_bytes()).expect("the configuration is valid");
    config.routes().next().expect("the configuration has a route").clone()
}

/// Guards against a coverage that is rounded when it is read, so that a share equal to it counts as smaller, or
/// a smaller one as enough.
#[test]
fn the_minimal_coverage_is_read_as_it_is_written() {
    let read_differently: Vec<f64> = (1..=40)
        .flat_map(|shards| (1..=shards).map(move |answered| f64::from(answered) / f64::from(shards)))
        .filter(|share| route(1, *share).min_coverage != *share)
        .collect();
    assert!(read_differently.is_empty(), "{read_differently:?}");
}

/// Guards against a number of shards whose share is below the minimal coverage, however little, and against
/// one more than necessary.
#[test]
fn the_required_shards_are_the_fewest_whose_share_is_not_below_the_minimal_coverage() {
    let required_shards =
        |shard_count, min_coverage| route(shard_count, min_coverage).required_shards(shard_count);
    for shard_count in 1..=24 {
        assert_eq!(required_shards(shard_count, 0.0), 1);
        for answered in 1..=shard_count {
            let share = answered as f64 / shard_count as f64;
            assert_eq!(required_shards(shard_count, share), answered);
            assert_eq!(required_shards(shard_count, share.next_down()), answered);
            if answered < shard_count {
                assert_eq!(required_shards(shard_count, share.next_up()), answered + 1);
                assert_eq!(required_shards(shard_count, share + 0.000_01), answered + 1);
            }
        }
    }
}
