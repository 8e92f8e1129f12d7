//! A long run in little time: so many queries at a rate, with troubles all along, against a gatherer that may
//! take so much memory. Tells what came of the queries and whether each purpose's memory stays at its level.

#![expect(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    reason = "not done yet: The rest reads as well"
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

/// Parts of the run that are compared with the first, and how far they may be from it, in percent.
const PARTS: usize = 6;
const SHARE: u64 = 5;
/// Levels this low are moved by single queries, in kB.
const SLACK_KB: u64 = 96;
/// Time before the first reading: the pools fill.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time for the program to end by itself.
const END_MOST: Duration = Duration::from_secs(8);
/// Share of its parts that a whole answer has at the least, whatever its vertical.
const NEED: f64 = 0.75;
const SERVERS: usize = 6;
const CELLS: usize = 3;

struct Options {
    program: String,
    queries: u64,
    rate: u64,
    memory_mb: u64,
    sockets: u64,
    stalled: u64,
    cycle: Duration,
    share: u64,
    slack_kb: u64,
    calm: bool,
    plain: bool,
    json: Option<String>,
}

fn options() -> Result<Option<Options>, String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let wrong = |e: pico_args::Error| e.to_string();
    let mut number = |name, or| arguments.opt_value_from_str(name).map(|n| n.unwrap_or(or)).map_err(wrong);
    let (queries, rate) = (number("--queries", 6000)?, number("--rate", 100)?);
    let (memory_mb, sockets) = (number("--memory-mb", 32)?, number("--sockets", 512)?);
    let (stalled, cycle) = (number("--stalled", 8)?, number("--cycle", 60)?);
    let (share, slack_kb) = (number("--share", SHARE)?, number("--slack-kb", SLACK_KB)?);
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
        json: arguments.opt_value_from_str("--json").map_err(wrong)?,
        program: arguments.value_from_str("--program").map_err(wrong)?,
    };
    if options.plain {
        (options.calm, options.stalled) = (true, 0);
    }
    match arguments.finish().first() {
        Some(unknown) => Err(format!("unknown argument {unknown:?}")),
        None => Ok(Some(options)),
    }
}

fn vertical(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "aim_us": 1_000_000, "hard_limit_us": 2_000_000,
           "late_share": 0.1, "gain": 1.0, "streamed": false, "window_us": 5_000_000})
}

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
                "parts_a_call": 8, "positions": CELLS, "ranges": 16, "span": 2},
            "policy_limits": {"dial_timeout_us": 250_000, "keepalive_us": 15_000_000, "max_attempts": 3,
                "max_retry_after_us": 500_000, "may_cancel": true, "most_held": 20_000, "multiplex": 32,
                "retry_after": true, "second_copies": true},
            "rules": {"cold_from": 0.2, "cold_us": 1_000_000, "fall_us": 1_000_000, "overload_factor": 2.0}}
    })
}

fn members(shards: &[Shard], draining: Option<usize>) -> Vec<Value> {
    let phase = |s: &Shard| if Some(s.number) == draining { "draining" } else { "ready" };
    let one = |s: &Shard| member(&format!("s-{}", s.number), s.address, s.number % CELLS, phase(s));
    shards.iter().map(one).collect()
}

/// A port that is free now.
async fn free() -> std::io::Result<SocketAddr> {
    tokio::net::TcpListener::bind("127.0.0.1:0").await?.local_addr()
}

async fn get(pool: &clients::Pool, at: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    use http_body_util::BodyExt as _;
    let answer = pool.get(format!("http://{at}{path}").parse().ok()?).await.ok()?;
    let status = answer.status().as_u16();
    Some((status, answer.into_body().collect().await.ok()?.to_bytes().to_vec()))
}

/// Resident memory of the program, now and at its peak, in bytes.
fn resident(child: &Child) -> Option<(f64, f64)> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()?)).ok()?;
    let of = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name))?;
        line.trim().trim_end_matches(" kB").parse::<f64>().ok()
    };
    Some((of("VmRSS:")? * 1024.0, of("VmHWM:")? * 1024.0))
}

