//! What operators and servers give and get: settings, configurations, answers of the control calls, what `show` prints.

use std::net::SocketAddr;
use std::time::Duration;

use ashvane_node::config::Config;
use ashvane_node::operator_client::{self, ClientError, Format};
use ashvane_node::settings::{ListenAddresses, PortRange, RetryBudgetSettings, Settings};

use super::{assert_golden, golden, path};

#[allow(dead_code, reason = "each test uses its part")]
#[path = "../common/mod.rs"]
mod common;

use common::{TestSystem, put_request, run_test, send_request};

fn address(text: &str) -> Option<SocketAddr> {
    Some(text.parse().expect("an address"))
}

/// Every key that is read, none at its default.
#[test]
fn settings_are_read_under_the_names_that_they_have() {
    let read = Settings::parse(&golden("settings.toml"), "settings.toml").expect("settings");
    let expected = Settings {
        node: "c-3".to_owned(),
        ip: "10.1.0.3".to_owned(),
        zone: "north".to_owned(),
        zones: vec!["north".to_owned(), "south".to_owned()],
        internal_ports: PortRange { first: 7080, last: 7095 },
        seeds: vec!["10.1.0.1:8047".to_owned(), "10.1.0.2:8047".to_owned()],
        is_first_start: true,
        data_dir: Some("/var/lib/ashvane".to_owned()),
        heartbeat_interval: Duration::from_millis(1200),
        listen: ListenAddresses {
            gateway: address("10.1.0.3:8043"),
            readiness: address("10.1.0.3:8041"),
            control: address("10.1.0.3:8047"),
        },
        max_fds: 4096,
        memory_mb: 64,
        max_failures: 2,
        catch_up: Duration::from_millis(5500),
        grace: Duration::from_millis(8500),
        retry_budget: RetryBudgetSettings { ratio: 0.25, window: Duration::from_millis(12_500), slack: 40.0 },
    };
    assert_eq!(read, expected);
}

#[test]
fn all_faults_of_settings_are_told_in_the_same_words() {
    let text = golden("settings-faulty.toml");
    let told = Settings::parse(&text, "settings-faulty.toml").expect_err("it is faulty").to_string();
    assert_golden("settings-faulty.txt", &(told + "\n"));
    let told = Settings::parse("node = ", "cut-short.toml").expect_err("it is no TOML").to_string();
    assert_golden("settings-cut-short.txt", &(told + "\n"));
}

#[test]
fn all_faults_of_configurations_are_told_in_the_same_words() {
    let folder = path("../configurations");
    let mut files: Vec<_> =
        std::fs::read_dir(folder).expect("a folder").flatten().map(|e| e.path()).collect();
    files.sort();
    let mut told = String::new();
    for file in files {
        let name = file.file_name().expect("a name").to_string_lossy().into_owned();
        let faults = Config::parse(&std::fs::read(&file).expect("a file")).err();
        let faults = faults.map(|faults| faults.lines()).unwrap_or_default();
        told += &format!("{name}: {faults:?}\n");
    }
    assert_golden("configurations.txt", &told);
}

const CONFIGURATION: &str = r#"{"version":4,"routes":[{"name":"r","host":"h.example","path-prefix":"/r/",
    "kind":"idempotent","deadline-ms":2000,"target-ms":400,"service":"s","max-tries":2}],
    "services":[{"name":"s","max-conns":64}]}"#;

/// Headers that differ from run to run: the length that of the address within the body.
const VARYING: [&str; 2] = ["date", "content-length"];

/// An answer as text; addresses, which differ from run to run, by name.
async fn exchange(system: &TestSystem, what: &str, request: &str) -> String {
    let answer = send_request(system.control, request).await.expect("an answer");
    let mut text = format!("== {what}\n{}\n", answer.start_line);
    for (name, value) in answer.headers.iter().filter(|(name, _)| !VARYING.contains(&name.as_str())) {
        text += &format!("{name}: {value}\n");
    }
    text += &format!("{}\n", String::from_utf8_lossy(&answer.body));
    text.replace(&system.control.to_string(), "CONTROL")
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: c\r\n\r\n")
}

fn delete(path: &str) -> String {
    format!("DELETE {path} HTTP/1.1\r\nHost: c\r\n\r\n")
}

fn instance(state: &str, seq: u64) -> String {
    let body = format!(
        r#"{{"service":"s","address":"127.0.0.1:9","zone":"a","capacity":4,"state":"{state}","call-seq":{seq}}}"#
    );
    put_request("/api/instances/i-1", &body)
}

#[test]
fn control_calls_are_answered_as_before() {
    run_test(async {
        let system = TestSystem::start("golden-api");
        system.wait_for_status(system.control, &get("/api/configuration"), 404).await;
        let other = CONFIGURATION.replace("2000", "1500");
        let calls = [
            ("no configuration yet", get("/api/configuration")),
            ("a configuration", put_request("/api/configuration", CONFIGURATION)),
            ("the same again", put_request("/api/configuration", CONFIGURATION)),
            ("another text under its version", put_request("/api/configuration", &other)),
            (
                "an older version",
                put_request("/api/configuration", &CONFIGURATION.replace("\"version\":4", "\"version\":2")),
            ),
            ("no configuration at all", put_request("/api/configuration", "[]")),
            ("the newest", get("/api/configuration")),
            ("a server", instance("ready", 1)),
            ("a server that drains", instance("draining", 2)),
            ("a server of no known state", instance("asleep", 3)),
            ("a server that is nowhere", put_request("/api/instances/i-2", r#"{"address":"nowhere"}"#)),
            ("a server that ends", delete("/api/instances/i-1")),
            ("a server that nobody knows ends", delete("/api/instances/i-9")),
            ("readiness", get("/api/readiness")),
            ("no such call", get("/api/nothing")),
        ];
        let mut text = String::new();
        for (what, request) in calls {
            text += &exchange(&system, what, &request).await;
        }
        assert_golden("control-calls.txt", &text);
    });
}

#[test]
fn the_operators_client_prints_what_it_printed() {
    run_test(async {
        let system = TestSystem::start("golden-client");
        system.wait_for_status(system.control, &get("/api/configuration"), 404).await;
        let control = system.control.to_string();
        let calls = tokio::task::spawn_blocking(move || {
            let at = vec![control.clone()];
            let other = CONFIGURATION.replace("2000", "1500");
            let older = CONFIGURATION.replace("\"version\":4", "\"version\":2");
            let printed = [
                operator_client::get(&at),
                operator_client::put(&at, CONFIGURATION.into()),
                operator_client::put(&at, other.into()),
                operator_client::put(&at, older.into()),
                operator_client::put(&at, b"{\"version\":1}".to_vec()),
                operator_client::get(&at),
                operator_client::show(&at, "duties", Format::Tables),
                operator_client::show(&at, "duties", Format::Json),
                operator_client::show(&at, "disks", Format::Tables),
                operator_client::show(&at, "servers", Format::Tables),
                operator_client::show(&at, "nothing", Format::Tables),
            ];
            let text = |result: Result<String, ClientError>| match result {
                Ok(text) => format!("ok: {text}\n"),
                Err(fault) => format!("error: {fault}\n"),
            };
            let ip = control.split(':').next().unwrap_or_default().to_owned();
            let text: String = printed.into_iter().map(text).collect();
            let text = text.replace(&control, "CONTROL").replace(&ip, "IP");
            // Columns are as wide as the addresses in them.
            text.lines()
                .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" ") + "\n")
                .collect::<String>()
        });
        assert_golden("client.txt", &calls.await.expect("no panic"));
    });
}
