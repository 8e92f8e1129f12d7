//! The interface to operators and servers: settings, configurations, answers to control calls, and the output
//! of `show`.

use std::net::SocketAddr;
use std::time::Duration;

use ashvane_node::config::Config;
use ashvane_node::operator_client::{self, ClientError, Format};
use ashvane_node::settings::{ListenAddresses, PortRange, RetryBudgetSettings, Settings};

use super::{assert_golden, golden, path};

#[allow(dead_code, reason = "each test uses its part of the shared code")]
#[path = "../common/mod.rs"]
mod common;

use common::{TestSystem, put_request, run_test, send_request};

fn address(text: &str) -> Option<SocketAddr> {
    Some(text.parse().expect("the text is an address"))
}

/// The settings file sets every key to a value other than its default.
#[test]
fn every_setting_is_read_under_its_name() {
    let read = Settings::parse(&golden("settings.toml"), "settings.toml").expect("the settings are valid");
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
fn errors_in_settings_keep_their_messages() {
    let text = golden("settings-faulty.toml");
    let messages =
        Settings::parse(&text, "settings-faulty.toml").expect_err("the settings are invalid").to_string();
    assert_golden("settings-faulty.txt", &(messages + "\n"));
    let messages =
        Settings::parse("node = ", "cut-short.toml").expect_err("the text is not valid TOML").to_string();
    assert_golden("settings-cut-short.txt", &(messages + "\n"));
}

#[test]
fn errors_in_configurations_keep_their_messages() {
    let folder = path("../configurations");
    let mut files: Vec<_> =
        std::fs::read_dir(folder).expect("the folder can be read").flatten().map(|e| e.path()).collect();
    files.sort();
    let mut messages = String::new();
    for file in files {
        let name = file.file_name().expect("a file has a name").to_string_lossy().into_owned();
        let errors = Config::parse(&std::fs::read(&file).expect("the file can be read")).err();
        let errors = errors.map(|errors| errors.lines()).unwrap_or_default();
        messages += &format!("{name}: {errors:?}\n");
    }
    assert_golden("configurations.txt", &messages);
}

const CONFIGURATION: &str = r#"{"version":4,"routes":[{"name":"r","host":"h.example","path-prefix":"/r/",
    "kind":"idempotent","deadline-ms":2000,"target-ms":400,"service":"s","max-tries":2}],
    "services":[{"name":"s","max-conns":64}]}"#;

/// Headers that differ between runs. The length varies with the address in the body.
const VARYING: [&str; 2] = ["date", "content-length"];

/// Sends a request and returns the answer as text. Addresses, which differ between runs, are replaced by
/// names.
async fn exchange(system: &TestSystem, label: &str, request: &str) -> String {
    let answer = send_request(system.control, request).await.expect("the control address answers");
    let mut text = format!("== {label}\n{}\n", answer.start_line);
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

fn put_server(state: &str, sequence: u64) -> String {
    let body = format!(
        r#"{{"service":"s","address":"127.0.0.1:9","zone":"a","capacity":4,"state":"{state}","call-seq":{sequence}}}"#
    );
    put_request("/api/instances/i-1", &body)
}

#[test]
fn answers_to_control_calls_are_unchanged() {
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
            ("a server", put_server("ready", 1)),
            ("a server that drains", put_server("draining", 2)),
            ("a server of no known state", put_server("asleep", 3)),
            ("a server that is nowhere", put_request("/api/instances/i-2", r#"{"address":"nowhere"}"#)),
            ("a server that ends", delete("/api/instances/i-1")),
            ("a server that nobody knows ends", delete("/api/instances/i-9")),
            ("readiness", get("/api/readiness")),
            ("no such call", get("/api/nothing")),
        ];
        let mut text = String::new();
        for (label, request) in calls {
            text += &exchange(&system, label, &request).await;
        }
        assert_golden("control-calls.txt", &text);
    });
}

#[test]
fn the_output_of_the_operator_client_is_unchanged() {
    run_test(async {
        let system = TestSystem::start("golden-client");
        system.wait_for_status(system.control, &get("/api/configuration"), 404).await;
        let control = system.control.to_string();
        let calls = tokio::task::spawn_blocking(move || {
            let addresses = vec![control.clone()];
            let other = CONFIGURATION.replace("2000", "1500");
            let older = CONFIGURATION.replace("\"version\":4", "\"version\":2");
            let results = [
                operator_client::get(&addresses),
                operator_client::put(&addresses, CONFIGURATION.into()),
                operator_client::put(&addresses, other.into()),
                operator_client::put(&addresses, older.into()),
                operator_client::put(&addresses, b"{\"version\":1}".to_vec()),
                operator_client::get(&addresses),
                operator_client::show(&addresses, "duties", Format::Tables),
                operator_client::show(&addresses, "duties", Format::Json),
                operator_client::show(&addresses, "disks", Format::Tables),
                operator_client::show(&addresses, "servers", Format::Tables),
                operator_client::show(&addresses, "nothing", Format::Tables),
            ];
            let text = |result: Result<String, ClientError>| match result {
                Ok(text) => format!("ok: {text}\n"),
                Err(error) => format!("error: {error}\n"),
            };
            let ip = control.split(':').next().unwrap_or_default().to_owned();
            let text: String = results.into_iter().map(text).collect();
            let text = text.replace(&control, "CONTROL").replace(&ip, "IP");
            // The width of columns varies with the addresses in them.
            text.lines()
                .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" ") + "\n")
                .collect::<String>()
        });
        assert_golden("client.txt", &calls.await.expect("the calls do not panic"));
    });
}
