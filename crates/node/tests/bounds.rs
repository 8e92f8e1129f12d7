//! A gateway's data plane keeps no state of servers that have terminated.

use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Directory, Heartbeat, Node, ServerState};
use ashvane_node::data_plane::DataPlane;
use ashvane_node::pool::TcpConnector;
use ashvane_node::settings::Settings;
use slog::{Discard, Logger, o};
use tokio::task::LocalSet;

const SETTINGS: &str = "node = \"g\"\nip = \"10.0.0.1\"\nzone = \"z\"\ninternal-ports = [7080, 7095]\nbootstrap = false\n\
    seed-nodes = [\"10.0.0.2:8047\"]\nbeat-interval-ms = 1000\n[listen]\nfront = \"10.0.0.1:8043\"\n";

fn own_node() -> Node {
    Node {
        name: "g".to_owned().into(),
        incarnation: 1,
        generation: 1,
        is_down: false,
        address: "10.0.0.1:7080".to_owned().into(),
        control_address: None,
        zone: "z".to_owned().into(),
        is_gateway: true,
        disk: None,
    }
}

/// Guards against a leak: forty thousand servers start per day, each under a new identifier, so that state
/// kept for terminated servers would grow without bound.
#[tokio::test(start_paused = true)]
async fn a_data_plane_keeps_no_state_of_terminated_servers() {
    let test = async {
        let settings = Settings::parse(SETTINGS, "-").expect("the settings are valid");
        let data_plane = DataPlane::new(&settings, Rc::new(TcpConnector), Logger::root(Discard, o!()));
        let second = Duration::from_secs(1);
        let mut directory = Directory::new(own_node(), second, Duration::ZERO);
        for n in 0..500u32 {
            let heartbeat = Heartbeat {
                id: format!("s{n}").into(),
                service: "v".to_owned().into(),
                address: format!("x{}:1", n % 10).into(),
                zone: "z".to_owned().into(),
                capacity: 2,
                state: ServerState::Ready,
                sequence: 1,
            };
            let mut updates = directory.record_heartbeat(heartbeat, second * n);
            if n >= 10 {
                updates.extend(directory.deregister(&format!("s{}", n - 10).into(), second * n));
            }
            data_plane.servers_changed(&directory, &updates);
            assert!(
                data_plane.server_count() <= 11,
                "the data plane keeps {} servers after server {n} started",
                data_plane.server_count()
            );
        }
        assert!(data_plane.has_ready_server());
    };
    LocalSet::new().run_until(test).await;
}
