//! Processes of the real program, each with its own configuration, log and end. They die with the rig.

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

/// Last lines of a log that are told where a process ends unasked.
const LAST_LINES: usize = 8;
/// Time for a process to end after SIGTERM before it is killed to be started anew.
const END_MOST: Duration = Duration::from_secs(8);
/// Its own word for the launcher, which the rig's program has to pass on to [`launch`].
pub const LAUNCH: &str = "launch";

/// Runs a program in the place of this process, so that it is killed when its parent dies: `PARENT PROGRAM ARGS`.
/// Returns only with what went wrong.
pub fn launch(mut arguments: impl Iterator<Item = std::ffi::OsString>) -> String {
    use std::os::unix::process::CommandExt as _;
    let parent = arguments.next().and_then(|p| p.to_str()?.parse::<i32>().ok());
    let Some(program) = arguments.next() else { return "no program to launch".into() };
    if let Err(e) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return format!("cannot be tied to its parent: {e}");
    }
    // The parent may have died before that.
    if rustix::process::getppid().map(Pid::as_raw_pid) != parent {
        return "its parent is gone".into();
    }
    format!("{}: {}", program.to_string_lossy(), std::process::Command::new(&program).args(arguments).exec())
}

/// What may happen to a process at a moment, apart from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    Term,
    Kill,
    Stop,
    Wake,
}

impl ProcessAction {
    fn signal(self) -> (Signal, &'static str) {
        match self {
            ProcessAction::Term => (Signal::TERM, "TERM"),
            ProcessAction::Kill => (Signal::KILL, "KILL"),
            ProcessAction::Stop => (Signal::STOP, "STOP"),
            ProcessAction::Wake => (Signal::CONT, "CONT"),
        }
    }
}

/// How one is started.
#[derive(Clone)]
pub struct LaunchSpec {
    /// A program that passes [`LAUNCH`] on to [`launch`].
    pub launcher: PathBuf,
    pub program: PathBuf,
    pub arguments: Vec<String>,
    pub variables: Vec<(String, String)>,
}

pub struct Process {
    pub node: Node,
    recorder: Recorder,
    /// While it runs.
    pid: Arc<Mutex<Option<Pid>>>,
    running: watch::Sender<bool>,
    /// Whether its end is wanted.
    wanted: Arc<AtomicBool>,
    last: Arc<Mutex<VecDeque<String>>>,
    /// Told of an end that nobody asked for: the words for it.
    unexpected_exits: tokio::sync::mpsc::UnboundedSender<String>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Process {
    pub fn new(
        node: Node, recorder: Recorder, unexpected_exits: tokio::sync::mpsc::UnboundedSender<String>,
    ) -> Process {
        let running = watch::Sender::new(false);
        Process {
            node,
            recorder,
            pid: Arc::default(),
            running,
            wanted: Arc::default(),
            last: Arc::default(),
            unexpected_exits,
        }
    }

    pub fn runs(&self) -> bool {
        *self.running.borrow()
    }

    /// Starts it. To be called on the thread that lasts as long as the rig: the child dies with that one.
    pub fn start(&self, how: &LaunchSpec) -> Result<(), String> {
        let mut command = Command::new(&how.launcher);
        command.arg(LAUNCH).arg(std::process::id().to_string()).arg(&how.program).args(&how.arguments);
        for name in ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
            command.env_remove(name);
        }
        command.envs(how.variables.iter().cloned()).stdin(Stdio::null()).stdout(Stdio::null());
        let spawned = command.stderr(Stdio::piped()).kill_on_drop(true).spawn();
        let mut child = spawned.map_err(|e| format!("{} does not start: {e}", self.node))?;
        *locked(&self.pid) = child.id().and_then(|id| Pid::from_raw(id as i32));
        self.wanted.store(false, Ordering::SeqCst);
        self.running.send_replace(true);
        self.recorder.record(EventKind::Started { node: self.node });
        let log = child.stderr.take();
        tokio::spawn(Self::read_log(log, self.node, self.recorder.clone(), self.last.clone()));
        tokio::spawn(self.watch(child));
        Ok(())
    }

