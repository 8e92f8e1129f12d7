//! The configuration in force, and the choice of the peer from which it is requested.

use ashvane_node::compression::compress;
use ashvane_node::engine::{AnnouncedVersion, ConfigFetch, ConfigInForce, LinkTable, UnusableConfig};
use ashvane_quorum::{ContentDigest, VersionedConfig};

use super::{control_node, link_to, ms};

fn versioned_config(version: u64, text: &str) -> VersionedConfig {
    let compressed_text = compress(text.as_bytes()).into();
    VersionedConfig { version, digest: ContentDigest::of(text.as_bytes()), compressed_text }
}

#[test]
fn only_a_newer_and_usable_configuration_is_put_in_force() {
    let text = |version: u64| format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
    let mut in_force = ConfigInForce::default();
    assert_eq!((in_force.version(), in_force.since()), (0, None));
    assert!(
        in_force.apply(versioned_config(3, &text(3)), ms(10)).expect("the configuration is valid").is_some()
    );
    assert!(
        in_force.apply(versioned_config(2, &text(2)), ms(20)).expect("an older version is ignored").is_none()
    );
    assert!(
        in_force.apply(versioned_config(3, &text(3)), ms(20)).expect("the same version is ignored").is_none()
    );
    let invalid = in_force.apply(versioned_config(4, "{}"), ms(30));
    assert!(matches!(invalid, Err(UnusableConfig::Content(_))));
    let malformed = VersionedConfig { compressed_text: "?".into(), ..versioned_config(5, "") };
    assert!(matches!(in_force.apply(malformed, ms(30)), Err(UnusableConfig::Compression(_))));
    assert_eq!((in_force.version(), in_force.since()), (3, Some(ms(10))));
}

#[test]
fn one_configuration_transfer_at_a_time_is_requested_first_from_the_update_source() {
    let mut links = LinkTable::default();
    let [source, other, third] = ["a", "b", "c"].map(|name| link_to(&mut links, control_node(name)));
    let announced = |link, version| AnnouncedVersion { version, link };
    let mut fetch = ConfigFetch::default();
    let mut should_request = |links: &LinkTable, link, version, now| {
        fetch.should_request(announced(link, version), Some(source), links, ms(now))
    };
    assert!(
        !should_request(&links, other, 1, 0),
        "the first announcement from another peer waits for the update source"
    );
    assert!(should_request(&links, source, 1, 10));
    assert!(
        !should_request(&links, other, 2, 20) && !should_request(&links, source, 2, 30),
        "a transfer is in progress"
    );
    assert!(
        !should_request(&links, other, 2, 500) && should_request(&links, third, 2, 500),
        "another peer after 400 ms"
    );
    assert!(!should_request(&links, third, 2, 2900), "the transfer from this peer is in progress");
    assert!(
        !should_request(&links, third, 2, 3000) && should_request(&links, third, 2, 3010),
        "the same peer again after 2500 ms"
    );
    links.remove(third);
    links.remove(source);
    assert!(
        !should_request(&links, other, 3, 3020) && should_request(&links, other, 3, 3030),
        "requests over closed links no longer count as outstanding"
    );
    fetch.received(other);
    assert_eq!(fetch.next_after(2), Some(announced(other, 3)));
    assert_eq!(fetch.next_after(3), None);
}
