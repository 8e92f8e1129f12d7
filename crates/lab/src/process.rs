//! Child processes that run the real program, each with its own configuration and log. They are killed when
//! the rig exits.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

use crate::history::{EventKind, Recorder};
use crate::node::Node;

/// Number of last log lines that are reported when a process exits unexpectedly.
const KEPT_LOG_LINES: usize = 8;
/// Time that a process has to exit after SIGTERM before it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(8);
/// First argument that makes the rig's program call [`launch`].
pub const LAUNCH: &str = "launch";

/// Replaces this process by a program that is killed when its parent dies. The arguments are `PARENT PROGRAM
/// ARGS`, with the parent's process id. Returns only on failure, with the error.
pub fn launch(mut arguments: impl Iterator<Item = std::ffi::OsString>) -> String {
    use std::os::unix::process::CommandExt as _;
    let parent = arguments.next().and_then(|p| p.to_str()?.parse::<i32>().ok());
    let Some(program) = arguments.next() else { return "launcher: no program given".into() };
    if let Err(e) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return format!("launcher: cannot set the parent death signal: {e}");
    }
    // The parent may have died before the death signal was set.
    if rustix::process::getppid().map(Pid::as_raw_pid) != parent {
        return "launcher: the parent process has already exited".into();
    }
    format!("{}: {}", program.to_string_lossy(), std::process::Command::new(&program).args(arguments).exec())
}

/// Signal that a rehearsal may send to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    Term,
    Kill,
    Stop,
    Continue,
}

impl ProcessSignal {
    fn number_and_name(self) -> (Signal, &'static str) {
        match self {
            ProcessSignal::Term => (Signal::TERM, "TERM"),
            ProcessSignal::Kill => (Signal::KILL, "KILL"),
            ProcessSignal::Stop => (Signal::STOP, "STOP"),
            ProcessSignal::Continue => (Signal::CONT, "CONT"),
        }
    }
}

/// Command line and environment of a process.
#[derive(Clone)]
pub struct LaunchSpec {
    /// Program that calls [`launch`] when its first argument is [`LAUNCH`].
    pub launcher: PathBuf,
    pub program: PathBuf,
    pub arguments: Vec<String>,
    /// Environment variables, set in addition to the inherited ones.
    pub variables: Vec<(String, String)>,
}

/// A node of the rehearsal that runs as a child process and may be restarted.
pub struct Process {
    pub node: Node,
    recorder: Recorder,
    /// Process id; none while the process is not running.
    pid: Arc<Mutex<Option<Pid>>>,
    running: watch::Sender<bool>,
    /// Whether the process was told to end, so that its exit is expected.
    exit_expected: Arc<AtomicBool>,
    last_lines: Arc<Mutex<VecDeque<String>>>,
    /// Receives a description of each unexpected exit.
    exit_reports: tokio::sync::mpsc::UnboundedSender<String>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Process {
    pub fn new(
        node: Node, recorder: Recorder, exit_reports: tokio::sync::mpsc::UnboundedSender<String>,
    ) -> Process {
        let running = watch::Sender::new(false);
        Process {
            node,
            recorder,
            pid: Arc::default(),
            running,
            exit_expected: Arc::default(),
            last_lines: Arc::default(),
            exit_reports,
        }
    }

    /// Whether the process has been started and its exit has not been observed.
    pub fn is_running(&self) -> bool {
        *self.running.borrow()
    }

    /// Starts the process. Must be called on a thread that lives as long as the rig, because the parent death
    /// signal is sent when the spawning thread exits.
    pub fn start(&self, spec: &LaunchSpec) -> Result<(), String> {
        let mut command = Command::new(&spec.launcher);
        command.arg(LAUNCH).arg(std::process::id().to_string()).arg(&spec.program).args(&spec.arguments);
        for name in ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
            command.env_remove(name);
        }
        command.envs(spec.variables.iter().cloned()).stdin(Stdio::null()).stdout(Stdio::null());
        let spawned = command.stderr(Stdio::piped()).kill_on_drop(true).spawn();
        let mut child = spawned.map_err(|e| format!("cannot start {}: {e}", self.node))?;
        *locked(&self.pid) = child.id().and_then(|id| Pid::from_raw(id as i32));
        self.exit_expected.store(false, Ordering::SeqCst);
        self.running.send_replace(true);
        self.recorder.record(EventKind::Started { node: self.node });
        let log = child.stderr.take();
        tokio::spawn(Self::read_log(log, self.node, self.recorder.clone(), self.last_lines.clone()));
        tokio::spawn(self.watch(child));
        Ok(())
    }