/// Notes what the program says of its memory.
async fn note(levels: &mut Levels, pool: &clients::Pool, admin: SocketAddr, child: &Child) -> bool {
    let Some((200, body)) = get(pool, admin, "/memory").await else { return false };
    let Ok(table) = serde_json::from_slice::<Value>(&body) else { return false };
    for row in table["purposes"].as_array().into_iter().flatten() {
        let (name, now) = (row["purpose"].as_str().unwrap_or("?"), row["now"].as_f64().unwrap_or(-1.0));
        levels.note(name, now);
    }
    for name in ["live", "unattributed"] {
        levels.note(name, table[name].as_f64().unwrap_or(-1.0));
    }
    if let Some((now, _)) = resident(child) {
        levels.note("resident", now);
    }
    true
}

/// The query of this number: mostly small, some large, some of a booking; nine in ten of the loud tenant.
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
        need: NEED,
        length,
        deadline: Duration::from_millis(1500),
        retry: false,
    }
}

/// The same small query each time.
fn plain(number: u64) -> ClientQuery {
    let (id, deadline) = (format!("q{number}"), Duration::from_millis(1500));
    let shards = (0..8).collect();
    ClientQuery {
        id,
        vertical: "near",
        tenant: "loud",
        shards,
        need: NEED,
        length: 64,
        deadline,
        retry: false,
    }
}

/// Tells the program to end, and ends it if it does not.
async fn end(child: &mut Child) {
    if let Some(id) = child.id() {
        let _ = Command::new("kill").args(["-TERM", &id.to_string()]).status().await;
        let _ = timeout(END_MOST, child.wait()).await;
    }
    let _ = child.kill().await;
}

