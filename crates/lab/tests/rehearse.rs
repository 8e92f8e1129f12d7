//! Small versions of the built-in rehearsals, and failure cases of the rig itself. They run the `ashvane`
//! executable of the same build folder.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Time limit for an expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a command that runs `ashvane-rehearse`.
fn rehearse() -> Command {
    let rehearse = Path::new(env!("CARGO_BIN_EXE_ashvane-rehearse"));
    assert!(
        rehearse.with_file_name("ashvane").exists(),
        "the ashvane executable is not built; run the tests of the whole workspace"
    );
    let mut command = Command::new(rehearse);
    command.stdin(Stdio::null());
    command
}

/// Runs `ashvane-rehearse` with these arguments until it exits.
fn run_rehearse(arguments: &[&str]) -> Output {
    rehearse().args(arguments).output().expect("ashvane-rehearse starts")
}

/// Returns standard output followed by standard error.
fn output_text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Maximum number of runs of a rehearsal that the machine is too busy to measure.
const MAX_ATTEMPTS: usize = 5;

/// Checks that a rehearsal passes according to its last line. Runs it again if clients could not send their
/// queries in time, so that it was not measured.
fn check_passes(arguments: &[&str]) {
    for attempts_left in (0..MAX_ATTEMPTS).rev() {
        let output = run_rehearse(arguments);
        let text = output_text(&output);
        let last = text.lines().last().unwrap_or_default();
        if attempts_left > 0 && last.contains("not measured: clients asked") {
            continue;
        }
        assert!(output.status.success() && last.starts_with(&format!("PASS {}", arguments[0])), "{text}");
        assert!(last.contains("seed"), "{last}");
        return;
    }
}

/// Temporary folder of a test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder =
            std::env::temp_dir().join(format!("ashvane-rehearse-test-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        Folder(folder)
    }

    /// Writes a file into the folder and returns its path.
    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.to_str().expect("the temporary path is UTF-8").to_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a script of a small, warmed-up fleet with these actions.
fn script(seconds: u32, actions: &str) -> String {
    format!(
        "about = \"of a test\"\ngatherers = 4\nservers = 4\nzones = 1\ncells = 2\nspan = 2\nshards = 8\n\
         seconds = {seconds}.0\nwarm = true\nkept = true\nrate = 30.0\nparts = 4\n{actions}"
    )
}

#[test]
fn cold_start() {
    check_passes(&["cold-start", "--gatherers", "20", "--seconds", "8"]);
}

#[test]
fn mass_kill() {
    check_passes(&["mass-kill", "--gatherers", "20", "--seconds", "12"]);
}

#[test]
fn split() {
    check_passes(&["split", "--gatherers", "15", "--seconds", "14", "--seed", "3"]);
}

#[test]
fn slow_server() {
    check_passes(&["slow-server", "--gatherers", "12", "--seconds", "14"]);
}

#[test]
fn late_waker() {
    check_passes(&["late-waker", "--gatherers", "12", "--seconds", "14"]);
}

/// The owner of the roster is killed, stopped and cut off in turn.
#[test]
fn owner() {
    check_passes(&["owner", "--gatherers", "8", "--seconds", "28"]);
}

/// Guards against a rig that does not notice the wrong answers and repeated effects of stand-in servers.
#[test]
fn wrong_behaviour_of_stand_ins_is_reported_with_status_1() {
    let folder = Folder::new("wrong");
    for (manner, rule) in [("twice", "effect-twice"), ("spoilt", "false-answer")] {
        let action = format!(
            "[[act]]\nat_ms = 0\ndo = {{ server = {{ who = {{ kind = \"servers\" }}, manner = \"{manner}\", \
             for_ms = 9000 }} }}\n"
        );
        let file = folder.write_file(&format!("{manner}.toml"), &script(2, &action));
        let kept = folder.0.join(manner);
        let output =
            run_rehearse(&[&file, "--json", "--keep", kept.to_str().expect("the temporary path is UTF-8")]);
        let report: serde_json::Value =
            serde_json::from_slice(&output.stdout).expect("standard output is one JSON object");
        assert_eq!((output.status.code(), &report["passed"]), (Some(1), &false.into()));
        assert!(
            report["broken"].as_array().expect("broken is an array").iter().any(|b| b["rule"] == rule),
            "{report}"
        );
        let history = std::fs::read_to_string(kept.join("history.jsonl")).expect("history.jsonl is kept");
        assert!(history.lines().count() > 100 && history.contains("\"what\":\"ran\""));
    }
}

#[test]
fn invalid_arguments_are_rejected_with_status_2_and_a_message() {
    let folder = Folder::new("usage");
    let unknown_bound = folder.write_file("bound.toml", &script(2, "[most]\nno_such_figure = 1.0\n"));
    for arguments in [
        &["no-such"][..],
        &[],
        &["cold-start", "--seeds", "1..2"],
        &["hunt"],
        &["hunt", "--seeds", "x"],
        &["split", "--gatherers", "5000"],
        &["split", "--frobnicate"],
        &[&unknown_bound],
        &["split", "--program", "/nowhere/ashvane"],
    ] {
        let output = run_rehearse(arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(text.starts_with("ashvane-rehearse: "), "{text}");
    }
    let list = output_text(&run_rehearse(&["list"]));
    assert!(["cold-start", "mass-kill", "split", "slow-server"].iter().all(|name| list.contains(name)));
    assert!(output_text(&run_rehearse(&["--help"])).contains("hunt --seeds"));
}

/// Guards against waiting for a gatherer that has already exited, without reporting its exit status and last
/// log lines.
#[test]
fn a_program_that_exits_at_start_is_reported_at_once_with_its_last_lines() {
    use std::os::unix::fs::PermissionsExt as _;
    let folder = Folder::new("unstartable");
    let program = folder.write_file("program", "#!/bin/sh\necho first >&2\necho the reason >&2\nexit 3\n");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755))
        .expect("the script can be made executable");
    let started_at = Instant::now();
    let output = run_rehearse(&["mass-kill", "--program", &program]);
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("ended by itself (exit status: 3)") && text.contains("the reason"), "{text}");
    assert!(started_at.elapsed() < WAIT_TIMEOUT, "the exit was not reported within {WAIT_TIMEOUT:?}");
}

