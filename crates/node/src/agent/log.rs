//! The lines that a process logs about itself and the system. The operators' page explains each.

use ashvane_identifiers::DiskId;
use slog::{info, warn};

use super::Agent;
use crate::engine::{LogEvent, UnusableConfig};

impl Agent {
    pub(super) fn log_event(&self, event: &LogEvent) {
        let log = &self.log;
        match event {
            LogEvent::ConfigInForce { version } => info!(log, "configuration in force"; "version" => version),
            LogEvent::ConfigUnusable { version, reason: UnusableConfig::Compression(_) } => {
                warn!(log, "a configuration that others hold cannot be unpacked"; "version" => version);
            }
            LogEvent::ConfigUnusable { version, reason: UnusableConfig::Content(faults) } => {
                warn!(log, "a configuration that others hold cannot be read here";
                    "version" => version, "faults" => faults.to_string());
            }
            LogEvent::CaughtUp { version } => {
                info!(log, "compared with a control node in contact with a majority"; "version" => version);
            }
            LogEvent::QuorumWaitTimedOut => {
                warn!(
                    log,
                    "no control node has found a majority: the newest that is known is used from here on"
                );
            }
            LogEvent::NodeFailed { name } => info!(log, "does not answer"; "node" => name.as_str()),
            LogEvent::MembershipChanging { epoch, disks } => {
                let disks: Vec<&str> = disks.iter().map(DiskId::as_str).collect();
                info!(log, "the set of disks is to change"; "epoch" => epoch, "disks" => disks.join(" "));
            }
            LogEvent::MembershipChanged { epoch } => {
                info!(log, "the set of disks has changed"; "epoch" => epoch);
            }
            LogEvent::OrphanMonitorClaimed { term } => {
                info!(log, "holds the duty of hearing"; "epoch" => term.epoch, "round" => term.round);
            }
            LogEvent::ShuttingDown => info!(log, "leaving"),
            LogEvent::SeedsChanged { seeds } => {
                info!(log, "other machines to begin with"; "seeds" => seeds.join(" "));
            }
        }
    }

    /// Logs a line of counters.
    pub fn log_counters(&self) {
        let engine = self.engine.borrow();
        let (directory, counters) = (engine.directory(), &engine.links().counters);
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
            "said" => sent.collect::<Vec<_>>().join(","));
        if let Some(data_plane) = &self.data_plane {
            data_plane.log_counters();
        }
    }
}
