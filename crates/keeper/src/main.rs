//! ashvane-keeper: one of the three or five that keep who owns which duty of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use ashvane_fleet::Terms;
use ashvane_fleet::terms::keepers_faults;
use ashvane_keeper::network::{Ways, http, post};
use ashvane_keeper::server::{Keeper, Replace};
use ashvane_keeper::store::Store;
use openraft::{BasicNode, Config, SnapshotPolicy};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
ashvane-keeper keeps, with two or four others, who owns which duty of a fleet

Usage: ashvane-keeper serve --id N --listen ADDRESS --data DIR --keepers 1=ADDRESS,2=ADDRESS,3=ADDRESS
                            [--lease-ms N] [--drift SHARE] [--join] [--trace]
       ashvane-keeper replace --at ADDRESS --out N --in N=ADDRESS
       ashvane-keeper version
       ashvane-keeper help

serve runs one keeper until it is told to end. --keepers names all of them, this one too, by numbers that are never used
again, and where each is from here. What it keeps stands in DIR, durable before it counts. --lease-ms (3000) and --drift
(0.01: how far any clock's rate may be off, as a share) have to be those of the gatherers. --join waits to be taken
in by replace. --trace prints what is agreed, one JSON object a line.

replace takes a new keeper in for an old one; --at is the keeper that leads.

Status 0 when told to end, 1 when it cannot go on (the reason is the last line), 2 for a fault in what was asked for.
";

/// Elections begin after a silence of so many milliseconds, drawn from here, and leaders speak so often.
const ELECTION_MS: (u64, u64) = (400, 800);
const HEARTBEAT_MS: u64 = 100;
/// Log entries between two snapshots, and those that are kept behind one for keepers that lag.
const SNAPSHOT_EVERY: u64 = 5000;
const KEPT_BEHIND: u64 = 500;
/// The usual lease, in milliseconds, and how far a clock's rate may be off.
const LEASE_MS: u64 = 3000;
const DRIFT: f64 = 0.01;
/// Statuses.
const CANNOT: u8 = 1;
const USAGE: u8 = 2;

struct Serve {
    id: u64,
    listen: SocketAddr,
    data: PathBuf,
    keepers: BTreeMap<u64, SocketAddr>,
    terms: Terms,
    join: bool,
    trace: bool,
}

enum Asked {
    Serve(Serve),
    Replace { at: SocketAddr, replace: Replace },
    Version,
    Help,
}

/// A keeper's number and where it is.
fn keeper(text: &str) -> Result<(u64, SocketAddr), String> {
    let wrong = || format!("{text:?} is not a keeper as 1=127.0.0.1:9401");
    let (id, address) = text.split_once('=').ok_or_else(wrong)?;
    Ok((id.parse().map_err(|_| wrong())?, address.parse().map_err(|_| wrong())?))
}

fn keepers(text: &str) -> Result<BTreeMap<u64, SocketAddr>, String> {
    let all: Vec<(u64, SocketAddr)> = text.split(',').map(keeper).collect::<Result<_, _>>()?;
    let named: Vec<(u64, String)> = all.iter().map(|(id, address)| (*id, address.to_string())).collect();
    let mut faults = keepers_faults(named.iter().map(|(id, address)| (*id, address.as_str())));
    let keepers: BTreeMap<u64, SocketAddr> = all.iter().copied().collect();
    if keepers.len() < all.len() {
        faults.push("a number is given twice".into());
    }
    if faults.is_empty() { Ok(keepers) } else { Err(format!("--keepers: {}", faults.join("; "))) }
}

fn asked() -> Result<Asked, String> {
    let mut arguments = pico_args::Arguments::from_env();
    let wrong = |e: pico_args::Error| e.to_string();
    if arguments.contains(["-h", "--help"]) {
        return Ok(Asked::Help);
    }
    let command = arguments.subcommand().map_err(wrong)?;
    let asked = match command.as_deref() {
        Some("serve") => {
            let lease: Option<u64> = arguments.opt_value_from_str("--lease-ms").map_err(wrong)?;
            let drift: Option<f64> = arguments.opt_value_from_str("--drift").map_err(wrong)?;
            let lease = Duration::from_millis(lease.unwrap_or(LEASE_MS));
            let terms = Terms { lease, drift: drift.unwrap_or(DRIFT) };
            if let Some(fault) = terms.faults().first() {
                return Err(fault.clone());
            }
            let serve = Serve {
                id: arguments.value_from_str("--id").map_err(wrong)?,
                listen: arguments.value_from_str("--listen").map_err(wrong)?,
                data: arguments.value_from_str("--data").map_err(wrong)?,
                keepers: arguments.value_from_fn("--keepers", keepers).map_err(wrong)?,
                terms,
                join: arguments.contains("--join"),
                trace: arguments.contains("--trace"),
            };
            if !serve.keepers.contains_key(&serve.id) && !serve.join {
                return Err(format!("--keepers does not name keeper {} itself", serve.id));
            }
            Asked::Serve(serve)
        }
        Some("replace") => {
            let at = arguments.value_from_str("--at").map_err(wrong)?;
            let out = arguments.value_from_str("--out").map_err(wrong)?;
            let (new, address) = arguments.value_from_fn("--in", keeper).map_err(wrong)?;
            Asked::Replace { at, replace: Replace { out, new, address } }
        }
        Some("version") => Asked::Version,
        Some("help") | None => Asked::Help,
        Some(other) => return Err(format!("unknown command {other:?}; see ashvane-keeper help")),
    };
    match arguments.finish().first() {
        Some(unknown) => Err(format!("unknown argument {unknown:?}; see ashvane-keeper help")),
        None => Ok(asked),
    }
}

fn config() -> Result<Arc<Config>, String> {
    let config = Config {
        cluster_name: "ashvane".into(),
        heartbeat_interval: HEARTBEAT_MS,
        election_timeout_min: ELECTION_MS.0,
        election_timeout_max: ELECTION_MS.1,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_EVERY),
        max_in_snapshot_log_to_keep: KEPT_BEHIND,
        ..Config::default()
    };
    Ok(Arc::new(config.validate().map_err(|e| e.to_string())?))
}

