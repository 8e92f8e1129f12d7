//! Errors at the start of a role.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};

use crate::disk::OpenDiskError;

/// Reason why a role cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The settings of a control node name no folder for its disk.
    #[display("data-dir is missing in the settings; a control node needs it")]
    MissingDataDir,
    /// The disk cannot be opened.
    #[display("{dir}: {reason}")]
    #[from(skip)]
    Disk {
        /// Folder of the disk.
        dir: String,
        /// Reason why the disk cannot be opened.
        #[error(source)]
        reason: OpenDiskError,
    },
    /// A listener cannot be opened.
    #[display("cannot listen on {address}: {reason}")]
    #[from(skip)]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        #[error(source)]
        reason: io::Error,
    },
    /// The `ip` in the settings is not an IP address.
    #[display("{_0} is not an address and a port")]
    #[from(skip)]
    InvalidAddress(#[error(not(source))] String),
    /// The first of the internal ports is above the last.
    #[display("internal-ports is empty: its first port is above its last")]
    NoInternalPort,
    /// The operating system denies a resource that every process needs.
    Runtime(io::Error),
}
