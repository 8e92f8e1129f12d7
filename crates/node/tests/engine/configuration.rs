//! The configuration in force, and whom it is requested of.

use ashvane_node::compression::compress;
use ashvane_node::engine::{AnnouncedVersion, ConfigFetch, ConfigInForce, LinkTable, UnusableConfig};
use ashvane_quorum::{ContentDigest, VersionedConfig};

use super::{control_node, link_to, ms};

fn chosen(version: u64, text: &str) -> VersionedConfig {
    let compressed_text = compress(text.as_bytes()).into();
    VersionedConfig { version, digest: ContentDigest::of(text.as_bytes()), compressed_text }
}

#[test]
fn only_a_newer_configuration_comes_into_force_and_one_that_cannot_be_used_changes_nothing() {
    let text = |version: u64| format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
    let mut in_force = ConfigInForce::default();
    assert_eq!((in_force.version(), in_force.since()), (0, None));
    assert!(in_force.apply(chosen(3, &text(3)), ms(10)).expect("usable").is_some());
    assert!(in_force.apply(chosen(2, &text(2)), ms(20)).expect("older").is_none());
    assert!(in_force.apply(chosen(3, &text(3)), ms(20)).expect("the same").is_none());
    let faulty = in_force.apply(chosen(4, "{}"), ms(30));
    assert!(matches!(faulty, Err(UnusableConfig::Content(_))));
    let garbled = VersionedConfig { compressed_text: "?".into(), ..chosen(5, "") };
    assert!(matches!(in_force.apply(garbled, ms(30)), Err(UnusableConfig::Compression(_))));
    assert_eq!((in_force.version(), in_force.since()), (3, Some(ms(10))));
}

#[test]
fn one_transfer_at_a_time_is_requested_first_of_the_process_that_sends_updates() {
    let mut links = LinkTable::default();
    let [source, other, third] = ["a", "b", "c"].map(|name| link_to(&mut links, control_node(name)));
    let announced = |link, version| AnnouncedVersion { version, link };
    let mut fetch = ConfigFetch::default();
    let mut requests = |links: &LinkTable, link, version, now| {
        fetch.should_request(announced(link, version), Some(source), links, ms(now))
    };
    assert!(!requests(&links, other, 1, 0), "the update source is waited for a moment");
    assert!(requests(&links, source, 1, 10));
    assert!(!requests(&links, other, 2, 20) && !requests(&links, source, 2, 30), "one is on its way");
    assert!(!requests(&links, other, 2, 500) && requests(&links, third, 2, 500), "elsewhere after a while");
    assert!(!requests(&links, third, 2, 2900), "it is on its way");
    assert!(!requests(&links, third, 2, 3000) && requests(&links, third, 2, 3010), "there again");
    links.remove(third);
    links.remove(source);
    assert!(
        !requests(&links, other, 3, 3020) && requests(&links, other, 3, 3030),
        "what was asked there is lost"
    );
    fetch.received(other);
    assert_eq!(fetch.next_after(2), Some(announced(other, 3)));
    assert_eq!(fetch.next_after(3), None);
}
