//! The settings file. A separate process with bounded time and memory evaluates it, so that a crash of the
//! evaluation does not affect the program. The result is the typed settings or a list of faults.

use std::process::Stdio;
use std::time::Duration;

use ashvane_config::{Evaluated, Fault, Settings};
use tokio::io::AsyncReadExt as _;
use tokio::process::Command;
use tokio::time::timeout;

/// Name of the evaluator's executable, which is in the same directory as this program's.
const EVALUATOR: &str = "ashvane-script";
/// Maximum time for the evaluation, which usually takes a few milliseconds.
const EVALUATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of the evaluator's output.
const MAX_RESULT_BYTES: u64 = 1 << 20;

/// Returns a fault of the file as a whole.
fn file_fault(file: &str, words: String) -> Vec<Fault> {
    vec![Fault { file: file.to_owned(), line: 0, key: String::new(), words }]
}

/// Evaluates a settings file in a separate process, for a program with `memory` bytes of memory.
pub(super) async fn load(file: &str, memory: u64) -> Result<Settings, Vec<Fault>> {
    let evaluating = async {
        let mut command = Command::new(std::env::current_exe()?.with_file_name(EVALUATOR));
        command.args(["--settings", file, "--memory-bytes", &memory.to_string()]);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let mut text = Vec::new();
        if let Some(out) = child.stdout.take() {
            out.take(MAX_RESULT_BYTES).read_to_end(&mut text).await?;
        }
        Ok::<_, std::io::Error>((child.wait().await?, text))
    };
    let (status, text) = match timeout(EVALUATION_TIMEOUT, evaluating).await {
        Ok(Ok(result)) => result,
        Ok(Err(e)) => {
            return Err(file_fault(file, format!("cannot run {EVALUATOR} to evaluate the settings: {e}")));
        }
        Err(_) => {
            return Err(file_fault(file, format!("evaluation not finished within {EVALUATION_TIMEOUT:?}")));
        }
    };
    match serde_json::from_slice(&text) {
        Ok(Evaluated::Settings(settings)) => Ok(settings),
        Ok(Evaluated::Faults(faults)) => Err(faults),
        Err(_) => Err(file_fault(file, format!("evaluation exceeded its memory or stack limit ({status})"))),
    }
}