    /// Records the log lines of a process. Each process has its own pipe, so a stopped one does not block the
    /// others.
    async fn read_log(
        log: Option<tokio::process::ChildStderr>, node: Node, recorder: Recorder,
        last_lines: Arc<Mutex<VecDeque<String>>>,
    ) {
        let Some(log) = log else { return };
        let mut lines = BufReader::new(log).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let mut lines_kept = locked(&last_lines);
            lines_kept.truncate(KEPT_LOG_LINES - 1);
            lines_kept.push_front(line.clone());
            drop(lines_kept);
            recorder.record(parse_log_line(node, &line).unwrap_or(EventKind::Logged { node, line }));
        }
    }

    /// Waits for the process to exit, and records and reports the exit.
    fn watch(&self, mut child: Child) -> impl Future<Output = ()> + use<> {
        let (node, recorder, pid, running) =
            (self.node, self.recorder.clone(), self.pid.clone(), self.running.clone());
        let (exit_expected, last_lines, exit_reports) =
            (self.exit_expected.clone(), self.last_lines.clone(), self.exit_reports.clone());
        async move {
            let status = child.wait().await;
            *locked(&pid) = None;
            let (well, description) = match status {
                Ok(status) => (status.success(), status.to_string()),
                Err(e) => (false, e.to_string()),
            };
            recorder.record(EventKind::Exited { node, well, status: description.clone() });
            if !exit_expected.load(Ordering::SeqCst) {
                // The last log lines may still be in the pipe.
                tokio::time::sleep(Duration::from_millis(50)).await;
                let lines: Vec<String> = locked(&last_lines).iter().rev().cloned().collect();
                let _ = exit_reports.send(format!(
                    "{node} ended by itself ({description}); its last lines:\n{}",
                    lines.join("\n")
                ));
            }
            running.send_replace(false);
        }
    }

    /// Sends a signal if the process is running.
    pub fn send_signal(&self, signal_kind: ProcessSignal) {
        let pid = locked(&self.pid);
        let Some(pid) = *pid else { return };
        let (signal, name) = signal_kind.number_and_name();
        self.recorder.record(EventKind::Signalled { node: self.node, signal: name });
        if matches!(signal_kind, ProcessSignal::Term | ProcessSignal::Kill) {
            self.exit_expected.store(true, Ordering::SeqCst);
        }
        let _ = kill_process(pid, signal);
    }

    /// Waits until the process has exited; kills it after [`EXIT_TIMEOUT`].
    pub async fn wait_for_exit(&self) {
        let mut running = self.running.subscribe();
        if tokio::time::timeout(EXIT_TIMEOUT, running.wait_for(|r| !r)).await.is_err() {
            self.send_signal(ProcessSignal::Kill);
            let _ = running.wait_for(|r| !r).await;
        }
    }

    /// Returns the CPU time that the process has used since its start.
    pub fn cpu_time(&self) -> Option<Duration> {
        cpu_time(format!("/proc/{}/stat", locked(&self.pid).as_ref()?.as_raw_pid()))
    }
}

/// Parses a log line about duties into its event; returns `None` for any other line.
fn parse_log_line(node: Node, line: &str) -> Option<EventKind> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let duty = || Some(line["duty"].as_str()?.to_owned());
    if let Some(place) = line["at"].as_u64() {
        let (epoch, wrote) = (line["holds"]["epoch"].as_u64()?, line["reply"]["written"]["version"].as_u64());
        return Some(EventKind::Agreed { node, place, duty: duty()?, epoch, wrote });
    }
    match line["words"].as_str()? {
        "owns" => Some(EventKind::Owns { node, duty: duty()?, epoch: line["epoch"].as_u64()? }),
        "gives up" => Some(EventKind::GaveUp { node, duty: duty()? }),
        "follows" => Some(EventKind::Follows { node, duty: duty()?, epoch: line["epoch"].as_u64()? }),
        "roster" => Some(EventKind::Counts { node, alive: line["alive"].as_u64()? as u32 }),
        _ => None,
    }
}

/// Reads the CPU time from a `/proc/PID/stat` file, which counts in hundredths of a second.
pub fn cpu_time(path: impl AsRef<Path>) -> Option<Duration> {
    let stat = std::fs::read_to_string(path).ok()?;
    let mut fields = stat.rsplit_once(") ")?.1.split(' ').skip(11);
    let ticks = fields.next()?.parse::<u64>().ok()? + fields.next()?.parse::<u64>().ok()?;
    Some(Duration::from_millis(ticks * 10))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_log_lines_about_duties_are_parsed_into_events() {
        let (g, k) = (Node::Gatherer(3), Node::Keeper(1));
        let owns = parse_log_line(
            g,
            r#"{"at_ms":1,"name":"g3","level":"INFO","words":"owns","duty":"roster","epoch":4}"#,
        );
        assert_eq!(owns, Some(EventKind::Owns { node: g, duty: "roster".into(), epoch: 4 }));
        let line = r#"{"at":9,"duty":"roster","holds":{"owner":"x","epoch":4,"beat":2},"reply":{"written":{"version":7}}}"#;
        let agreed = EventKind::Agreed { node: k, place: 9, duty: "roster".into(), epoch: 4, wrote: Some(7) };
        assert_eq!(parse_log_line(k, line), Some(agreed));
        assert_eq!(parse_log_line(g, r#"{"words":"goes on","phase":"Ready"}"#), None);
        assert_eq!(parse_log_line(g, "not JSON"), None);
    }
}
