//! Identifiers. Each kind has its own type, so that they cannot be confused. All are reference-counted text,
//! and appear as plain text in messages, on disk and in logs.

mod text_identifier;

use text_identifier::text_identifier;

text_identifier! {
    /// Name of a process. It stays the same across restarts as long as the machine keeps its settings file,
    /// so it does not distinguish incarnations.
    NodeName
}

text_identifier! {
    /// Identifier of a disk as long as its content exists. A wiped disk gets a new identifier, so that it
    /// cannot vote on the basis of state that it has lost.
    DiskId
}

text_identifier! {
    /// Identifier of a server. Each start of a server process creates a new one.
    ServerId
}

text_identifier! {
    /// Name of a service: the set of servers that answer the same requests.
    ServiceName
}

text_identifier! {
    /// Name of a zone, a failure domain of the network.
    Zone
}

text_identifier! {
    /// Address of a listener, as `host:port`.
    Address
}
