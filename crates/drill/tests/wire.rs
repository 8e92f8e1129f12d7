//! Runs the adapter as a process: a short session, and its error messages for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONFIG: &str = r#"{"balancers": 1, "membership_mode": "pushed", "quantum_us": 5000, "new_key": [1],
 "family_info": {"class_need": [0.5], "floor_by_class": [0.5], "follow_up": [0], "parts_a_call": 1,
  "positions": 2, "span": 2},
 "policy_limits": {"max_attempts": 3, "most_held": 100, "second_copies": false, "may_cancel": false,
  "retry_after": false},
 "request_classes": [{"aim_us": 1000000, "effect": "retryable", "late_share": 0.1}],
 "rules": {"cold_from": 0.2, "cold_us": 5000000, "overload_factor": 2, "fall_us": 1000000}}"#;

fn start_batch() -> String {
    let config = CONFIG.replace('\n', "");
    format!(
        "tick\t1000\ntarget_instance\t4\nlist\t3\t2\nrow\t-\t1\t0\t0\tready\tserver-a\t0\n\
         row\t-\t1\t0\t0\tready\tserver-b\t1\nconfigure\t9\t{config}\nsync\t3\t1\tC\ngo\n"
    )
}

fn run_adapter(input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashvane-drill"));
    let command = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the adapter starts");
    // The adapter may exit at a malformed line before it has read the rest.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn a_query_is_sent_in_parts_and_answered() {
    let query_batch = "tick\t6000\ntarget_instance\t4\nask\t50\t0\t-\t-\t3000000\t-\t8\t-1\t2\t0\n\
               ask\t51\t0\t-\t-\t3000000\t-\t8\t0\t0.5\t0\nask\t52\t0\t-\t-\t3000000\t-\t8\t1\t0.5\t0\ngo\n";
    let output = run_adapter(&(start_batch() + query_batch));
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    assert!(output.status.success() && text.starts_with("yield\ncontext\t4\n"), "{text}");
    let attempts: Vec<&str> = text.lines().filter(|l| l.starts_with("attempt")).collect();
    let fields: Vec<&str> = attempts[0].split('\t').collect();
    assert_eq!((attempts.len(), fields[2]), (1, "2984000"), "{text}");
    let settled = format!(
        "tick\t16000\ntarget_instance\t4\nsettled\t{}\t0\tcompleted\t{}\t10000\t1\t-\ngo\n",
        fields[1], fields[3]
    );
    let text = String::from_utf8(run_adapter(&(start_batch() + query_batch + &settled)).stdout)
        .expect("the output is UTF-8");
    assert!(text.ends_with("context\t4\nrespond\t50\t1\nyield\n"), "{text}");
}

#[test]
fn malformed_input_fails_with_one_message_that_names_line_and_reason() {
    let config = CONFIG.replace('\n', "");
    let cases = [
        ("row\t-\n".to_owned(), "outside a batch"),
        ("tick\tsoon\n".to_owned(), "time_us"),
        ("tick\t1\nfrobnicate\ngo\n".to_owned(), "names no instance"),
        ("tick\t1\ntarget_instance\t1\nfrobnicate\ngo\n".to_owned(), "unknown event"),
        ("tick\t1\ntarget_instance\t1\nring\ngo\n".to_owned(), "ctx is missing"),
        ("tick\t1\ntarget_instance\t1\nsync\t9\t1\tC\ngo\n".to_owned(), "unknown list"),
        ("tick\t1\nlist\t0\t2\nrow\t-\t1\t0\t0\tready\ta\t0\ngo\n".to_owned(), "fewer rows"),
        ("tick\t1\ntarget_instance\t1\nconfigure\t1\t{\ngo\n".to_owned(), "settings"),
        (
            format!("tick\t1\ntarget_instance\t1\nconfigure\t1\t{}\ngo\n", config.replace("aim_us", "x")),
            "config.request_classes[0].aim_us is missing",
        ),
        ("tick\t1\ntarget_instance\t1\nsettled\t1\t0\tlost\ta\t1\t1\t-\ngo\n".to_owned(), "unknown result"),
        ("tick\t1\n".to_owned(), "within a batch"),
        ("tick\t1\nlist\t0\t1\nrow\t-\t1\tnorth\t0\tready\ta\t0\ngo\n".to_owned(), "failure_domain"),
    ];
    for (input, reason) in cases {
        let output = run_adapter(&input);
        let stderr = String::from_utf8(output.stderr).expect("the output is UTF-8");
        assert_eq!(output.status.code(), Some(1), "{input:?}: {stderr}");
        assert!(stderr.contains(reason) && stderr.contains("line "), "{input:?}: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}
