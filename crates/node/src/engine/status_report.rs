//! Status report of this process for operators. The field names are those of the operators' documentation.

use std::time::Duration;

use ashvane_gossip::{Node, Server};
use ashvane_quorum::Member;
use ashvane_quorum::membership_manager::{LiveReplica, MembershipView};
use serde_json::{Value, json};

use super::{Engine, Register, live_replicas};
use crate::disk::DiskCounters;

/// Parts of the status report that the engine does not know.
#[derive(Clone, Debug)]
pub struct StatusContext {
    /// Whether this process can serve clients' requests.
    pub is_ready: bool,
    /// Use of the data plane's shares of the budgets.
    pub allotments: Value,
    /// Operations on the local disk; `None` at a process without a disk.
    pub disk: Option<DiskCounters>,
}

impl Engine {
    /// Returns the status report.
    #[must_use]
    pub fn status(&self, context: StatusContext, now: Duration) -> Value {
        let live = live_replicas(&self.directory, &self.links, self.replica_report(), now);
        let members = &self.directory.membership().members;
        json!({
            "process": self.process_status(context.is_ready, now),
            "configuration": self.configuration_status(now),
            "duties": self.roles_status(&live),
            "said": self.traffic_status(),
            "disk": context.disk.map(|disk| self.disk_status(disk)),
            "disks": members.iter().map(|member| member_status(member, &live)).collect::<Vec<_>>(),
            "nodes": self.directory.nodes().map(|node| self.node_status(node)).collect::<Vec<_>>(),
            "servers": self.directory.running_servers().map(server_status).collect::<Vec<_>>(),
            "inferences": self.inference_status(),
            "allotments": context.allotments,
        })
    }

    fn process_status(&self, is_ready: bool, now: Duration) -> Value {
        let source = self.update_source.and_then(|link| self.links.get(link));
        json!({
            "node": self.directory.own_node().name,
            "leaving": self.is_shutting_down,
            "ready": is_ready,
            "in contact": self.quorum_contact(now).exists(),
            "up for s": now.as_secs(),
            "fed by": source.map(|link| link.peer.name.clone()),
            "links": self.links.len(),
        })
    }

    fn configuration_status(&self, now: Duration) -> Value {
        let in_force_for = self.config.since().map(|since| now.saturating_sub(since).as_secs());
        json!({
            "version": self.version(),
            "in force for s": in_force_for,
            "on this disk": self.register.as_ref().and_then(Register::accepted_version),
        })
    }

    fn roles_status(&self, live: &[LiveReplica]) -> Value {
        let membership = self.directory.membership();
        let view = MembershipView { membership, live };
        let is_coordinator =
            view.coordinator().is_some_and(|coordinator| Some(&coordinator.disk) == self.own_disk());
        let term = self.directory.orphan_monitor_term();
        json!([
            {"duty": "set of disks", "epoch": membership.epoch, "held here": is_coordinator},
            {
                "duty": "servers of lost control nodes",
                "epoch": term.epoch,
                "term": term.round,
                "held here": self.orphan_monitor.is_held(&self.directory),
            },
        ])
    }

    fn disk_status(&self, disk: DiskCounters) -> Value {
        json!({
            "writes": disk.writes,
            "syncs": disk.syncs,
            "departures unsynced": self.departures.unsynced_count(),
        })
    }

    fn traffic_status(&self) -> Value {
        let sent = self.links.counters.sent.iter();
        sent.map(
            |(topic, traffic)| json!({"about": topic, "lines": traffic.messages, "bytes": traffic.bytes}),
        )
        .collect()
    }

    fn inference_status(&self) -> Value {
        let counters = self.directory.inference_counters();
        json!({
            "servers ended": counters.inferred_terminations,
            "beats ignored": counters.ignored_heartbeats,
        })
    }

    fn node_status(&self, node: &Node) -> Value {
        let state = if node.name == self.directory.own_node().name {
            "this one"
        } else if node.is_down {
            "down"
        } else if self.links.to_node(&node.name).is_some() {
            "linked"
        } else {
            "known"
        };
        json!({
            "node": node.name,
            "state": state,
            "age": node.generation,
            "zone": node.zone,
            "address": node.address,
            "control": node.control_address,
            "disk": node.disk,
            "front": node.is_gateway,
        })
    }
}

/// Last report of a member on its disk. The values are null if the member is not live, or if this process is
/// a gateway.
fn member_status(member: &Member, live: &[LiveReplica]) -> Value {
    let replica = live.iter().find(|replica| replica.member.disk == member.disk);
    let report = replica.and_then(|replica| replica.report);
    json!({
        "disk": member.disk,
        "address": member.address,
        "epoch": report.map(|report| report.progress.epoch),
        "version": report.map(|report| report.progress.version),
        "leaving": report.map(|report| report.is_shutting_down),
    })
}

fn server_status(server: &Server) -> Value {
    json!({
        "server": server.id,
        "service": server.service,
        "state": server.state,
        "silent": server.has_timed_out(),
        "zone": server.zone,
        "address": server.address,
        "heard by": server.monitor,
        "beat": server.heartbeat_sequence,
    })
}
