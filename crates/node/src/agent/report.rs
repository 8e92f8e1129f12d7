//! What this process tells operators of itself: its state as JSON and a line of counters.

use super::*;

impl Agent {
    /// Lines and bytes that this process has said to others, by what they are about.
    pub fn said(&self) -> BTreeMap<&'static str, (u64, u64)> {
        self.links.borrow().counters.out.clone()
    }

    /// All that this process knows, for operators.
    pub fn state(&self) -> Value {
        let (directory, links) = (self.directory.borrow(), self.links.borrow());
        let linked = |name: &NodeName| links.to(name).is_some();
        let feed = self.feed.get().and_then(|n| links.get(n)).map(|l| l.peer.name.clone());
        let nodes: Vec<Value> = directory
            .nodes()
            .map(|n| {
                let state = match (n.name == directory.own().name, n.is_down, linked(&n.name)) {
                    (true, ..) => "this one",
                    (_, true, _) => "down",
                    (_, _, true) => "linked",
                    _ => "known",
                };
                json!({"node": n.name, "state": state, "age": n.generation, "zone": n.zone, "address": n.address,
                    "control": n.control_address, "disk": n.disk, "front": n.is_gateway})
            })
            .collect();
        let servers: Vec<Value> = directory
            .servers()
            .filter(|s| s.state < ServerState::Terminated)
            .map(|s| {
                json!({"server": s.id, "service": s.service, "state": s.state, "silent": s.has_timed_out(),
                    "zone": s.zone, "address": s.address, "heard by": s.monitor, "beat": s.heartbeat_sequence})
            })
            .collect();
        // What each member has said of its own disk; nothing where it is out of sight, or this is a gateway.
        let live = self.live_disks();
        let report = |m: &Member| live.iter().find(|l| l.member.disk == m.disk).and_then(|l| l.report);
        let member = |m: &Member| {
            let report = report(m);
            json!({"disk": m.disk, "address": m.address, "epoch": report.map(|r| r.progress.epoch),
                "version": report.map(|r| r.progress.version), "leaving": report.map(|r| r.is_shutting_down)})
        };
        let membership: Vec<Value> = directory.membership().members.iter().map(member).collect();
        let since = self.in_force_since.get().map(|at| at.elapsed().as_secs());
        let said = self.said().into_iter();
        let said: Vec<Value> = said
            .map(|(cause, (lines, bytes))| json!({"about": cause, "lines": lines, "bytes": bytes}))
            .collect();
        json!({
            "process": {"node": directory.own().name, "leaving": self.leaving.get(), "ready": self.is_ready(),
                "in contact": self.in_contact(), "up for s": self.started.elapsed().as_secs(), "fed by": feed, "links": links.iter().count()},
            "configuration": {"version": self.version(), "in force for s": since,
                "on this disk": self.register.as_ref().and_then(|r| r.stored()).map(|f| f.version)},
            "duties": [
                {"duty": "set of disks", "epoch": directory.membership().epoch, "held here": self.holds_membership()},
                {"duty": "servers of lost control nodes", "epoch": directory.orphan_monitor_term().epoch,
                    "term": directory.orphan_monitor_term().round, "held here": self.holds_hearing()},
            ],
            "said": said, "disks": membership, "nodes": nodes, "servers": servers,
            "allotments": self.plane.as_ref().map_or(Value::Array(Vec::new()), |plane| plane.allotments()),
        })
    }

    /// A line of counters.
    pub fn count(&self) {
        let (directory, links) = (self.directory.borrow(), self.links.borrow());
        let c = &links.counters;
        info!(self.log, "counters"; "nodes" => directory.nodes().filter(|n| !n.is_down).count(),
            "servers" => directory.servers().filter(|s| s.state < ServerState::Terminated).count(),
            "links" => links.iter().count(), "version" => self.version(), "epoch" => directory.membership().epoch,
            "lines_in" => c.lines_in, "unread" => c.unread, "unasked" => c.unasked, "lost" => c.lost,
            "said" => c.out.iter().map(|(cause, (lines, bytes))| format!("{cause}:{lines}:{bytes}"))
                .collect::<Vec<_>>().join(","));
        if let Some(plane) = &self.plane {
            plane.count();
        }
    }
}
