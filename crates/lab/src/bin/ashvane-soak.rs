//! Soak test: sends queries at a fixed rate to a gatherer with a memory limit while faults are injected in
//! cycles. Prints how the queries ended and whether the memory used for each purpose stays at its level.

#![expect(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    reason = "the soak run is one long function; splitting it is still to be done"
)]

use std::net::SocketAddr;
use std::process::{ExitCode, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ashvane_lab::clients::{self, ClientQuery, QueryCounts};
use ashvane_lab::discovery::{Discovery, member};
use ashvane_lab::faults::FaultSchedule;
use ashvane_lab::levels::Levels;
use ashvane_lab::process::cpu_time;
use ashvane_lab::shards::Shard;
use serde_json::{Value, json};
use tokio::process::{Child, Command};
use tokio::time::{Instant, interval, sleep, timeout};

const HELP: &str = "\
ashvane-soak: a long run in little time, with troubles all along

Usage: ashvane-soak --program PATH [--queries N] [--rate N] [--memory-mb N] [--sockets N]
                    [--stalled N] [--cycle SECONDS] [--share PERCENT] [--slack-kb N] [--calm]
                    [--plain] [--json FILE]

--plain asks calm, small queries of a program that may know neither settings file nor admin listener, and
tells its processor time for each, to compare two programs.

Starts six stand-in shard servers, a discovery and the program at PATH, asks N queries (6000) at so many
a second (100), keeps N clients (8) that read one byte a second, and ends with status 1 if an answer was
lost or false, the program ended, passed its memory (32 MB) or a purpose left its first sixth's level by
more than 5 % and 96 kB. The troubles come again in cycles of 60 s; sixths of whole cycles compare best.
";

/// Number of equal parts of the run; each is compared with the first.
const PART_COUNT: usize = 6;
/// Default maximum deviation of a part from the first, in percent.
const MAX_DEVIATION_PERCENT: u64 = 5;
/// Default deviation, in kB, that is accepted whatever its share, since one query may move a low level by it.
const ACCEPTED_DEVIATION_KB: u64 = 96;
/// Time before the first reading, in which the connection pools fill.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time for the program to exit after SIGTERM before it is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum share of its parts that an answer marked as whole contains, for every vertical.
const MIN_WHOLE_SHARE: f64 = 0.75;
/// Number of stand-in shard servers.
const SERVER_COUNT: usize = 6;
/// Number of cells over which the shard servers are spread.
const CELL_COUNT: usize = 3;

/// Parsed command line.
struct Options {
    program: String,
    queries: u64,
    /// Queries a second.
    rate: u64,
    memory_mb: u64,
    sockets: u64,
    /// Number of clients that read one byte a second.
    stalled: u64,
    /// Length of a cycle of faults.
    cycle: Duration,
    /// Maximum deviation of a part's level from that of the first, in percent.
    share: u64,
    /// Deviation that is accepted whatever its share, in kB.
    slack_kb: u64,
    /// Whether to inject no faults.
    calm: bool,
    /// Whether to send the same small query each time, to compare the processor time of two programs. Implies
    /// `calm` and no stalled clients.
    plain: bool,
    /// File to which the JSON report is written.
    json: Option<String>,
}

/// Parses the command line. Returns `None` if help is requested.
fn options() -> Result<Option<Options>, String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let argument_error = |e: pico_args::Error| e.to_string();
    let mut number = |name, default| {
        arguments.opt_value_from_str(name).map(|n| n.unwrap_or(default)).map_err(argument_error)
    };
    let (queries, rate) = (number("--queries", 6000)?, number("--rate", 100)?);
    let (memory_mb, sockets) = (number("--memory-mb", 32)?, number("--sockets", 512)?);
    let (stalled, cycle) = (number("--stalled", 8)?, number("--cycle", 60)?);
    let (share, slack_kb) =
        (number("--share", MAX_DEVIATION_PERCENT)?, number("--slack-kb", ACCEPTED_DEVIATION_KB)?);
    let mut options = Options {
        queries,
        rate: rate.max(1),
        memory_mb,
        sockets,
        stalled,
        cycle: Duration::from_secs(cycle.max(1)),
        share,
        slack_kb,
        plain: arguments.contains("--plain"),
        calm: arguments.contains("--calm"),
        json: arguments.opt_value_from_str("--json").map_err(argument_error)?,
        program: arguments.value_from_str("--program").map_err(argument_error)?,
    };
    if options.plain {
        (options.calm, options.stalled) = (true, 0);
    }
    match arguments.finish().first() {
        Some(unknown) => Err(format!("unknown argument {unknown:?}")),
        None => Ok(Some(options)),
    }
}

