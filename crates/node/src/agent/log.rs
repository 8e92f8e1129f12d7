//! Log lines of a process about itself and the system. The operators' documentation explains each line.

use ashvane_gossip::{InferredTermination, ServerState, TerminationEvidence};
use ashvane_identifiers::DiskId;
use slog::{info, warn};

use super::Agent;
use crate::engine::{LogEvent, UnusableConfig};

impl Agent {
    /// Logs a change of state that the engine has reported.
    pub(super) fn log_event(&self, event: &LogEvent) {
        let log = &self.log;
        match event {
            LogEvent::ConfigInForce { version } => info!(log, "configuration in force"; "version" => version),
            LogEvent::ConfigUnusable { version, reason: UnusableConfig::Compression(_) } => {
                warn!(log, "chosen configuration cannot be decompressed; keeping the one in force";
                    "version" => version);
            }
            LogEvent::ConfigUnusable { version, reason: UnusableConfig::Content(faults) } => {
                warn!(log, "chosen configuration is not valid for this release; keeping the one in force";
                    "version" => version, "faults" => faults.to_string());
            }
            LogEvent::CaughtUp { version } => {
                info!(log, "caught up with a control node in contact with a quorum"; "version" => version);
            }
            LogEvent::QuorumWaitTimedOut => {
                warn!(log, "no control node verified its quorum in time; using the newest known state");
            }
            LogEvent::NodeFailed { name } => {
                info!(log, "process has had no link for 3 s; marked as down"; "node" => name.as_str())
            }
            LogEvent::MembershipChanging { epoch, disks } => {
                info!(log, "membership change started"; "epoch" => epoch, "disks" => join_disks(disks));
            }
            LogEvent::MembershipChanged { epoch } => {
                info!(log, "membership change completed"; "epoch" => epoch);
            }
            LogEvent::OrphanMonitorClaimed { term } => {
                info!(log, "acquired the orphan monitor role"; "epoch" => term.epoch, "round" => term.round);
            }
            LogEvent::TerminationsInferred { count, first: InferredTermination { server, evidence } } => {
                info!(log, "servers inferred to have terminated"; "count" => count,
                    "first" => server.as_str(), "because" => describe(evidence));
            }
            LogEvent::ServersRestored { count, draining, first } => {
                info!(log, "servers restored from the disk"; "count" => count, "draining" => draining,
                    "first" => first.as_str());
            }
            LogEvent::DeparturesStored { count, first } => {
                info!(log, "departures of servers stored"; "count" => count, "first" => first.as_str());
            }
            LogEvent::DepartureAcknowledged { server, state, disks } => {
                info!(log, "departure of a server acknowledged"; "server" => server.as_str(),
                    "state" => state_name(*state), "disks" => join_disks(disks));
            }
            LogEvent::ShuttingDown => info!(log, "graceful shutdown started"),
            LogEvent::SeedsChanged { seeds } => {
                info!(log, "seeds changed"; "seeds" => seeds.join(" "));
            }
        }
    }

    /// Logs the counters of the agent, then those of the data plane.
    pub fn log_counters(&self) {
        let engine = self.engine.borrow();
        let (directory, counters) = (engine.directory(), &engine.links().counters);
        let inferences = directory.inference_counters();
        let sent = counters.sent.iter();
        let sent = sent.map(|(topic, traffic)| format!("{topic}:{}:{}", traffic.messages, traffic.bytes));
        info!(self.log, "counters";
            "nodes" => directory.nodes().filter(|node| !node.is_down).count(),
            "servers" => directory.running_servers().count(),
            "links" => engine.links().len(),
            "version" => engine.version(),
            "epoch" => directory.membership().epoch,
            "lines_in" => counters.received_lines,
            "unread" => counters.malformed_lines,
            "unasked" => counters.unrequested_answers,
            "lost" => counters.closed_connections,
            "disk_writes" => self.disk.as_ref().map_or(0, |disk| disk.counters().writes),
            "syncs" => self.disk.as_ref().map_or(0, |disk| disk.counters().syncs),
            "inferred_ends" => inferences.inferred_terminations,
            "ignored_beats" => inferences.ignored_heartbeats,
            "said" => sent.collect::<Vec<_>>().join(","));
        if let Some(data_plane) = &self.data_plane {
            data_plane.log_counters();
        }
    }
}

fn join_disks(disks: &[DiskId]) -> String {
    disks.iter().map(DiskId::as_str).collect::<Vec<_>>().join(" ")
}

/// Returns the name of a state in the servers' calls.
fn state_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Terminated => "gone",
    }
}

/// Returns the text that a log line has for the reason of an inference.
fn describe(evidence: &TerminationEvidence) -> String {
    match evidence {
        TerminationEvidence::Heartbeat(successor) => format!("heartbeat of {successor} at its address"),
        TerminationEvidence::Update(successor) => format!("update about {successor} at its address"),
        TerminationEvidence::AddressInUse => "timed out, and another server is at its address".to_owned(),
        TerminationEvidence::TimedOut => "timed out for a day".to_owned(),
    }
}
