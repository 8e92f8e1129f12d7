//! Valid scripts and the settings they give, and faulty scripts and all messages they give.

use ashvane_config::{LogForm, Settings};
use ashvane_memory::Purpose;
use ashvane_script::evaluate;

const MEMORY: u64 = 32 << 20;

fn faults(text: &str) -> Vec<String> {
    let faults = evaluate("own.star", text, MEMORY).expect_err(text);
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn a_script_may_use_expressions_and_loops() {
    let text = r#"
admin(listen = "127.0.0.1:9300")
log(form = "json", lines_a_second = 20)
memory(total = MEMORY // 2)
for purpose in ["values", "answers"]:
    cap(purpose = purpose, bytes = 4 * MB, reserve = 512 * KB)
"#;
    let settings = evaluate("own.star", text, MEMORY).expect("the script is valid");
    assert_eq!(settings.admin, Some(([127, 0, 0, 1], 9300).into()));
    assert_eq!((settings.log.form, settings.log.lines_a_second), (Some(LogForm::Json), Some(20)));
    let limits = settings.limits(MEMORY);
    assert_eq!((limits.total, limits.of(Purpose::Values).cap), (16 << 20, 4 << 20));
    assert_eq!(limits.of(Purpose::Answers).reserve, 512 << 10);
    assert_eq!(evaluate("own.star", "", MEMORY), Ok(Settings::default()));
}

#[test]
fn every_fault_is_reported_with_its_line_and_the_accepted_values() {
    let text = r#"admin(
    listen = "0.0.0.0:9300",
    lisen = 3,
)
log(form = "xml", lines_a_second = 0)
cap(purpose = "valuse", bytes = 1.5)
cap(purpose = "answers", bytes = 4 * MB)
cap(purpose = "answers", bytes = 4 * MB)
memory(16 * MB)
log()
"#;
    let messages = faults(text);
    let expected = [
        "own.star:3: admin.lisen: unknown key; listen is the nearest known one",
        "own.star:2: admin.listen: 0.0.0.0:9300 is not on loopback; 127.0.0.1:9300",
        "own.star:5: log.form: \"xml\" is not \"text\" or \"json\"",
        "own.star:5: log.lines_a_second: 0 is not a whole number of lines from 1 to 10000",
        "own.star:6: cap.bytes: 1.5 is not a whole number of bytes from 65536 to 33554432",
        "own.star:6: cap.purpose: \"valuse\" is no purpose; values is the nearest known one",
        "own.star:8: cap.purpose: \"answers\" has a cap already; state each once",
        "own.star:9: memory: its arguments need names; it takes total",
        "own.star:9: memory: total is missing",
        "own.star:10: log: said before, on line 5; say it once",
    ];
    assert_eq!(messages, expected);
}

#[test]
fn limits_that_contradict_each_other_are_refused() {
    let messages = faults("cap(purpose = \"logs\", bytes = 64 * KB, reserve = 1 * MB)\n");
    assert_eq!(messages, ["own.star:1: cap: logs: its reserve of 1048576 is above its cap of 65536"]);
    assert!(faults("memory(total = MEMORY)")[0].contains("memory.total: 33554432 is not a whole number"));
    assert!(faults("cap(purpose=\"values\", bytes=20*MB)")[0].contains("is above the total"));
}

/// Guards against scripts that do not terminate, overflow the stack or exhaust memory.
#[test]
fn scripts_are_bounded_in_steps_depth_nesting_memory_and_length() {
    let cases = [
        ("for i in range(1000000000):\n    pass\n", "tick"),
        ("def f():\n    f()\nf()\n", "call stack overflow"),
        (&*format!("{}1{}", "[".repeat(5000), "]".repeat(5000)), "brackets within each other"),
        ("x = []\nfor i in range(100000):\n    x.append(str(i) * 10000)\n", "heap"),
        (&*"#".repeat(70_000), "bytes long"),
        ("x = \n", "Parse error"),
        ("load(\"other.star\", \"x\")", "load"),
        ("cap(purpose = nothing)", "nothing"),
        ("fail(\"on purpose\")", "on purpose"),
    ];
    for (text, words) in cases {
        let messages = faults(text);
        assert!(
            messages.len() == 1 && messages[0].to_lowercase().contains(&words.to_lowercase()),
            "{words}: {messages:?}"
        );
    }
    let messages = faults("\n\nx = 1 // 0\n");
    assert!(messages[0].starts_with("own.star:3: "), "{messages:?}");
}

/// Guards against lease terms that keepers cannot enforce, and against sets of keepers without a safe quorum.
#[test]
fn a_fleet_that_cannot_guarantee_a_single_owner_is_refused() {
    let of = |keepers: &str, rest: &str| format!("fleet(keepers = {{{keepers}}}{rest})\n");
    let three = "1: \"127.0.0.1:9401\", 2: \"127.0.0.1:9402\", 3: \"127.0.0.1:9403\"";
    let settings =
        evaluate("own.star", &of(three, ", lease_ms = 2000"), MEMORY).expect("the script is valid");
    let fleet = settings.fleet.expect("the script configures a fleet");
    assert_eq!((fleet.keepers.len(), fleet.lease_ms, fleet.every_ms), (3, 2000, 1000));
    let four = format!("{three}, 4: \"127.0.0.1:9404\"");
    let twice = three.replace("9402", "9401");
    for (text, words) in [
        (of(&four, ""), "4 keepers; 3 or 5 are wanted, an odd number"),
        (of(&twice, ""), "keepers 1 and 2 both have the address 127.0.0.1:9401"),
        (
            of(three, ", lease_ms = 500"),
            "fleet.lease_ms: 500 is not a whole number of milliseconds from 1500",
        ),
        (
            of(three, ", every_ms = 9000"),
            "fleet.every_ms: 9000 is not a whole number of milliseconds from 200 to 3000",
        ),
        (of(three, ", drift_ppm = 500000"), "fleet.drift_ppm"),
        (of("1: \"nowhere\", 2: \"127.0.0.1:1\", 3: \"127.0.0.1:2\"", ""), "\"1\": \"nowhere\" is not as in"),
        ("fleet(keepers = 3)\n".into(), "3 is not a dictionary"),
        ("fleet()\n".into(), "keepers is missing"),
        ("fleet(keeper = {})\n".into(), "keepers is the nearest known one"),
    ] {
        let messages = faults(&text).join("\n");
        assert!(messages.contains(words), "{words}: {messages}");
    }
}
