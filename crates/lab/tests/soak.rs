//! Two-minute soak test with faults in cycles of ten seconds. It runs the `ashvane` executable of the same
//! build folder.

use std::path::Path;
use std::process::Command;

/// Guards against growing memory, missing or false answers, and crashes under faults. The permitted deviation
/// of memory levels is wide because each sixth of the run has only two cycles; the long soak run permits five
/// percent.
#[test]
fn two_minutes_of_faults_cause_no_lost_or_false_answer_and_no_memory_growth() {
    let soak = Path::new(env!("CARGO_BIN_EXE_ashvane-soak"));
    let program = soak.with_file_name("ashvane");
    assert!(program.exists(), "{} is not built; run the tests of the whole workspace", program.display());
    let mut command = Command::new(soak);
    command.arg("--program").arg(&program).args(["--queries", "4800", "--rate", "40", "--cycle", "10"]);
    let output = command.args(["--share", "30", "--slack-kb", "2048"]).output().expect("ashvane-soak starts");
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{stdout}{}", String::from_utf8_lossy(&output.stderr));
}
