//! Purposes that memory is accounted for.

/// Purpose of a memory charge. Allocations without a purpose are reported as unattributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Buffers and state of open connections to clients and shard servers, charged per connection.
    Connections,
    /// Request bodies being read.
    Bodies,
    /// Pending queries and their parts.
    Queries,
    /// Outgoing frames to shard servers.
    Calls,
    /// Incoming frames from shard servers, until their values are stored.
    Frames,
    /// Values stored for answers, and bytes set aside for values that have not arrived yet.
    Values,
    /// Answers being written to clients.
    Answers,
    /// Shard servers and server lists.
    Servers,
    /// Log lines that are queued for writing.
    Logs,
}

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = 9;

    /// All purposes, in the order of their indexes.
    pub const ALL: [Purpose; Purpose::COUNT] = [
        Purpose::Connections,
        Purpose::Bodies,
        Purpose::Queries,
        Purpose::Calls,
        Purpose::Frames,
        Purpose::Values,
        Purpose::Answers,
        Purpose::Servers,
        Purpose::Logs,
    ];

    /// Returns the name used in settings, metrics and JSON.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Connections => "connections",
            Purpose::Bodies => "bodies",
            Purpose::Queries => "queries",
            Purpose::Calls => "calls",
            Purpose::Frames => "frames",
            Purpose::Values => "values",
            Purpose::Answers => "answers",
            Purpose::Servers => "servers",
            Purpose::Logs => "logs",
        }
    }

    /// Whether the purpose is filled by clients, so that each tenant has a share of its cap.
    pub fn is_shared(self) -> bool {
        matches!(self, Purpose::Bodies | Purpose::Queries | Purpose::Values | Purpose::Answers)
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