async fn serve(asked: Serve) -> Result<(), String> {
    let named = |e: std::io::Error| format!("{}: {e}", asked.data.display());
    std::fs::create_dir_all(&asked.data).map_err(named)?;
    let listen = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (mut interrupt, mut terminate) = (listen(SignalKind::interrupt())?, listen(SignalKind::terminate())?);
    let listener = TcpListener::bind(asked.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", asked.listen))?;
    let store = Store::open(&asked.data.join("keeper.redb"), asked.trace)?;
    let ways = Ways { me: asked.id, http: http(), peers: Arc::new(asked.keepers.clone()) };
    let raft = ashvane_keeper::Raft::new(asked.id, config()?, ways, store.clone(), store.clone());
    let raft = raft.await.map_err(|e| format!("cannot start: {e}"))?;
    let keeper = Arc::new(Keeper::new(asked.id, asked.terms, raft.clone(), store));
    let serving = tokio::spawn(axum::serve(listener, keeper.router()).into_future());
    if !asked.join && !raft.is_initialized().await.map_err(|e| e.to_string())? {
        let node = |(id, address): (&u64, &SocketAddr)| (*id, BasicNode { addr: address.to_string() });
        // All of them begin with the same members; which one is first makes no difference.
        let _ = raft.initialize(asked.keepers.iter().map(node).collect::<BTreeMap<_, _>>()).await;
    }
    let mut metrics = raft.metrics();
    let failed = async {
        loop {
            if let Err(fault) = &metrics.borrow_and_update().running_state {
                return format!("cannot go on: {fault}");
            }
            if metrics.changed().await.is_err() {
                return "cannot go on: the record's keeper has stopped".to_owned();
            }
        }
    };
    let ended = tokio::select! {
        words = failed => Err(words),
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
        ended = serving => Err(format!("does not listen any more: {ended:?}")),
    };
    let _ = tokio::time::timeout(Duration::from_secs(1), raft.shutdown()).await;
    ended
}

async fn run(asked: Asked) -> Result<(), String> {
    match asked {
        Asked::Serve(asked) => serve(asked).await,
        Asked::Replace { at, replace } => {
            match post::<_, String>(&http(), at, "/v1/replace", &replace).await? {
                (200, words) => {
                    println!("{words}");
                    Ok(())
                }
                (_, words) => Err(words),
            }
        }
        Asked::Version => {
            println!("ashvane-keeper {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Asked::Help => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let asked = match asked() {
        Ok(asked) => asked,
        Err(words) => {
            eprintln!("ashvane-keeper: {words}");
            return ExitCode::from(USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    match runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(run(asked))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("ashvane-keeper: {words}");
            ExitCode::from(CANNOT)
        }
    }
}
