//! A fleet is upgraded machine by machine: a process of this release beside one of an earlier release, of which every line
//! was recorded while a configuration was put, a server was heard and a server left.

use std::cell::RefCell;
use std::rc::Rc;

use ashvane_gossip::{Heartbeat, ServerState};
use tokio::io::{AsyncBufReadExt as _, AsyncRead, AsyncWrite, AsyncWriteExt as _, BufReader, split};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::simulation::{Simulation, configuration, finish_recording, ms, run_simulation, start_recording};
use super::{assert_golden, golden, is_writing, path};

const CONTROL_NODES: usize = 3;
/// The control node that the gateway reaches, by number.
const REACHED: usize = 0;
const CONTROL_NODE: &str = "10.0.0.1";
const GATEWAY: &str = "10.0.0.4";
/// Time between two recorded lines: an answer to the line before is on its way by then.
const BETWEEN: std::time::Duration = ms(50);

fn heartbeat(id: &str, state: ServerState, seq: u64) -> Heartbeat {
    Heartbeat {
        id: id.to_owned().into(),
        service: "s".to_owned().into(),
        address: format!("10.9.0.1:{}", 8000 + id.len()).into(),
        zone: "z1".to_owned().into(),
        capacity: 4,
        state,
        sequence: seq,
    }
}

/// Three control nodes, and a gateway that reaches one of them: what the two say to each other.
async fn conversation() {
    fastrand::seed(5);
    let simulation = Simulation::new(CONTROL_NODES, 1, 0);
    ["10.0.0.2", "10.0.0.3"].iter().for_each(|other| simulation.network.disconnect(GATEWAY, other));
    sleep(ms(3000)).await;
    let control_node = simulation.all_machines()[0].clone();
    let patience = ms(1000);
    let text = configuration(7, 3);
    control_node.call(patience, move |agent| async move { drop(agent.put(text.as_bytes()).await) }).await;
    for (id, state, seq) in
        [("i-1", ServerState::Ready, 1), ("i-20", ServerState::Ready, 1), ("i-20", ServerState::Draining, 2)]
    {
        control_node
            .call(
                patience,
                move |agent| async move { agent.record_heartbeat(heartbeat(id, state, seq)).await },
            )
            .await;
    }
    sleep(ms(3000)).await;
}

fn record_once() {
    if !is_writing() || path("upgrade-control-node.jsonl").exists() {
        return;
    }
    start_recording();
    run_simulation(conversation());
    let traffic = finish_recording().traffic;
    let said = |from: &str, to: &str| {
        let bytes = traffic[&(from.to_owned(), to.to_owned())].clone();
        String::from_utf8(bytes).expect("lines of text")
    };
    assert_golden("upgrade-control-node.jsonl", &said(CONTROL_NODE, GATEWAY));
    assert_golden("upgrade-gateway.jsonl", &said(GATEWAY, CONTROL_NODE));
}

/// Says what was recorded, and keeps what comes back.
async fn replay(
    lines: String, read: impl AsyncRead + Unpin + 'static, mut write: impl AsyncWrite + Unpin,
) -> Rc<RefCell<Vec<String>>> {
    let heard: Rc<RefCell<Vec<String>>> = Rc::default();
    let hearing = heard.clone();
    spawn_local(async move {
        let mut lines = BufReader::new(read).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            hearing.borrow_mut().push(line);
        }
    });
    for line in lines.lines() {
        write.write_all(format!("{line}\n").as_bytes()).await.expect("the link is open");
        sleep(BETWEEN).await;
    }
    heard
}

/// The names of the messages among these lines, each once.
fn kinds(lines: &[String]) -> Vec<String> {
    let kind = |line: &String| {
        let value: serde_json::Value = serde_json::from_str(line).expect("a message");
        value.as_object().and_then(|object| object.keys().next().cloned()).expect("a message has a name")
    };
    let mut kinds: Vec<String> = lines.iter().map(kind).collect();
    kinds.sort();
    kinds.dedup();
    kinds
}

#[test]
fn a_gateway_of_this_release_takes_its_state_from_an_earlier_control_node() {
    record_once();
    run_simulation(async {
        fastrand::seed(5);
        let simulation = Simulation::new(CONTROL_NODES, 1, 0);
        let machines = simulation.all_machines();
        machines[..CONTROL_NODES].iter().for_each(|machine| machine.kill(&simulation.network));
        let mut callers = simulation.network.listen(&format!("{CONTROL_NODE}:7080"));
        let (read, write) = callers.recv().await.expect("the gateway calls its seed");
        let heard = replay(golden("upgrade-control-node.jsonl"), read, write).await;
        let agent = machines[CONTROL_NODES].agent().expect("it runs");
        assert_eq!(agent.config().map(|config| config.version), Some(7));
        assert!(agent.is_current(), "it has compared itself with a control node in contact with a majority");
        assert!(agent.is_server_available(&"i-1".into()) && !agent.is_server_available(&"i-20".into()));
        assert!(!kinds(&heard.borrow()).is_empty());
        assert_golden("upgrade-gateway-says.txt", &(kinds(&heard.borrow()).join("\n") + "\n"));
    });
}

#[test]
fn a_control_node_of_this_release_answers_an_earlier_gateway() {
    record_once();
    run_simulation(async {
        fastrand::seed(5);
        let simulation = Simulation::new(CONTROL_NODES, 1, 0);
        let machines = simulation.all_machines();
        machines[CONTROL_NODES].kill(&simulation.network);
        sleep(ms(3000)).await;
        let text = configuration(7, 3);
        machines[REACHED]
            .call(ms(1000), move |agent| async move { drop(agent.put(text.as_bytes()).await) })
            .await;
        let stream = simulation.network.connect(&format!("{CONTROL_NODE}:7080")).expect("it listens");
        let (read, write) = split(stream);
        let heard = replay(golden("upgrade-gateway.jsonl"), read, write).await;
        let heard = heard.borrow();
        let of = |kind: &str| heard.iter().filter(|line| line.starts_with(&format!("{{\"{kind}\""))).count();
        // To hello, verify and want; the recorded gateway had asked each once, before the server was known.
        assert_eq!((of("hello"), of("verified"), of("config")), (1, 1, 1), "{heard:#?}");
        assert_golden("upgrade-control-node-says.txt", &(kinds(&heard).join("\n") + "\n"));
    });
}
