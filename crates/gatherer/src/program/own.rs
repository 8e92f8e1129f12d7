//! Our own settings file. It is evaluated by a process of its own, which is bounded in time and memory and whose
//! end harms nobody; the program takes over typed values or nothing.

use std::process::Stdio;
use std::time::Duration;

use ashvane_config::{Evaluated, Fault, Settings};
use tokio::io::AsyncReadExt as _;
use tokio::process::Command;
use tokio::time::timeout;

/// The program that evaluates; it stands beside this one.
const EVALUATOR: &str = "ashvane-script";
/// Time in which a script must be evaluated: it takes some milliseconds.
const EVALUATION_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest result that is read, in bytes.
const MAX_RESULT_BYTES: u64 = 1 << 20;

fn file_fault(file: &str, words: String) -> Vec<Fault> {
    vec![Fault { file: file.to_owned(), line: 0, key: String::new(), words }]
}

/// Evaluates a file for a program that may take so many bytes, in a process of its own.
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
        Ok(Err(e)) => return Err(file_fault(file, format!("{EVALUATOR} could not evaluate it: {e}"))),
        Err(_) => return Err(file_fault(file, format!("not evaluated within {EVALUATION_TIMEOUT:?}"))),
    };
    match serde_json::from_slice(&text) {
        Ok(Evaluated::Settings(settings)) => Ok(settings),
        Ok(Evaluated::Faults(faults)) => Err(faults),
        Err(_) => Err(file_fault(file, format!("takes more memory or stack than it may ({status})"))),
    }
}
