//! The serialized form of every message between the system's own processes.

use ashvane_gossip::{
    BucketDigests, BucketSet, Digest, Liveness, Node, OrphanMonitorTerm, RankSummary, Server, ServerRank,
    ServerState, Update,
};
use ashvane_node::links::Message;
use ashvane_quorum::membership_manager::{ReplicaProgress, ReplicaReport};
use ashvane_quorum::{
    AcceptedProposal, ContentDigest, KnownValue, Member, Membership, ProposalNumber, ProposedValue,
    RegisterValue, Rejection, Request, Response, VersionedConfig,
};

use super::{assert_golden, golden};

pub(crate) fn gateway() -> Node {
    Node {
        name: "gateway-7".to_owned().into(),
        incarnation: u64::MAX - 5,
        generation: 2,
        is_down: true,
        address: "10.1.0.7:7080".to_owned().into(),
        control_address: None,
        zone: "north".to_owned().into(),
        is_gateway: true,
        disk: None,
    }
}

pub(crate) fn control_node() -> Node {
    Node {
        name: "control-1".to_owned().into(),
        incarnation: 17,
        generation: 1,
        is_down: false,
        address: "10.1.0.1:7080".to_owned().into(),
        control_address: Some("10.1.0.1:8047".to_owned().into()),
        zone: "south".to_owned().into(),
        is_gateway: false,
        disk: Some("first:10.1.0.1:8047".into()),
    }
}

fn term() -> OrphanMonitorTerm {
    OrphanMonitorTerm { epoch: 3, round: 2, holder: "control-1".to_owned().into() }
}

pub(crate) fn server(state: ServerState, liveness: Liveness) -> Server {
    Server {
        id: "i-1".to_owned().into(),
        service: "lookup".to_owned().into(),
        address: "10.2.0.9:9001".to_owned().into(),
        zone: "north".to_owned().into(),
        capacity: 4,
        state,
        inferred_from: None,
        heartbeat_sequence: 19,
        liveness,
        monitor: "control-1".to_owned().into(),
    }
}

fn inferred_termination() -> Server {
    let inferred_from = Some(ServerState::Draining);
    Server { inferred_from, ..server(ServerState::Terminated, Liveness::TimedOut) }
}

fn membership() -> Membership {
    let member = |disk: &str, address: &str| Member { disk: disk.into(), address: address.to_owned().into() };
    Membership::new(4, vec![member("d-b", "10.1.0.2:7080"), member("d-a", "10.1.0.1:7080")])
}

fn proposal_number(round: u64) -> ProposalNumber {
    ProposalNumber { round, operation: format!("d-a/11/{round:x}").into() }
}

fn config(version: u64) -> VersionedConfig {
    VersionedConfig {
        version,
        digest: ContentDigest::of(b"{}"),
        compressed_text: "q1YqSy0qzszPU7IyqgUA".into(),
    }
}

fn accepted_proposal(next_membership: Option<Membership>) -> AcceptedProposal {
    let value = RegisterValue::default().with_config(&config(5)).with_config(&config(9));
    AcceptedProposal { number: proposal_number(6), value: value.into(), next_membership }
}

fn request(request: Request) -> Message {
    Message::ReplicaRequest { number: 12, request }
}

fn accept(value: ProposedValue, next_membership: Option<Membership>) -> Message {
    request(Request::Accept { epoch: 4, number: proposal_number(7), value, next_membership })
}

fn response(rejection: Option<Rejection>) -> Message {
    let AcceptedProposal { number, value, next_membership } = accepted_proposal(Some(membership()));
    let response = Response {
        rejection,
        disk: "d-b".into(),
        membership: membership(),
        promised: proposal_number(8),
        accepted_number: number,
        next_membership: next_membership.filter(|_| rejection.is_none()),
        value: Some(value).filter(|_| rejection.is_none()),
    };
    Message::ReplicaResponse { number: 12, response }
}

fn summary(orphan_monitor_term: OrphanMonitorTerm) -> Message {
    let server_rank =
        |state, liveness| ServerRank { state, inferred_from: None, heartbeat_sequence: 8, liveness };
    let servers = [
        ("i-1", server_rank(ServerState::Ready, Liveness::Alive)),
        ("i-2", server_rank(ServerState::Draining, Liveness::TimedOut)),
        ("i-3", server_rank(ServerState::Terminated, Liveness::DeclaredTimedOut(term()))),
    ];
    Message::Summary(RankSummary {
        buckets: BucketSet::from_bits(0x8000_0001),
        nodes: [("control-1".into(), (1, 17, false).into())].into(),
        servers: servers.into_iter().map(|(id, rank)| (id.into(), rank)).collect(),
        epoch: 4,
        orphan_monitor_term,
    })
}

fn digest(lacks_quorum: bool) -> Digest {
    Digest { entries: u64::MAX, epoch: 4, version: 9, lacks_quorum }
}

