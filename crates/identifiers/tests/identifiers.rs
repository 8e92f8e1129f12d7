//! Serialization, lookup and formatting of identifiers.

use std::collections::BTreeMap;

use ashvane_identifiers::{DiskId, NodeName, ServerId};

#[test]
fn an_identifier_is_serialized_as_its_text() {
    let disk = DiskId::from("first:10.1.0.1:8047");
    let text = serde_json::to_string(&disk).expect("identifiers serialize to JSON");
    assert_eq!(text, r#""first:10.1.0.1:8047""#);
    assert_eq!(serde_json::from_str::<DiskId>(&text).expect("the serialized identifier parses"), disk);
}

#[test]
fn a_map_is_searched_by_text_and_sorted_by_text() {
    let ids = ["i-2", "i-10", "i-1"];
    let servers: BTreeMap<ServerId, usize> =
        ids.iter().zip(0..).map(|(id, index)| (ServerId::from(*id), index)).collect();
    assert_eq!(servers.get("i-10"), Some(&1));
    assert!(servers.keys().map(ServerId::as_str).eq(["i-1", "i-10", "i-2"]));
}

#[test]
fn an_identifier_is_formatted_as_its_text() {
    let name = NodeName::from("control-1".to_owned());
    assert_eq!(format!("[{name}] [{name:>11}]"), "[control-1] [  control-1]");
    assert!(!name.is_empty() && NodeName::default().is_empty() && name == "control-1");
}
