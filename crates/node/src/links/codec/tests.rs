use ashvane_gossip::{Liveness, RankSummary, ServerRank, ServerState};

use super::{MAX_UNCOMPRESSED_BYTES, decode, encode};
use crate::links::Message;

#[test]
fn long_messages_are_compressed_and_decoded_unchanged() {
    let rank = |heartbeat_sequence| ServerRank {
        inferred_from: None,
        state: ServerState::Ready,
        heartbeat_sequence,
        liveness: Liveness::Alive,
    };
    let servers = (0..100).map(|n| (format!("i-{n}").into(), rank(n))).collect();
    let summary = RankSummary { servers, ..RankSummary::default() };
    for (message, is_compressed) in [(Message::Summary(summary), true), (Message::Subscribe(true), false)] {
        let line = encode(&message).expect("every message can be encoded");
        assert!(line.ends_with('\n') && line.contains("packed") == is_compressed);
        assert!(line.len() < MAX_UNCOMPRESSED_BYTES);
        let decoded = decode(line.as_bytes()).expect("an encoded message can be decoded");
        let text = |message: &Message| serde_json::to_string(message).expect("every message has a JSON form");
        assert_eq!(text(&decoded), text(&message));
    }
    assert!(decode(b"{\"packed\":\"%\"}").is_err() && decode(b"nonsense").is_err());
}