/// Returns the identifiers of the child processes of a process.
fn children(parent: u32) -> Vec<u32> {
    let list = std::fs::read_to_string(format!("/proc/{parent}/task/{parent}/children")).unwrap_or_default();
    list.split_whitespace().filter_map(|pid| pid.parse().ok()).collect()
}

/// Whether a process is running; a zombie is not.
fn is_running(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit_once(") ").is_some_and(|(_, rest)| !rest.starts_with(['Z', 'X']))
}

/// Polls until the condition holds; fails after the time limit.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{what}: condition not met within {WAIT_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against gatherers that outlive the rig. Some are stopped (SIGSTOP) here, since a stopped process
/// does not act on SIGTERM.
#[test]
fn no_gatherer_keeps_running_when_the_rig_exits_is_interrupted_or_is_killed() {
    let folder = Folder::new("left");
    let actions = "[[act]]\nat_ms = 0\ndo = { stop = { who = { kind = \"gatherers\", share = 0.5 }, for_ms = 90000 } }\n";
    let started = |name: &str, seconds| -> (Child, Vec<u32>) {
        let file = folder.write_file(&format!("{name}.toml"), &script(seconds, actions));
        let child = rehearse()
            .arg(file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("ashvane-rehearse starts");
        let stopped = |pid: &u32| {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
        };
        wait_until("two gatherers are stopped", || {
            children(child.id()).iter().filter(|pid| stopped(pid)).count() == 2
        });
        let pids = children(child.id());
        assert_eq!(pids.len(), 4);
        (child, pids)
    };
    for signal in ["INT", "TERM", "KILL"] {
        let (mut child, pids) = started(signal, 60);
        let line = format!("kill -{signal} {}", child.id());
        assert!(Command::new("sh").args(["-c", &line]).status().expect("sh starts").success());
        assert!(!child.wait().expect("the child can be waited for").success(), "{signal}");
        wait_until(signal, || !pids.iter().any(|pid| is_running(*pid)));
    }
    let (mut child, pids) = started("end", 3);
    assert!(child.wait().expect("the child can be waited for").code().is_some());
    wait_until("normal exit", || !pids.iter().any(|pid| is_running(*pid)));
}

/// Guards against a stopped process that blocks the rig or the logs of other processes because it was stopped
/// in the middle of a line. Each process has its own log pipe to prevent this.
#[test]
fn a_process_that_stays_stopped_does_not_block_others() {
    let folder = Folder::new("stopped");
    let actions = "notice_ms = 500\n[least]\nserved_after_share = 0.5\n\n[[act]]\nat_ms = 500\n\
                do = { stop = { who = { kind = \"gatherers\", share = 0.25 }, for_ms = 90000 } }\n\n[[act]]\nat_ms = 800\n\
                do = { list = { trouble = \"sorry\", for_ms = 1500 } }\n\n[[act]]\nat_ms = 1000\nspread_ms = 2000\n\
                do = { restart = { who = { kind = \"gatherers\", from = 0.25, share = 0.75 }, after_ms = 100 } }\n";
    let file = folder.write_file("stopped.toml", &script(6, actions));
    let started_at = Instant::now();
    check_passes(&[&file]);
    assert!(started_at.elapsed() < WAIT_TIMEOUT * MAX_ATTEMPTS as u32);
}

#[test]
fn a_hunt_plays_a_script_for_each_seed_and_finds_no_broken_rule() {
    let output = run_rehearse(&["hunt", "--seeds", "1..3"]);
    let text = output_text(&output);
    assert!(
        output.status.success() && text.contains("PASS hunt seeds 1..3: 2 played, 0 broke a rule"),
        "{text}"
    );
}
