//! Why a role cannot start.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};

use crate::disk::OpenDiskError;

/// Why a role cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A control node has no disk.
    #[display("a control node needs data-dir in its settings")]
    MissingDataDir,
    /// The disk cannot be opened.
    #[display("{dir}: {reason}")]
    #[from(skip)]
    Disk {
        /// Its folder.
        dir: String,
        /// Why.
        #[error(source)]
        reason: OpenDiskError,
    },
    /// An address cannot be listened on.
    #[display("{address} cannot be listened on: {reason}")]
    #[from(skip)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[error(source)]
        reason: io::Error,
    },
    /// The address of the machine is none.
    #[display("{_0} is no address")]
    #[from(skip)]
    InvalidAddress(#[error(not(source))] String),
    /// The first of the internal ports is above the last.
    #[display("internal-ports names no port")]
    NoInternalPort,
    /// The system refuses what every process needs.
    Runtime(io::Error),
}
