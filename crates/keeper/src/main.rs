//! ashvane-keeper: one of the three or five processes that replicate the leases of a fleet's roles.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use ashvane_fleet::{KeepersFault, LeaseTerms, TermsFault, keepers_faults};
use ashvane_keeper::Raft;
use ashvane_keeper::keeper_network::{KeeperNetwork, PostError, PostResponse, http_client, post};
use ashvane_keeper::keeper_server::KeeperServer;
use ashvane_keeper::keeper_store::{KeeperStore, OpenStoreError, Trace};
use ashvane_keeper::messages::ReplaceRequest;
use openraft::error::Fatal;
use openraft::{BasicNode, Config, SnapshotPolicy};
use pico_args::Arguments;
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

/// Minimum of the random time without the leader's heartbeat after which a keeper starts an election.
const MIN_ELECTION_TIMEOUT_MS: u64 = 400;
/// Maximum of the random time without the leader's heartbeat after which a keeper starts an election.
const MAX_ELECTION_TIMEOUT_MS: u64 = 800;
/// Interval of the leader's heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Number of log entries between two snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 5000;
/// Number of log entries covered by a snapshot that are still retained, for keepers that lag.
const RETAINED_LOG_ENTRIES: u64 = 500;
/// Default lease.
const DEFAULT_LEASE_MS: u64 = 3000;
/// Default bound on the drift of a clock's rate, as a fraction.
const DEFAULT_DRIFT: f64 = 0.01;
/// Time-out for the graceful shutdown of Raft.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Exit status after a failure to start or to continue.
const EXIT_FAILURE: u8 = 1;
/// Exit status after invalid command-line arguments.
const EXIT_USAGE: u8 = 2;

struct ServeOptions {
    id: u64,
    listen: SocketAddr,
    data_dir: PathBuf,
    keepers: BTreeMap<u64, SocketAddr>,
    terms: LeaseTerms,
    is_joining: bool,
    trace: Trace,
}

enum CommandLine {
    Serve(ServeOptions),
    Replace { at: SocketAddr, request: ReplaceRequest },
    Version,
    Help,
}

/// Invalid command line.
#[derive(Debug)]
enum UsageError {
    Argument(pico_args::Error),
    Terms(TermsFault),
    MissingOwnId(u64),
    UnknownCommand(String),
    UnknownArgument(std::ffi::OsString),
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsageError::Argument(reason) => reason.fmt(f),
            UsageError::Terms(fault) => fault.fmt(f),
            UsageError::MissingOwnId(id) => write!(f, "--keepers does not name keeper {id} itself"),
            UsageError::UnknownCommand(other) => {
                write!(f, "unknown command {other:?}; see ashvane-keeper help")
            }
            UsageError::UnknownArgument(other) => {
                write!(f, "unknown argument {other:?}; see ashvane-keeper help")
            }
        }
    }
}

impl From<pico_args::Error> for UsageError {
    fn from(reason: pico_args::Error) -> Self {
        UsageError::Argument(reason)
    }
}

/// Invalid value of `--keepers` or `--in`.
#[derive(Debug)]
enum KeepersArgumentError {
    InvalidKeeper(String),
    DuplicateNumber(Vec<KeepersFault>),
    Faults(Vec<KeepersFault>),
}

impl fmt::Display for KeepersArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let joined = |faults: &[KeepersFault]| faults.iter().map(ToString::to_string).collect::<Vec<_>>();
        match self {
            KeepersArgumentError::InvalidKeeper(text) => {
                write!(f, "{text:?} is not a keeper in the form 1=127.0.0.1:9401")
            }
            KeepersArgumentError::DuplicateNumber(faults) => {
                let mut messages = joined(faults);
                messages.push("two keepers have the same number".to_owned());
                write!(f, "--keepers: {}", messages.join("; "))
            }
            KeepersArgumentError::Faults(faults) => write!(f, "--keepers: {}", joined(faults).join("; ")),
        }
    }
}