/// Returns the configuration of a vertical.
fn vertical(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "aim_us": 1_000_000, "hard_limit_us": 2_000_000,
           "late_share": 0.1, "gain": 1.0, "streamed": false, "window_us": 5_000_000})
}

/// Returns the configuration of the gatherer.
fn config(listen: SocketAddr, discovery: SocketAddr, options: &Options) -> Value {
    json!({
        "name": "soak", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.sockets},
        "known": {"revision": 0, "complete": true, "members": []},
        "settings": {
            "balancers": 1, "zone": 0, "zones": ["a"], "quantum_us": 5000, "membership_mode": "pushed",
            "request_classes": [vertical("near", "retryable"), vertical("book", "fragile")],
            "projects": [{"name": "loud", "quota_per_s": 50.0}, {"name": "quiet", "quota_per_s": 50.0}],
            "family_info": {"class_need": [0.75, 1.0], "floor_by_class": [0.25, 1.0], "follow_up": [0, 0],
                "parts_a_call": 8, "positions": CELL_COUNT, "ranges": 16, "span": 2},
            "policy_limits": {"dial_timeout_us": 250_000, "keepalive_us": 15_000_000, "max_attempts": 3,
                "max_retry_after_us": 500_000, "may_cancel": true, "most_held": 20_000, "multiplex": 32,
                "retry_after": true, "second_copies": true},
            "rules": {"cold_from": 0.2, "cold_us": 1_000_000, "fall_us": 1_000_000, "overload_factor": 2.0}}
    })
}

/// Returns the member list of discovery, with at most one server draining.
fn members(shards: &[Shard], draining: Option<usize>) -> Vec<Value> {
    let phase = |s: &Shard| if Some(s.number) == draining { "draining" } else { "ready" };
    let to_member =
        |s: &Shard| member(&format!("s-{}", s.number), s.address, s.number % CELL_COUNT, phase(s));
    shards.iter().map(to_member).collect()
}

/// Returns a loopback address with a port that is currently free.
async fn free_address() -> std::io::Result<SocketAddr> {
    tokio::net::TcpListener::bind("127.0.0.1:0").await?.local_addr()
}

/// Sends a GET request and returns the status and body, or `None` if it fails.
async fn http_get(pool: &clients::Pool, at: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    use http_body_util::BodyExt as _;
    let answer = pool.get(format!("http://{at}{path}").parse().ok()?).await.ok()?;
    let status = answer.status().as_u16();
    Some((status, answer.into_body().collect().await.ok()?.to_bytes().to_vec()))
}

/// Returns the current and the peak resident memory of the program in bytes.
fn resident(child: &Child) -> Option<(f64, f64)> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()?)).ok()?;
    let kilobytes_of = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name))?;
        line.trim().trim_end_matches(" kB").parse::<f64>().ok()
    };
    Some((kilobytes_of("VmRSS:")? * 1024.0, kilobytes_of("VmHWM:")? * 1024.0))
}

/// Records the admin listener's memory table and the resident memory. Returns whether the table was read.
async fn record_memory(levels: &mut Levels, pool: &clients::Pool, admin: SocketAddr, child: &Child) -> bool {
    let Some((200, body)) = http_get(pool, admin, "/memory").await else { return false };
    let Ok(table) = serde_json::from_slice::<Value>(&body) else { return false };
    for row in table["purposes"].as_array().into_iter().flatten() {
        let (name, now) = (row["purpose"].as_str().unwrap_or("?"), row["now"].as_f64().unwrap_or(-1.0));
        levels.record(name, now);
    }
    for name in ["live", "unattributed"] {
        levels.record(name, table[name].as_f64().unwrap_or(-1.0));
    }
    if let Some((now, _)) = resident(child) {
        levels.record("resident", now);
    }
    true
}

/// Returns the query with this number. Four in five are small, the others large; one in ten is of the
/// vertical `book`; nine in ten are of the tenant `loud`.
fn query(number: u64, rng: &mut fastrand::Rng) -> ClientQuery {
    let length = match rng.u32(..100) {
        0..80 => rng.usize(16..512),
        80..98 => rng.usize(512..8192),
        _ => 60_000,
    };
    ClientQuery {
        id: format!("q{number}"),
        vertical: if rng.u32(..10) == 0 { "book" } else { "near" },
        tenant: if rng.u32(..10) == 0 { "quiet" } else { "loud" },
        shards: (0..rng.u32(1..=16)).collect(),
        need: MIN_WHOLE_SHARE,
        length,
        deadline: Duration::from_millis(1500),
        retry: false,
    }
}

