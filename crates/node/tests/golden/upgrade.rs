//! A fleet is upgraded machine by machine: a process of this release runs beside one of an earlier release.
//! The lines of the latter were recorded while a configuration was written, a server sent heartbeats and
//! another one drained.

use std::cell::RefCell;
use std::rc::Rc;

use ashvane_gossip::{Heartbeat, ServerState};
use tokio::io::{AsyncBufReadExt as _, AsyncRead, AsyncWrite, AsyncWriteExt as _, BufReader, split};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::simulation::{Simulation, configuration, finish_recording, ms, run_simulation, start_recording};
use super::{assert_golden, golden, is_writing, path};

const CONTROL_NODES: usize = 3;
/// Index of the only control node that the gateway can reach.
const REACHABLE_INDEX: usize = 0;
const CONTROL_NODE_IP: &str = "10.0.0.1";
const GATEWAY_IP: &str = "10.0.0.4";
/// Time between two replayed lines, long enough for the answer to the first one to be sent.
const LINE_INTERVAL: std::time::Duration = ms(50);

fn heartbeat(id: &str, state: ServerState, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: id.to_owned().into(),
        service: "s".to_owned().into(),
        address: format!("10.9.0.1:{}", 8000 + id.len()).into(),
        zone: "z1".to_owned().into(),
        capacity: 4,
        state,
        sequence,
    }
}

/// Runs three control nodes and a gateway that can reach only one of them, so that these two exchange
/// messages.
async fn run_conversation() {
    fastrand::seed(5);
    let simulation = Simulation::new(CONTROL_NODES, 1, 0);
    ["10.0.0.2", "10.0.0.3"].iter().for_each(|other| simulation.network.disconnect(GATEWAY_IP, other));
    sleep(ms(3000)).await;
    let control_node = simulation.all_machines()[0].clone();
    let call_timeout = ms(1000);
    let text = configuration(7, 3);
    control_node.call(call_timeout, move |agent| async move { drop(agent.put(text.as_bytes()).await) }).await;
    for (id, state, sequence) in
        [("i-1", ServerState::Ready, 1), ("i-20", ServerState::Ready, 1), ("i-20", ServerState::Draining, 2)]
    {
        control_node
            .call(call_timeout, move |agent| async move {
                agent.record_heartbeat(heartbeat(id, state, sequence)).await
            })
            .await;
    }
    sleep(ms(3000)).await;
}

fn record_missing_golden_files() {
    if !is_writing() || path("upgrade-control-node.jsonl").exists() {
        return;
    }
    start_recording();
    run_simulation(run_conversation());
    let traffic = finish_recording().traffic;
    let sent_text = |from: &str, to: &str| {
        let bytes = traffic[&(from.to_owned(), to.to_owned())].clone();
        String::from_utf8(bytes).expect("the traffic is text")
    };
    assert_golden("upgrade-control-node.jsonl", &sent_text(CONTROL_NODE_IP, GATEWAY_IP));
    assert_golden("upgrade-gateway.jsonl", &sent_text(GATEWAY_IP, CONTROL_NODE_IP));
}

/// Sends recorded lines, and returns the lines received meanwhile.
async fn replay(
    lines: String, read: impl AsyncRead + Unpin + 'static, mut write: impl AsyncWrite + Unpin,
) -> Rc<RefCell<Vec<String>>> {
    let received: Rc<RefCell<Vec<String>>> = Rc::default();
    let recorder = received.clone();
    spawn_local(async move {
        let mut lines = BufReader::new(read).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            recorder.borrow_mut().push(line);
        }
    });
    for line in lines.lines() {
        write.write_all(format!("{line}\n").as_bytes()).await.expect("the link is open");
        sleep(LINE_INTERVAL).await;
    }
    received
}

/// Sorted names of the messages in some lines, without duplicates.
fn message_kinds(lines: &[String]) -> Vec<String> {
    let kind = |line: &String| {
        let value: serde_json::Value = serde_json::from_str(line).expect("a line is a message");
        value.as_object().and_then(|object| object.keys().next().cloned()).expect("a message has a name")
    };
    let mut message_kinds: Vec<String> = lines.iter().map(kind).collect();
    message_kinds.sort();
    message_kinds.dedup();
    message_kinds
}

#[test]
fn a_gateway_of_this_release_gets_its_state_from_an_earlier_control_node() {
    record_missing_golden_files();
    run_simulation(async {
        fastrand::seed(5);
        let simulation = Simulation::new(CONTROL_NODES, 1, 0);
        let machines = simulation.all_machines();
        machines[..CONTROL_NODES].iter().for_each(|machine| machine.kill(&simulation.network));
        let mut connections = simulation.network.listen(&format!("{CONTROL_NODE_IP}:7080"));
        let (read, write) = connections.recv().await.expect("the gateway connects to its seed");
        let received = replay(golden("upgrade-control-node.jsonl"), read, write).await;
        let agent = machines[CONTROL_NODES].agent().expect("the gateway runs");
        assert_eq!(agent.config().map(|config| config.version), Some(7));
        assert!(
            agent.is_current(),
            "the gateway has compared its state with a control node that has a quorum"
        );
        assert!(agent.is_server_available(&"i-1".into()) && !agent.is_server_available(&"i-20".into()));
        assert!(!message_kinds(&received.borrow()).is_empty());
        assert_golden("upgrade-gateway-says.txt", &(message_kinds(&received.borrow()).join("\n") + "\n"));
    });
}

#[test]
fn a_control_node_of_this_release_answers_an_earlier_gateway() {
    record_missing_golden_files();
    run_simulation(async {
        fastrand::seed(5);
        let simulation = Simulation::new(CONTROL_NODES, 1, 0);
        let machines = simulation.all_machines();
        machines[CONTROL_NODES].kill(&simulation.network);
        sleep(ms(3000)).await;
        let text = configuration(7, 3);
        machines[REACHABLE_INDEX]
            .call(ms(1000), move |agent| async move { drop(agent.put(text.as_bytes()).await) })
            .await;
        let stream =
            simulation.network.connect(&format!("{CONTROL_NODE_IP}:7080")).expect("the control node listens");
        let (read, write) = split(stream);
        let received = replay(golden("upgrade-gateway.jsonl"), read, write).await;
        let received = received.borrow();
        let count =
            |kind: &str| received.iter().filter(|line| line.starts_with(&format!("{{\"{kind}\""))).count();
        // The answers to hello, verify and want, each of which the recorded gateway sent once, before the
        // server was known.
        assert_eq!((count("hello"), count("verified"), count("config")), (1, 1, 1), "{received:#?}");
        assert_golden("upgrade-control-node-says.txt", &(message_kinds(&received).join("\n") + "\n"));
    });
}