/// Reason why a command failed.
#[derive(Debug)]
enum RunError {
    DataDirectory {
        path: PathBuf,
        reason: io::Error,
    },
    Signals(io::Error),
    Listen {
        address: SocketAddr,
        reason: io::Error,
    },
    Store(OpenStoreError),
    Config(Box<openraft::ConfigError>),
    Start(Box<Fatal<u64>>),
    Initialize(Box<Fatal<u64>>),
    Raft(Box<Fatal<u64>>),
    RaftStopped,
    ServerStopped(io::Result<()>),
    Runtime(io::Error),
    Call(PostError),
    /// The keeper rejected the request with this message.
    Rejected(String),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::DataDirectory { path, reason } => {
                write!(f, "cannot create data directory {}: {reason}", path.display())
            }
            RunError::Signals(reason) => write!(f, "cannot install signal handlers: {reason}"),
            RunError::Listen { address, reason } => write!(f, "cannot listen on {address}: {reason}"),
            RunError::Store(reason) => reason.fmt(f),
            RunError::Config(reason) => reason.fmt(f),
            RunError::Start(reason) => write!(f, "cannot start Raft: {reason}"),
            RunError::Initialize(reason) => reason.fmt(f),
            RunError::Raft(reason) => write!(f, "cannot go on: {reason}"),
            RunError::RaftStopped => f.write_str("cannot go on: the Raft task has stopped"),
            RunError::ServerStopped(outcome) => write!(f, "HTTP server stopped unexpectedly: {outcome:?}"),
            RunError::Runtime(reason) => reason.fmt(f),
            RunError::Call(reason) => reason.fmt(f),
            RunError::Rejected(message) => f.write_str(message),
        }
    }
}

/// Parses a keeper's number and address.
fn parse_keeper(text: &str) -> Result<(u64, SocketAddr), KeepersArgumentError> {
    let invalid = || KeepersArgumentError::InvalidKeeper(text.to_owned());
    let (id, address) = text.split_once('=').ok_or_else(invalid)?;
    Ok((id.parse().map_err(|_| invalid())?, address.parse().map_err(|_| invalid())?))
}

/// Parses the list of all keepers.
fn parse_keepers(text: &str) -> Result<BTreeMap<u64, SocketAddr>, KeepersArgumentError> {
    let all: Vec<(u64, SocketAddr)> = text.split(',').map(parse_keeper).collect::<Result<_, _>>()?;
    let named: Vec<(u64, String)> = all.iter().map(|(id, address)| (*id, address.to_string())).collect();
    let faults = keepers_faults(named.iter().map(|(id, address)| (*id, address.as_str())));
    let keepers: BTreeMap<u64, SocketAddr> = all.iter().copied().collect();
    if keepers.len() < all.len() {
        return Err(KeepersArgumentError::DuplicateNumber(faults));
    }
    if faults.is_empty() { Ok(keepers) } else { Err(KeepersArgumentError::Faults(faults)) }
}

fn parse_command_line() -> Result<CommandLine, UsageError> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(CommandLine::Help);
    }
    let command = match arguments.subcommand()?.as_deref() {
        Some("serve") => CommandLine::Serve(parse_serve(&mut arguments)?),
        Some("replace") => {
            let at = arguments.value_from_str("--at")?;
            let removed = arguments.value_from_str("--out")?;
            let (added, address) = arguments.value_from_fn("--in", parse_keeper)?;
            CommandLine::Replace { at, request: ReplaceRequest { removed, added, address } }
        }
        Some("version") => CommandLine::Version,
        Some("help") | None => CommandLine::Help,
        Some(other) => return Err(UsageError::UnknownCommand(other.to_owned())),
    };
    match arguments.finish().into_iter().next() {
        Some(unknown) => Err(UsageError::UnknownArgument(unknown)),
        None => Ok(command),
    }
}

fn parse_serve(arguments: &mut Arguments) -> Result<ServeOptions, UsageError> {
    let lease_ms: Option<u64> = arguments.opt_value_from_str("--lease-ms")?;
    let drift: Option<f64> = arguments.opt_value_from_str("--drift")?;
    let lease = Duration::from_millis(lease_ms.unwrap_or(DEFAULT_LEASE_MS));
    let terms = LeaseTerms { lease, drift: drift.unwrap_or(DEFAULT_DRIFT) };
    if let Some(fault) = terms.faults().first() {
        return Err(UsageError::Terms(*fault));
    }
    let options = ServeOptions {
        id: arguments.value_from_str("--id")?,
        listen: arguments.value_from_str("--listen")?,
        data_dir: arguments.value_from_str("--data")?,
        keepers: arguments.value_from_fn("--keepers", parse_keepers)?,
        terms,
        is_joining: arguments.contains("--join"),
        trace: if arguments.contains("--trace") { Trace::On } else { Trace::Off },
    };
    if !options.keepers.contains_key(&options.id) && !options.is_joining {
        return Err(UsageError::MissingOwnId(options.id));
    }
    Ok(options)
}