    /// Each process has a pipe of its own: one that is stopped holds up nobody else's lines.
    async fn read_log(
        log: Option<tokio::process::ChildStderr>, node: Node, recorder: Recorder,
        last: Arc<Mutex<VecDeque<String>>>,
    ) {
        let Some(log) = log else { return };
        let mut lines = BufReader::new(log).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let mut kept = locked(&last);
            kept.truncate(LAST_LINES - 1);
            kept.push_front(line.clone());
            drop(kept);
            recorder.record(said(node, &line).unwrap_or(EventKind::Logged { node, line }));
        }
    }

    /// Sees it end.
    fn watch(&self, mut child: Child) -> impl Future<Output = ()> + use<> {
        let (node, recorder, pid, running) =
            (self.node, self.recorder.clone(), self.pid.clone(), self.running.clone());
        let (wanted, last, unexpected_exits) =
            (self.wanted.clone(), self.last.clone(), self.unexpected_exits.clone());
        async move {
            let status = child.wait().await;
            *locked(&pid) = None;
            let (well, words) = match status {
                Ok(status) => (status.success(), status.to_string()),
                Err(e) => (false, e.to_string()),
            };
            recorder.record(EventKind::Exited { node, well, status: words.clone() });
            if !wanted.load(Ordering::SeqCst) {
                // Its last lines may still be on their way through the pipe.
                tokio::time::sleep(Duration::from_millis(50)).await;
                let lines: Vec<String> = locked(&last).iter().rev().cloned().collect();
                let _ = unexpected_exits
                    .send(format!("{node} ended by itself ({words}); its last lines:\n{}", lines.join("\n")));
            }
            running.send_replace(false);
        }
    }

    /// Sends a signal, where it runs.
    pub fn act(&self, act: ProcessAction) {
        let pid = locked(&self.pid);
        let Some(pid) = *pid else { return };
        let (signal, name) = act.signal();
        self.recorder.record(EventKind::Signalled { node: self.node, signal: name });
        if matches!(act, ProcessAction::Term | ProcessAction::Kill) {
            self.wanted.store(true, Ordering::SeqCst);
        }
        let _ = kill_process(pid, signal);
    }

    /// Waits until it has ended; kills it if it does not.
    pub async fn ended(&self) {
        let mut running = self.running.subscribe();
        if tokio::time::timeout(END_MOST, running.wait_for(|r| !r)).await.is_err() {
            self.act(ProcessAction::Kill);
            let _ = running.wait_for(|r| !r).await;
        }
    }

    /// Processor time that it has used since its start.
    pub fn cpu_time(&self) -> Option<Duration> {
        cpu_time(format!("/proc/{}/stat", locked(&self.pid).as_ref()?.as_raw_pid()))
    }
}

/// What a line of a process's log says of duties, if it is about them.
fn said(node: Node, line: &str) -> Option<EventKind> {
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

/// Processor time in a `stat` file, which counts in hundredths of a second.
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
    fn what_is_said_of_duties_is_read_from_the_log_lines_and_nothing_else() {
        let (g, k) = (Node::Gatherer(3), Node::Keeper(1));
        let owns =
            said(g, r#"{"at_ms":1,"name":"g3","level":"INFO","words":"owns","duty":"roster","epoch":4}"#);
        assert_eq!(owns, Some(EventKind::Owns { node: g, duty: "roster".into(), epoch: 4 }));
        let line = r#"{"at":9,"duty":"roster","holds":{"owner":"x","epoch":4,"beat":2},"reply":{"written":{"version":7}}}"#;
        let agreed = EventKind::Agreed { node: k, place: 9, duty: "roster".into(), epoch: 4, wrote: Some(7) };
        assert_eq!(said(k, line), Some(agreed));
        assert_eq!(said(g, r#"{"words":"goes on","phase":"Ready"}"#), None);
        assert_eq!(said(g, "not JSON"), None);
    }
}