/// Returns the message of each case, with the name of its golden file.
pub(crate) fn cases() -> Vec<(&'static str, Message)> {
    let update = |number, updates| Message::Update { number, updates };
    let (known, base) = (Some(KnownValue { epoch: 4, number: proposal_number(6) }), proposal_number(6));
    let prepare = |known| request(Request::Prepare { epoch: 4, number: proposal_number(7), known });
    let install = Request::Install { membership: membership(), accepted: accepted_proposal(None) };
    let report = ReplicaReport { progress: ReplicaProgress { epoch: 4, version: 9 }, is_shutting_down: true };
    vec![
        ("hello-gateway", Message::Hello(gateway())),
        ("hello-control", Message::Hello(control_node())),
        ("update-nodes", update(0, vec![Update::Node(gateway()), Update::Node(control_node())])),
        ("update-server-ready", update(3, vec![Update::Server(server(ServerState::Ready, Liveness::Alive))])),
        (
            "update-server-draining",
            update(0, vec![Update::Server(server(ServerState::Draining, Liveness::TimedOut))]),
        ),
        (
            "update-server-gone",
            update(
                0,
                vec![Update::Server(server(ServerState::Terminated, Liveness::DeclaredTimedOut(term())))],
            ),
        ),
        ("update-server-inferred", update(0, vec![Update::Server(inferred_termination())])),
        ("update-membership", update(0, vec![Update::Membership(membership())])),
        ("update-hearing", update(5, vec![Update::OrphanMonitor(term())])),
        ("got-taken", Message::UpdateApplied { number: 3, is_applied: true, epoch: 4 }),
        ("got-not-taken", Message::UpdateApplied { number: 4, is_applied: false, epoch: 0 }),
        ("digest", Message::Digest(digest(false))),
        ("digest-alone", Message::Digest(digest(true))),
        ("buckets", Message::Buckets(BucketDigests { entries: vec![0, 1, u64::MAX], epoch: 4 })),
        ("feed-on", Message::Subscribe(true)),
        ("feed-off", Message::Subscribe(false)),
        ("summary", summary(term())),
        ("summary-no-term", summary(OrphanMonitorTerm::default())),
        ("want", Message::RequestConfig { above: 8 }),
        ("config", Message::Config(config(9))),
        ("read", request(Request::Read { known: None })),
        ("read-known", request(Request::Read { known })),
        ("prepare", prepare(None)),
        ("prepare-known", prepare(Some(proposal_number(6)))),
        ("accept-whole", accept(ProposedValue::Complete(accepted_proposal(None).value), None)),
        ("accept-same", accept(ProposedValue::Unchanged { base: base.clone() }, Some(membership()))),
        ("accept-with", accept(ProposedValue::Extended { base, config: config(10) }, None)),
        ("install", request(install)),
        ("learn", request(Request::Learn { epoch: 4, accepted: accepted_proposal(Some(membership())) })),
        ("response", response(None)),
        ("response-other-epoch", response(Some(Rejection::EpochMismatch))),
        ("response-not-a-member", response(Some(Rejection::NotAMember))),
        ("response-outbid", response(Some(Rejection::HigherNumberPromised))),
        ("response-needs-whole", response(Some(Rejection::NeedsCompleteValue))),
        ("response-malformed", response(Some(Rejection::Malformed))),
        ("verify", Message::VerifyQuorum { number: 2 }),
        ("verified", Message::QuorumVerified { number: 2, digest: digest(false) }),
        ("disk", Message::ReplicaReport(report)),
        ("packed", Message::Compressed("q1YqSy0qzszPU7IyqgUA".to_owned())),
    ]
}

/// Index of a message's variant. A new variant does not compile without an arm here, and then needs a case.
fn variant_index(message: &Message) -> usize {
    match message {
        Message::Hello(_) => 0,
        Message::Update { .. } => 1,
        Message::UpdateApplied { .. } => 2,
        Message::Digest(_) => 3,
        Message::Buckets(_) => 4,
        Message::Subscribe(_) => 5,
        Message::Summary(_) => 6,
        Message::RequestConfig { .. } => 7,
        Message::Config(_) => 8,
        Message::ReplicaRequest { .. } => 9,
        Message::ReplicaResponse { .. } => 10,
        Message::VerifyQuorum { .. } => 11,
        Message::QuorumVerified { .. } => 12,
        Message::ReplicaReport(_) => 13,
        Message::Compressed(_) => 14,
    }
}

#[test]
fn every_variant_has_a_case() {
    let covered: std::collections::BTreeSet<usize> = cases().iter().map(|(_, m)| variant_index(m)).collect();
    assert_eq!(covered.into_iter().collect::<Vec<_>>(), (0..15).collect::<Vec<_>>());
}

#[test]
fn messages_are_written_as_earlier_releases_write_them() {
    for (case, message) in cases() {
        let text = serde_json::to_string(&message).expect("a message can be serialized") + "\n";
        assert_golden(&format!("messages/{case}.json"), &text);
    }
}

#[test]
fn messages_of_earlier_releases_are_read_without_loss() {
    for (case, _) in cases() {
        let text = golden(&format!("messages/{case}.json"));
        let message: Message = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{case}: {e}"));
        assert_eq!(
            serde_json::to_string(&message).expect("a message can be serialized") + "\n",
            text,
            "{case}"
        );
    }
}

/// A message is read without the fields that the earliest releases did not have.
#[test]
fn fields_added_by_later_releases_may_be_missing() {
    let is_read_without = |case: &str, field: &str| {
        let text = golden(&format!("messages/{case}.json"));
        let start = text.find(field).unwrap_or_else(|| panic!("{case}: the golden file lacks {field}"));
        let rest = &text[start + field.len()..];
        serde_json::from_str::<Message>(&format!("{}{rest}", &text[..start])).is_ok()
    };
    assert!(is_read_without("summary-no-term", r#","hearing":{"epoch":0,"round":0,"holder":""}"#));
    assert!(is_read_without("update-server-draining", r#","silence":"missed""#));
    assert!(is_read_without("digest-alone", r#","alone":true"#));
}