fn raft_config() -> Result<Arc<Config>, RunError> {
    let config = Config {
        cluster_name: "ashvane".into(),
        heartbeat_interval: HEARTBEAT_INTERVAL_MS,
        election_timeout_min: MIN_ELECTION_TIMEOUT_MS,
        election_timeout_max: MAX_ELECTION_TIMEOUT_MS,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL_ENTRIES),
        max_in_snapshot_log_to_keep: RETAINED_LOG_ENTRIES,
        ..Config::default()
    };
    Ok(Arc::new(config.validate().map_err(|reason| RunError::Config(Box::new(reason)))?))
}

async fn serve(options: ServeOptions) -> Result<(), RunError> {
    std::fs::create_dir_all(&options.data_dir)
        .map_err(|reason| RunError::DataDirectory { path: options.data_dir.clone(), reason })?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let address = options.listen;
    let listener = TcpListener::bind(address).await.map_err(|reason| RunError::Listen { address, reason })?;
    let store =
        KeeperStore::open(&options.data_dir.join("keeper.redb"), options.trace).map_err(RunError::Store)?;
    let raft = start_raft(&options, &store).await?;
    let keeper = Arc::new(KeeperServer::new(options.id, options.terms, raft.clone(), store));
    let serving = tokio::spawn(axum::serve(listener, keeper.router()).into_future());
    if !options.is_joining {
        initialize(&raft, &options.keepers).await?;
    }
    let result = tokio::select! {
        reason = raft_failure(&raft) => Err(reason),
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
        outcome = serving => Err(RunError::ServerStopped(outcome.unwrap_or(Ok(())))),
    };
    // A shutdown that times out loses nothing: committed entries are already on disk.
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, raft.shutdown()).await;
    result
}

async fn start_raft(options: &ServeOptions, store: &KeeperStore) -> Result<Raft, RunError> {
    let peers = Arc::new(options.keepers.clone());
    let network = KeeperNetwork { own_id: options.id, http: http_client(), peers };
    Raft::new(options.id, raft_config()?, network, store.clone(), store.clone())
        .await
        .map_err(|reason| RunError::Start(Box::new(reason)))
}

/// Initializes Raft's membership, unless the log already contains one.
async fn initialize(raft: &Raft, keepers: &BTreeMap<u64, SocketAddr>) -> Result<(), RunError> {
    if raft.is_initialized().await.map_err(|reason| RunError::Initialize(Box::new(reason)))? {
        return Ok(());
    }
    let node = |(id, address): (&u64, &SocketAddr)| (*id, BasicNode { addr: address.to_string() });
    let members: BTreeMap<u64, BasicNode> = keepers.iter().map(node).collect();
    // All keepers initialize the same members, so it does not matter which of them is first. The error of a
    // keeper that is already initialized is ignored.
    let _ = raft.initialize(members).await;
    Ok(())
}

/// Waits until Raft fails, and returns the reason.
async fn raft_failure(raft: &Raft) -> RunError {
    let mut metrics = raft.metrics();
    loop {
        if let Err(reason) = &metrics.borrow_and_update().running_state {
            return RunError::Raft(Box::new(reason.clone()));
        }
        if metrics.changed().await.is_err() {
            return RunError::RaftStopped;
        }
    }
}

/// Requests the replacement of a keeper from the leading keeper at `at`.
async fn replace(at: SocketAddr, request: &ReplaceRequest) -> Result<(), RunError> {
    let response = post::<_, String>(&http_client(), at, "/v1/replace", request).await;
    let PostResponse { status, body } = response.map_err(RunError::Call)?;
    if status != 200 {
        return Err(RunError::Rejected(body));
    }
    println!("{body}");
    Ok(())
}

async fn run(command: CommandLine) -> Result<(), RunError> {
    match command {
        CommandLine::Serve(options) => return serve(options).await,
        CommandLine::Replace { at, request } => return replace(at, &request).await,
        CommandLine::Version => println!("ashvane-keeper {}", env!("CARGO_PKG_VERSION")),
        CommandLine::Help => print!("{HELP}"),
    }
    Ok(())
}

fn main() -> ExitCode {
    let command = match parse_command_line() {
        Ok(command) => command,
        Err(reason) => {
            eprintln!("ashvane-keeper: {reason}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    match runtime.map_err(RunError::Runtime).and_then(|runtime| runtime.block_on(run(command))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("ashvane-keeper: {reason}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
