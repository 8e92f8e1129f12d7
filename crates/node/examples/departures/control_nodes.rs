//! Control nodes as processes on loopback addresses, and calls to them.

use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Port of the control calls, the same at each address.
const CONTROL_PORT: u16 = 28_047;
/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Running control nodes. They are killed, and their folder is removed, when this is dropped.
pub(crate) struct ControlNodes {
    processes: Vec<Child>,
    folder: PathBuf,
}

fn ip(node: usize) -> String {
    format!("127.64.0.{}", node + 1)
}

fn settings(node: usize, seeds: &[String], folder: &Path) -> String {
    let ip = ip(node);
    format!(
        "node = \"c-{node}\"\nip = \"{ip}\"\nzone = \"z{}\"\ninternal-ports = [27080, 27095]\nbootstrap = true\n\
         seed-nodes = {seeds:?}\nbeat-interval-ms = 1000\ndata-dir = {:?}\n[listen]\n\
         control = \"{ip}:{CONTROL_PORT}\"\n[fault-budget]\nmachine-losses = 1\n",
        node % 3,
        folder.join(format!("data-{node}")),
    )
}

impl ControlNodes {
    /// Starts control nodes with empty disks.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or a process cannot be started.
    pub(crate) fn start(program: &Path, count: usize) -> io::Result<ControlNodes> {
        let folder = std::env::temp_dir().join(format!("ashvane-departures-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let seeds: Vec<String> = (0..count.min(3)).map(|n| format!("{}:{CONTROL_PORT}", ip(n))).collect();
        let mut nodes = ControlNodes { processes: Vec::new(), folder };
        for node in 0..count {
            let file = nodes.folder.join(format!("{node}.toml"));
            std::fs::write(&file, settings(node, &seeds, &nodes.folder))?;
            let mut command = Command::new(program);
            command.arg("control").env("ASHVANE_CONFIG", &file).stdin(Stdio::null());
            nodes.processes.push(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?);
        }
        Ok(nodes)
    }

    /// Returns the number of control nodes.
    pub(crate) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Sends a call to one of the control nodes, by a number of any size. Returns the body if the call is
    /// acknowledged with status 200.
    pub(crate) fn call(&self, node: usize, method: &str, path: &str, body: &str) -> Option<String> {
        let address = format!("{}:{CONTROL_PORT}", ip(node % self.len()));
        let mut stream = TcpStream::connect(&address).ok()?;
        stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        let (head, body) = response.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200 ").then(|| body.to_owned())
    }

    /// Returns the number of syncs of all disks since the start.
    pub(crate) fn sync_count(&self) -> u64 {
        let syncs = |node| {
            let state = self.call(node, "GET", "/api/state", "")?;
            serde_json::from_str::<serde_json::Value>(&state).ok()?["disk"]["syncs"].as_u64()
        };
        (0..self.len()).filter_map(syncs).sum()
    }
}

impl Drop for ControlNodes {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // A process that has already exited cannot be killed.
            let _ = process.kill();
            let _ = process.wait();
        }
        // The folder is temporary; what cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