async fn run(options: Options) -> Result<bool, String> {
    let io = |e: std::io::Error| e.to_string();
    let script = Arc::new(if options.calm {
        FaultSchedule::without_faults()
    } else {
        FaultSchedule::one_minute().scaled_to(options.cycle)
    });
    let start = Instant::now();
    let mut shards = Vec::new();
    for number in 0..SERVERS {
        shards.push(Shard::start(number, script.clone(), start).await.map_err(io)?);
    }
    let discovery = Discovery::start().await.map_err(io)?;
    discovery.publish(members(&shards, None));
    let (listen, admin) = (free().await.map_err(io)?, free().await.map_err(io)?);
    let folder = std::env::temp_dir().join(format!("ashvane-soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(io)?;
    let (file, own) = (folder.join("config.json"), folder.join("own.star"));
    std::fs::write(&file, config(listen, discovery.address, &options).to_string()).map_err(io)?;
    std::fs::write(&own, format!("admin(listen = \"{admin}\")\n")).map_err(io)?;
    let mut command = Command::new(&options.program);
    command.args(["serve", "--log", "warn"]).env("GW_CONFIG", &file);
    if !options.plain {
        command.arg("--settings").arg(&own);
    }
    for name in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
        command.env_remove(name);
    }
    command.stderr(std::fs::File::create(folder.join("log")).map_err(io)?).stdin(Stdio::null());
    let mut child = command.kill_on_drop(true).spawn().map_err(io)?;
    let pool = clients::pool();
    while get(&pool, listen, "/healthz").await.is_none_or(|(status, _)| status != 200) {
        if start.elapsed() > Duration::from_secs(10) || child.try_wait().map_err(io)?.is_some() {
            return Err(format!("the program does not start; see {}", folder.join("log").display()));
        }
        sleep(Duration::from_millis(50)).await;
    }
    let (loud, quiet, odd) = (
        Arc::new(QueryCounts::default()),
        Arc::new(QueryCounts::default()),
        Arc::new(QueryCounts::default()),
    );
    for number in 0..options.stalled {
        let odd = odd.clone();
        tokio::spawn(async move {
            for turn in 0.. {
                let id = format!("stalled{number}x{turn}");
                let ask = ClientQuery {
                    id,
                    vertical: "near",
                    tenant: "loud",
                    shards: (0..16).collect(),
                    need: NEED,
                    length: 60_000,
                    deadline: Duration::from_millis(1500),
                    retry: false,
                };
                clients::send_and_read_slowly(listen, ask, Duration::from_secs(20), &odd).await;
                sleep(Duration::from_millis(200)).await;
            }
        });
    }
    let mut rng = fastrand::Rng::with_seed(7);
    let mut ticks = interval(Duration::from_secs(1) / options.rate as u32);
    let (mut levels, mut silent, mut next_note, mut drained) = (Levels::default(), 0, start + WARM_UP, None);
    let began = Instant::now();
    for number in 0..options.queries {
        ticks.tick().await;
        let asked = if options.plain { plain(number) } else { query(number, &mut rng) };
        if !options.plain && rng.u32(..50) == 0 {
            let (odd, after) = (odd.clone(), Duration::from_millis(rng.u64(..30)));
            tokio::spawn(async move { clients::send_and_disconnect(listen, asked, after, &odd).await });
        } else {
            let counts = if asked.tenant == "loud" { loud.clone() } else { quiet.clone() };
            let pool = pool.clone();
            tokio::spawn(async move { clients::send_counted(&pool, listen, asked, &counts).await });
        }
        if Instant::now() >= next_note && !options.plain {
            next_note += Duration::from_secs(1);
            silent += u32::from(!note(&mut levels, &pool, admin, &child).await);
        }
        // One server after the other drains at the end of each cycle.
        let cycles = start.elapsed().as_secs_f64() / options.cycle.as_secs_f64();
        let now = (0.8..0.97).contains(&cycles.fract()).then_some(cycles as usize % SERVERS);
        if now != drained && !options.calm {
            drained = now;
            discovery.publish(members(&shards, drained));
        }
    }
    sleep(Duration::from_secs(6)).await;
    let took = began.elapsed();
    let alive = child.try_wait().map_err(io)?.is_none();
    if let Some(used) = child.id().and_then(|id| cpu_time(format!("/proc/{id}/stat"))) {
        println!("{:.1} us of processor time a query", used.as_secs_f64() * 1e6 / options.queries as f64);
    }
    let peak = resident(&child).map_or(f64::NAN, |(_, peak)| peak);
    let of = |counts: &QueryCounts, name: &str| {
        let n = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        let latency = counts.latency.lock().ok().and_then(|l| l.clone());
        let at = |q| latency.as_ref().map_or(0, |l| l.value_at_quantile(q) / 1000);
        println!(
            "{name}: {} asked, {} whole, {} partial, {} rejected ({} with no time), {} aborted, {} closed, {} lost, \
             {} false; {} ms median, {} ms 99th",
            n(&counts.asked),
            n(&counts.whole),
            n(&counts.partial),
            n(&counts.rejected),
            n(&counts.rejected_without_retry_after),
            n(&counts.aborted),
            n(&counts.closed),
            n(&counts.lost),
            n(&counts.false_answers),
            at(0.5),
            at(0.99)
        );
        n(&counts.lost) + n(&counts.false_answers) == 0
    };
    let honest =
        [of(&loud, "loud"), of(&quiet, "quiet"), of(&odd, "stalled and leaving")].iter().all(|good| *good);
    let courses = levels.courses(PARTS, options.share as f64 / 100.0, options.slack_kb as f64 * 1024.0);
    println!("\nKB, mean of each sixth{:18} peak  furthest from the first", "");
    for c in &courses {
        let means: Vec<String> = c.means.iter().map(|m| format!("{:7.0}", m / 1024.0)).collect();
        let steady = if c.steady { "" } else { "  NOT STEADY" };
        println!(
            "{:13}{} {:8.0}  {:5.1}%{steady}",
            c.name,
            means.join(""),
            c.peak / 1024.0,
            c.furthest * 100.0
        );
    }
    let within = peak <= (options.memory_mb << 20) as f64;
    let steady = courses.iter().all(|c| c.steady);
    println!(
        "\n{} queries in {:.0} s; resident at most {:.1} of {} MB; alive {alive}; readings that failed {silent}",
        options.queries,
        took.as_secs_f64(),
        peak / f64::from(1 << 20),
        options.memory_mb
    );
    if let Some(path) = &options.json {
        let rows = courses
            .iter()
            .map(|c| json!({"name": c.name, "means": c.means, "peak": c.peak, "steady": c.steady}));
        let report = json!({"queries": options.queries, "seconds": took.as_secs_f64(), "resident_peak": peak,
                            "courses": rows.collect::<Vec<_>>()});
        std::fs::write(path, report.to_string()).map_err(io)?;
    }
    end(&mut child).await;
    let good = honest && alive && within && steady && silent == 0;
    if good {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("its log is {}", folder.join("log").display());
    }
    Ok(good)
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(words) => {
            eprintln!("ashvane-soak: {words}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    match runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(run(options))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(words) => {
            eprintln!("ashvane-soak: {words}");
            ExitCode::FAILURE
        }
    }
}
