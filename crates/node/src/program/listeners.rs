//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use super::StartError;
use crate::settings::Settings;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Opens a listener on an address.
pub(super) fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    try_bind(address).map_err(|reason| StartError::Listen { address, reason })
}

fn try_bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Opens a listener on the first free internal port.
pub(super) fn bind_internal(settings: &Settings) -> Result<TcpListener, StartError> {
    let mut last_error = StartError::NoInternalPort;
    for port in settings.internal_ports.iter() {
        let text = format!("{}:{port}", settings.ip);
        let Ok(address) = text.parse() else { return Err(StartError::InvalidAddress(text)) };
        match bind(address) {
            Ok(listener) => return Ok(listener),
            Err(reason) => last_error = reason,
        }
    }
    Err(last_error)
}
