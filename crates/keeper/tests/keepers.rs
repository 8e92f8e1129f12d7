//! Tests of keepers as processes: leases, crashes during writes, a full disk, replacement, and command-line
//! errors.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ashvane_fleet::Reply;
use ashvane_keeper::keeper_network::{HttpClient, PostResponse, http_client, post};
use ashvane_keeper::messages::{CallRequest, CallResponse, LeaseRequest, LeaseResponse};
use tokio::time::{sleep, timeout};

/// Time-out for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time-out for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const ROLE: &str = "roster";

struct Keepers {
    folder: PathBuf,
    addresses: BTreeMap<u64, SocketAddr>,
    children: BTreeMap<u64, Child>,
    http: HttpClient,
}

impl Drop for Keepers {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns a free address. The IP address depends on the test and the process, so that tests do not share
/// addresses.
fn free_address(name: &str) -> SocketAddr {
    let sum = name.bytes().map(u32::from).sum::<u32>() as u8;
    let ip = [127, 60, (std::process::id() % 250) as u8, 1 + sum % 250];
    std::net::TcpListener::bind((std::net::Ipv4Addr::from(ip), 0))
        .expect("a free port")
        .local_addr()
        .expect("the bound address")
}

impl Keepers {
    fn new(name: &str, count: u64) -> Keepers {
        let folder = std::env::temp_dir().join(format!("ashvane-keeper-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let addresses = (1..=count).map(|id| (id, free_address(name))).collect();
        let mut keepers = Keepers { folder, addresses, children: BTreeMap::new(), http: http_client() };
        (1..=count).for_each(|id| keepers.start(id, &[]));
        keepers
    }

    fn command(&self, id: u64) -> Command {
        let named = |(id, address): (&u64, &SocketAddr)| format!("{id}={address}");
        let all: Vec<String> = self.addresses.iter().filter(|(id, _)| **id <= 3).map(named).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_ashvane-keeper"));
        command.args(["serve", "--id", &id.to_string(), "--listen", &self.addresses[&id].to_string()]);
        command.args(["--keepers", &all.join(","), "--lease-ms", "1500", "--drift", "0"]);
        command.arg("--data").arg(self.folder.join(id.to_string())).stdin(Stdio::null());
        command
    }

    fn start(&mut self, id: u64, extra_arguments: &[&str]) {
        let child = self.command(id).args(extra_arguments).spawn().expect("the keeper starts");
        self.children.insert(id, child);
    }

    fn kill(&mut self, id: u64) {
        if let Some(mut child) = self.children.remove(&id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    async fn call(&self, id: u64) -> Option<CallResponse> {
        let call = CallRequest { name: "g".into(), sought_role: None };
        timeout(CALL_TIMEOUT, post(&self.http, self.addresses[&id], "/v1/call", &call))
            .await
            .ok()?
            .ok()
            .map(|response| response.body)
    }

    /// Sends a request to the leading keeper and retries until there is a reply.
    async fn ask_leader(&self, request: LeaseRequest) -> Reply {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut at = 1;
        loop {
            assert!(Instant::now() < deadline, "no reply to {request:?}");
            let call = post::<_, LeaseResponse>(&self.http, self.addresses[&at], "/v1/ask", &request);
            match timeout(CALL_TIMEOUT, call).await {
                Ok(Ok(PostResponse { body: LeaseResponse::Reply(reply), .. })) => return reply,
                Ok(Ok(PostResponse {
                    body: LeaseResponse::NotCommitted { leader: Some(leader) }, ..
                })) if leader != at => at = leader,
                _ => {
                    at = at % self.addresses.len() as u64 + 1;
                    sleep(Duration::from_millis(30)).await;
                }
            }
        }
    }

    async fn leader(&self) -> u64 {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            for id in self.children.keys() {
                if let Some(leader) = self.call(*id).await.and_then(|response| response.leader)
                    && self.children.contains_key(&leader)
                {
                    return leader;
                }
            }
            assert!(Instant::now() < deadline, "no keeper leads");
            sleep(Duration::from_millis(30)).await;
        }
    }
}

fn acquire(owner: &str) -> LeaseRequest {
    LeaseRequest::Acquire { role: ROLE.into(), owner: owner.into() }
}

fn renew(owner: &str, epoch: u64) -> LeaseRequest {
    LeaseRequest::Renew { role: ROLE.into(), owner: owner.into(), epoch }
}

fn write(epoch: u64, text: &str) -> LeaseRequest {
    LeaseRequest::Write { role: ROLE.into(), epoch, text: text.into() }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_role_has_one_owner_and_requests_of_an_expired_lease_are_fenced() {
    let keepers = Keepers::new("agree", 3);
    assert_eq!(keepers.ask_leader(acquire("a")).await, Reply::Granted { epoch: 1 });
    let began = Instant::now();
    assert_eq!(keepers.ask_leader(write(1, "by a")).await, Reply::Written { version: 1 });
    assert_eq!(keepers.ask_leader(acquire("b")).await, Reply::Fenced { epoch: 1 });
    assert_eq!(keepers.ask_leader(renew("b", 1)).await, Reply::Fenced { epoch: 1 });
    let reply = loop {
        match keepers.ask_leader(acquire("b")).await {
            Reply::Fenced { .. } => sleep(Duration::from_millis(20)).await,
            other => break other,
        }
    };
    assert_eq!(reply, Reply::Granted { epoch: 2 });
    assert!(began.elapsed() >= Duration::from_millis(1400), "the role was granted before the lease expired");
    assert_eq!(keepers.ask_leader(write(1, "by a, late")).await, Reply::Fenced { epoch: 2 });
    assert_eq!(keepers.ask_leader(renew("a", 1)).await, Reply::Fenced { epoch: 2 });
    assert_eq!(keepers.ask_leader(write(2, "by b")).await, Reply::Written { version: 2 });
    // A released role can be acquired at once.
    let release = LeaseRequest::Release { role: ROLE.into(), owner: "b".into(), epoch: 2 };
    assert_eq!(keepers.ask_leader(release).await, Reply::Released);
    assert_eq!(keepers.ask_leader(write(2, "by b, late")).await, Reply::Fenced { epoch: 2 });
    assert_eq!(keepers.ask_leader(acquire("c")).await, Reply::Granted { epoch: 3 });
    let long = "x".repeat(70_000);
    assert!(matches!(keepers.ask_leader(write(3, &long)).await, Reply::Rejected { .. }));
    let nameless = LeaseRequest::Renew { role: String::new(), owner: "c".into(), epoch: 3 };
    assert!(matches!(keepers.ask_leader(nameless).await, Reply::Rejected { .. }));
}

/// Guards against the loss of committed commands when a keeper is killed during a write. The environment
/// variable KILLS sets the number of kills; longer manual runs use KILLS=500.
#[tokio::test(flavor = "multi_thread")]
async fn keepers_killed_during_writes_lose_no_committed_command() {
    let kills: u64 = std::env::var("KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(8);
    let mut keepers = Keepers::new("killed", 3);
    let mut random_below = pseudo_random(7);
    let mut epoch = match keepers.ask_leader(acquire("owner")).await {
        Reply::Granted { epoch } => epoch,
        other => panic!("{other:?}"),
    };
    let (mut version, mut written) = (0, 0);
    for kill in 0..kills {
        for _ in 0..6 {
            match keepers.ask_leader(write(epoch, &format!("{kill}"))).await {
                Reply::Written { version: newer } => {
                    assert!(newer > version, "{newer} after {version}");
                    (version, written) = (newer, written + 1);
                }
                // The lease expired while keepers were down.
                Reply::Fenced { .. } => {
                    if let Reply::Granted { epoch: newer } = keepers.ask_leader(acquire("owner")).await {
                        assert!(newer > epoch);
                        epoch = newer;
                    }
                }
                other => panic!("{other:?}"),
            }
        }
        let id = 1 + random_below(3);
        // Kills the keeper at a random time during or shortly after a renewal.
        let busy = keepers.ask_leader(renew("owner", epoch));
        let _ = timeout(Duration::from_millis(random_below(12)), busy).await;
        keepers.kill(id);
        sleep(Duration::from_millis(random_below(30))).await;
        keepers.start(id, &[]);
        // The leader has all committed commands. A keeper that has just started may be behind, but never
        // ahead.
        for id in 1..=3 {
            let response = keepers.call(id).await;
            let table = response.and_then(|response| response.tables.get(ROLE).cloned()).unwrap_or_default();
            assert!(table.version <= version && table.epoch <= epoch, "keeper {id} has {table:?}");
        }
    }
    // All keepers catch up with the last committed command.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let mut caught_up = 0;
        for id in 1..=3 {
            let table = keepers.call(id).await.and_then(|response| response.tables.get(ROLE).cloned());
            caught_up += u32::from(table.is_some_and(|table| table.version >= version));
        }
        if caught_up == 3 {
            break;
        }
        assert!(Instant::now() < deadline, "{caught_up} of 3 have version {version}, {written} written");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Prints the memory and disk usage of keepers after a number of renewals. Manual runs use RENEWALS=1000000.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes; for measurements"]
async fn memory_and_disk_after_many_renewals() {
    let renewals: u64 = std::env::var("RENEWALS").ok().and_then(|n| n.parse().ok()).unwrap_or(10_000);
    let keepers = std::sync::Arc::new(Keepers::new("renewals", 3));
    let leader = keepers.leader().await;
    let began = Instant::now();
    let renewals_per_task = renewals / 16;
    let mut tasks = tokio::task::JoinSet::new();
    for task in 0..16 {
        let keepers = keepers.clone();
        tasks.spawn(async move {
            let (role, owner) = (format!("duty-{task}"), format!("owner-{task}"));
            let acquire = LeaseRequest::Acquire { role: role.clone(), owner: owner.clone() };
            let mut reply = keepers.ask_leader(acquire.clone()).await;
            let mut done = 0;
            while done < renewals_per_task {
                let Reply::Granted { epoch } = reply else {
                    reply = keepers.ask_leader(acquire.clone()).await;
                    continue;
                };
                let renew = LeaseRequest::Renew { role: role.clone(), owner: owner.clone(), epoch };
                let call =
                    post::<_, LeaseResponse>(&keepers.http, keepers.addresses[&leader], "/v1/ask", &renew);
                reply = match call.await {
                    Ok(PostResponse { body: LeaseResponse::Reply(reply), .. }) => reply,
                    _ => keepers.ask_leader(renew).await,
                };
                done += 1;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let took = began.elapsed();
    for (id, child) in &keepers.children {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()))
            .expect("the process status can be read");
        let memory =
            status.lines().find(|line| line.starts_with("VmRSS")).expect("the process status contains VmRSS");
        let file = std::fs::metadata(keepers.folder.join(format!("{id}/keeper.redb")))
            .expect("the database file exists");
        println!("keeper {id}: {memory}, {} KB on disk, {renewals} renewals in {took:?}", file.len() / 1024);
    }
}

/// Returns a generator of reproducible pseudo-random numbers below a bound.
fn pseudo_random(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed;
    move |below| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    }
}

/// Guards against a keeper that continues although its writes fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_with_a_full_disk_exits_with_the_reason_and_the_others_continue() {
    let mut keepers = Keepers::new("full", 3);
    let epoch = match keepers.ask_leader(acquire("owner")).await {
        Reply::Granted { epoch } => epoch,
        other => panic!("{other:?}"),
    };
    keepers.kill(3);
    let size =
        std::fs::metadata(keepers.folder.join("3/keeper.redb")).expect("the database file exists").len();
    // A file size limit makes writes of this process fail as on a full disk.
    let command = keepers.command(3);
    let words =
        command.get_args().map(|a| format!("'{}'", a.to_string_lossy())).collect::<Vec<_>>().join(" ");
    let line = format!(
        "trap '' XFSZ; ulimit -f {}; exec '{}' {words}",
        size / 512,
        env!("CARGO_BIN_EXE_ashvane-keeper")
    );
    let child = Command::new("sh").args(["-c", &line]).stderr(Stdio::piped()).spawn().expect("sh starts");
    let exit = tokio::task::spawn_blocking(move || child.wait_with_output().expect("the keeper exits"));
    let text = "x".repeat(60_000);
    let mut version = 0;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !exit.is_finished() {
        assert!(Instant::now() < deadline, "the keeper continues with a full disk");
        match keepers.ask_leader(write(epoch, &text)).await {
            Reply::Written { version: newer } => version = newer,
            Reply::Fenced { .. } => drop(keepers.ask_leader(acquire("owner")).await),
            other => panic!("{other:?}"),
        }
        let _ = keepers.ask_leader(renew("owner", epoch)).await;
    }
    let output = exit.await.expect("the task completes");
    let words = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{words}");
    assert!(words.lines().last().is_some_and(|line| line.starts_with("ashvane-keeper: ")), "{words}");
    assert!(version > 0);
    let reply = keepers.ask_leader(renew("owner", epoch)).await;
    assert!(matches!(reply, Reply::Granted { .. } | Reply::Fenced { .. }), "the other keepers continue");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_is_replaced_while_an_owner_writes_and_renews() {
    let mut keepers = Keepers::new("replaced", 3);
    let epoch = match keepers.ask_leader(acquire("owner")).await {
        Reply::Granted { epoch } => epoch,
        other => panic!("{other:?}"),
    };
    let leader = keepers.leader().await;
    let removed = if leader == 2 { 3 } else { 2 };
    let address = free_address("replaced");
    keepers.addresses.insert(4, address);
    keepers.start(4, &["--join"]);
    keepers.kill(removed);
    let at = keepers.addresses[&leader].to_string();
    let replace = tokio::task::spawn_blocking(move || {
        let arguments =
            ["replace", "--at", &at, "--out", &removed.to_string(), "--in", &format!("4={address}")];
        Command::new(env!("CARGO_BIN_EXE_ashvane-keeper")).args(arguments).output().expect("the program runs")
    });
    let mut longest = Duration::ZERO;
    while !replace.is_finished() {
        let began = Instant::now();
        assert!(
            matches!(keepers.ask_leader(renew("owner", epoch)).await, Reply::Granted { .. }),
            "the owner keeps its lease"
        );
        longest = longest.max(began.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    let output = replace.await.expect("the task completes");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    // An election takes less than a second; the bound allows for a busy machine.
    assert!(longest < Duration::from_secs(4), "the longest renewal took {longest:?}");
    assert!(matches!(keepers.ask_leader(write(epoch, "after")).await, Reply::Written { .. }));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while keepers.call(4).await.is_none_or(|response| !response.tables.contains_key(ROLE)) {
        assert!(Instant::now() < deadline, "the new keeper does not have the record");
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn usage_errors_exit_with_status_2_and_startup_failures_with_status_1() {
    let run = |words: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ashvane-keeper"));
        let output = command.args(words.split(' ')).output().expect("the program runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let three_keepers = "1=127.0.0.1:1,2=127.0.0.1:2,3=127.0.0.1:3";
    for (words, expected) in [
        ("frobnicate".to_owned(), "unknown command"),
        ("serve --id 1".to_owned(), "--listen"),
        (
            format!("serve --id 1 --listen 127.0.0.1:0 --data x --keepers {three_keepers},4=127.0.0.1:4"),
            "odd number",
        ),
        (
            "serve --id 1 --listen 127.0.0.1:0 --data x --keepers 1=127.0.0.1:1,2=127.0.0.1:1,3=127.0.0.1:3"
                .into(),
            "address",
        ),
        (
            format!("serve --id 1 --lease-ms 100 --listen 127.0.0.1:0 --data x --keepers {three_keepers}"),
            "lease of 100 ms",
        ),
        (format!("serve --id 9 --listen 127.0.0.1:0 --data x --keepers {three_keepers}"), "keeper 9 itself"),
    ] {
        let (status, error_text) = run(&words);
        assert_eq!(status, Some(2), "{words}: {error_text}");
        assert!(error_text.contains(expected), "{error_text}");
    }
    let invalid_path =
        format!("serve --id 1 --listen 127.0.0.1:0 --data /dev/null/x --keepers {three_keepers}");
    let (status, words) = run(&invalid_path);
    assert!(status == Some(1) && words.contains("/dev/null/x"), "{words}");
}
