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