/// Returns the query with this number in a plain run: the same small query except for its identifier.
fn plain_query(number: u64) -> ClientQuery {
    let (id, deadline) = (format!("q{number}"), Duration::from_millis(1500));
    let shards = (0..8).collect();
    ClientQuery {
        id,
        vertical: "near",
        tenant: "loud",
        shards,
        need: MIN_WHOLE_SHARE,
        length: 64,
        deadline,
        retry: false,
    }
}

/// Terminates the program, and kills it if it does not exit in time.
async fn terminate(child: &mut Child) {
    if let Some(id) = child.id() {
        let _ = Command::new("kill").args(["-TERM", &id.to_string()]).status().await;
        let _ = timeout(TERMINATION_TIMEOUT, child.wait()).await;
    }
    let _ = child.kill().await;
}

/// Runs the soak test and prints its results. Returns whether it passed.
async fn run(options: Options) -> Result<bool, String> {
    let io_error = |e: std::io::Error| e.to_string();
    let schedule = Arc::new(if options.calm {
        FaultSchedule::without_faults()
    } else {
        FaultSchedule::one_minute().scaled_to(options.cycle)
    });
    let start = Instant::now();
    let mut shards = Vec::new();
    for number in 0..SERVER_COUNT {
        shards.push(Shard::start(number, schedule.clone(), start).await.map_err(io_error)?);
    }
    let discovery = Discovery::start().await.map_err(io_error)?;
    discovery.publish(members(&shards, None));
    let (listen, admin) = (free_address().await.map_err(io_error)?, free_address().await.map_err(io_error)?);
    let folder = std::env::temp_dir().join(format!("ashvane-soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(io_error)?;
    let (config_file, settings_file) = (folder.join("config.json"), folder.join("own.star"));
    std::fs::write(&config_file, config(listen, discovery.address, &options).to_string())
        .map_err(io_error)?;
    std::fs::write(&settings_file, format!("admin(listen = \"{admin}\")\n")).map_err(io_error)?;
    let mut command = Command::new(&options.program);
    command.args(["serve", "--log", "warn"]).env("GW_CONFIG", &config_file);
    if !options.plain {
        command.arg("--settings").arg(&settings_file);
    }
    for name in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
        command.env_remove(name);
    }
    command.stderr(std::fs::File::create(folder.join("log")).map_err(io_error)?).stdin(Stdio::null());
    let mut child = command.kill_on_drop(true).spawn().map_err(io_error)?;
    let pool = clients::pool();
    while http_get(&pool, listen, "/healthz").await.is_none_or(|(status, _)| status != 200) {
        if start.elapsed() > Duration::from_secs(10) || child.try_wait().map_err(io_error)?.is_some() {
            return Err(format!(
                "the program did not become healthy within 10 s or exited; its log is {}",
                folder.join("log").display()
            ));
        }
        sleep(Duration::from_millis(50)).await;
    }
    let (loud, quiet, faulty_clients) = (
        Arc::new(QueryCounts::default()),
        Arc::new(QueryCounts::default()),
        Arc::new(QueryCounts::default()),
    );
    for number in 0..options.stalled {
        let faulty_clients = faulty_clients.clone();
        tokio::spawn(async move {
            for turn in 0.. {
                let id = format!("stalled{number}x{turn}");
                let ask = ClientQuery {
                    id,
                    vertical: "near",
                    tenant: "loud",
                    shards: (0..16).collect(),
                    need: MIN_WHOLE_SHARE,
                    length: 60_000,
                    deadline: Duration::from_millis(1500),
                    retry: false,
                };
                clients::send_and_read_slowly(listen, ask, Duration::from_secs(20), &faulty_clients).await;
                sleep(Duration::from_millis(200)).await;
            }
        });
    }
    let mut rng = fastrand::Rng::with_seed(7);
    let mut ticks = interval(Duration::from_secs(1) / options.rate as u32);
    let (mut levels, mut failed_readings, mut next_reading, mut draining) =
        (Levels::default(), 0, start + WARM_UP, None);
    let queries_started_at = Instant::now();
    for number in 0..options.queries {
        ticks.tick().await;
        let client_query = if options.plain { plain_query(number) } else { query(number, &mut rng) };
        if !options.plain && rng.u32(..50) == 0 {
            let (faulty_clients, after) = (faulty_clients.clone(), Duration::from_millis(rng.u64(..30)));
            tokio::spawn(async move {
                clients::send_and_disconnect(listen, client_query, after, &faulty_clients).await
            });
        } else {
            let counts = if client_query.tenant == "loud" { loud.clone() } else { quiet.clone() };
            let pool = pool.clone();
            tokio::spawn(async move { clients::send_counted(&pool, listen, client_query, &counts).await });
        }
        if Instant::now() >= next_reading && !options.plain {
            next_reading += Duration::from_secs(1);
            failed_readings += u32::from(!record_memory(&mut levels, &pool, admin, &child).await);
        }
        // Towards the end of each cycle one server drains, the next one in turn.
        let cycles = start.elapsed().as_secs_f64() / options.cycle.as_secs_f64();
        let now = (0.8..0.97).contains(&cycles.fract()).then_some(cycles as usize % SERVER_COUNT);
        if now != draining && !options.calm {
            draining = now;
            discovery.publish(members(&shards, draining));
        }
    }
    sleep(Duration::from_secs(6)).await;
    let elapsed = queries_started_at.elapsed();
    let alive = child.try_wait().map_err(io_error)?.is_none();
    if let Some(used) = child.id().and_then(|id| cpu_time(format!("/proc/{id}/stat"))) {
        println!("{:.1} us of processor time a query", used.as_secs_f64() * 1e6 / options.queries as f64);
    }
    let peak = resident(&child).map_or(f64::NAN, |(_, peak)| peak);
    let print_counts = |counts: &QueryCounts, name: &str| {
        let value = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        let latency = counts.latency.lock().ok().and_then(|l| l.clone());
        let at = |q| latency.as_ref().map_or(0, |l| l.value_at_quantile(q) / 1000);
        println!(
            "{name}: {} asked, {} whole, {} partial, {} rejected ({} with no time), {} aborted, {} closed, {} lost, \
             {} false; {} ms median, {} ms 99th",
            value(&counts.asked),
            value(&counts.whole),
            value(&counts.partial),
            value(&counts.rejected),
            value(&counts.rejected_without_retry_after),
            value(&counts.aborted),
            value(&counts.closed),
            value(&counts.lost),
            value(&counts.false_answers),
            at(0.5),
            at(0.99)
        );
        value(&counts.lost) + value(&counts.false_answers) == 0
    };
    let all_answers_correct = [
        print_counts(&loud, "loud"),
        print_counts(&quiet, "quiet"),
        print_counts(&faulty_clients, "stalled and leaving"),
    ]
    .iter()
    .all(|passed| *passed);
    let trends = levels.trends(PART_COUNT, options.share as f64 / 100.0, options.slack_kb as f64 * 1024.0);
    println!("\nKB, mean of each sixth{:18} peak  furthest from the first", "");
    for trend in &trends {
        let means: Vec<String> = trend.means.iter().map(|mean| format!("{:7.0}", mean / 1024.0)).collect();
        let steady = if trend.steady { "" } else { "  NOT STEADY" };
        println!(
            "{:13}{} {:8.0}  {:5.1}%{steady}",
            trend.name,
            means.join(""),
            trend.peak / 1024.0,
            trend.furthest * 100.0
        );
    }
    let within_memory_limit = peak <= (options.memory_mb << 20) as f64;
    let steady = trends.iter().all(|trend| trend.steady);
    println!(
        "\n{} queries in {:.0} s; resident at most {:.1} of {} MB; alive {alive}; readings that failed {failed_readings}",
        options.queries,
        elapsed.as_secs_f64(),
        peak / f64::from(1 << 20),
        options.memory_mb
    );
    if let Some(path) = &options.json {
        let rows = trends
            .iter()
            .map(|trend| json!({"name": trend.name, "means": trend.means, "peak": trend.peak, "steady": trend.steady}));
        let report = json!({"queries": options.queries, "seconds": elapsed.as_secs_f64(), "resident_peak": peak,
                            "courses": rows.collect::<Vec<_>>()});
        std::fs::write(path, report.to_string()).map_err(io_error)?;
    }
    terminate(&mut child).await;
    let passed = all_answers_correct && alive && within_memory_limit && steady && failed_readings == 0;
    if passed {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("its log is {}", folder.join("log").display());
    }
    Ok(passed)
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(message) => {
            eprintln!("ashvane-soak: {message}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    match runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(run(options))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("ashvane-soak: {message}");
            ExitCode::FAILURE
        }
    }
}
