//! Identifiers, a type each, so that one kind is never taken for another. All are text that is shared when it is cloned,
//! and stand in messages, on disk and in logs as that text.

mod text_identifier;

use text_identifier::text_identifier;

text_identifier! {
    /// Names a process for as long as its machine keeps its settings file: over restarts, but not over incarnations.
    NodeName
}

text_identifier! {
    /// Identifies a disk for as long as it keeps its content. A disk that is wiped comes back under another id, so that it
    /// has no vote for what it has forgotten.
    DiskId
}

text_identifier! {
    /// Identifies one start of a server: each start is a new server.
    ServerId
}

text_identifier! {
    /// Names a service: the servers that answer the same requests.
    ServiceName
}

text_identifier! {
    /// Names a zone, a failure domain of the network.
    Zone
}

text_identifier! {
    /// Where a listener is reached, `host:port`.
    Address
}
