//! Command line of `ashvane-node`.

use std::io::{self, Write as _};
use std::process::ExitCode;

use ashvane_node::config::Config;
use ashvane_node::document::Faults;
use ashvane_node::operator_client::{self, ClientError, Format};
use ashvane_node::program::{self, Role, StartError};
use ashvane_node::settings::{Settings, SettingsError};
use derive_more::{Display, Error, From};
use getopts::{Matches, Options};
use slog::Level;

const HELP: &str = "ashvane-node: a search front over sharded indexes

    ashvane-node gateway     serve client requests by forwarding them to servers
    ashvane-node control     store the configuration, serve the calls of servers and operators
    ashvane-node check FILE  validate a settings file or a configuration (.json) and print all faults
    ashvane-node get         print the configuration that a quorum has chosen
    ashvane-node put FILE    validate a configuration and send it
    ashvane-node show [all|process|configuration|duties|disks|nodes|servers|inferences|allotments]
    ashvane-node version

The settings file is given by --settings or ASHVANE_CONFIG. get, put and show call the control address given
by --at (for show also the readiness address of a gateway). If --at is given several times, the addresses are
called in order until one answers.";

/// Environment variable with the name of the settings file.
const SETTINGS_VARIABLE: &str = "ASHVANE_CONFIG";

/// Reason why a command failed.
#[derive(Debug, Display, Error, From)]
enum CommandError {
    Arguments(getopts::Fail),
    #[display("{_0} is not a log level")]
    #[from(skip)]
    UnknownLevel(#[error(not(source))] String),
    #[display("{_0} is not a sub-command")]
    #[from(skip)]
    UnknownCommand(#[error(not(source))] String),
    #[display("{_0} needs a FILE argument")]
    #[from(skip)]
    MissingFile(#[error(not(source))] &'static str),
    #[display("no settings file: neither --settings nor {SETTINGS_VARIABLE} is given")]
    NoSettingsFile,
    #[display("no address to call: --at is not given")]
    NoAddress,
    #[display("{file}: {reason}")]
    #[from(skip)]
    UnreadableFile {
        file: String,
        #[error(source)]
        reason: io::Error,
    },
    #[display("{file}: {faults}")]
    #[from(skip)]
    InvalidConfig {
        file: String,
        #[error(source)]
        faults: Faults,
    },
    Settings(SettingsError),
    Start(StartError),
    Client(ClientError),
    Output(io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("ashvane-node: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), CommandError> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    let level = log_level(&matches)?;
    let file = matches.free.get(1);
    match matches.free.first().map(String::as_str) {
        Some("gateway") => run_role(Role::Gateway, &matches, level),
        Some("control") => run_role(Role::Control, &matches, level),
        Some("check") => check(file.ok_or(CommandError::MissingFile("check"))?),
        Some("get") => print(&operator_client::get(&addresses(&matches)?)?),
        Some("put") => {
            let text = read_file(file.ok_or(CommandError::MissingFile("put"))?)?;
            print(&operator_client::put(&addresses(&matches)?, text)?)
        }
        Some("show") => {
            let part = file.map_or("all", String::as_str);
            let format = if matches.opt_present("json") { Format::Json } else { Format::Tables };
            print(&operator_client::show(&addresses(&matches)?, part, format)?)
        }
        Some("version") => print(concat!("ashvane-node ", env!("CARGO_PKG_VERSION"))),
        Some(other) if other != "help" && !matches.opt_present("help") => {
            Err(CommandError::UnknownCommand(other.to_owned()))
        }
        _ => print(&options.usage(HELP)),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings file", "FILE");
    options.optopt("", "log", "critical, error, warning, info, debug or trace", "LEVEL");
    options.optmulti("", "at", "an address to call; may be repeated", "ADDRESS");
    options.optflag("", "json", "print JSON instead of tables");
    options.optflag("h", "help", "print this help");
    options
}

fn log_level(matches: &Matches) -> Result<Level, CommandError> {
    let name = matches.opt_str("log").unwrap_or_else(|| "info".to_owned());
    name.parse().map_err(|()| CommandError::UnknownLevel(name))
}

fn run_role(role: Role, matches: &Matches, level: Level) -> Result<(), CommandError> {
    let settings_file = matches.opt_str("settings").or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let file = settings_file.ok_or(CommandError::NoSettingsFile)?;
    let settings = Settings::load(&file)?;
    program::run(role, settings, &file, program::logger(level))?;
    Ok(())
}

fn check(file: &str) -> Result<(), CommandError> {
    if !file.ends_with(".json") {
        Settings::load(file)?;
        return print("ok");
    }
    let config = Config::parse(&read_file(file)?)
        .map_err(|faults| CommandError::InvalidConfig { file: file.to_owned(), faults })?;
    print(&format!("ok, version {}, {} routes", config.version, config.routes().count()))
}

fn read_file(file: &str) -> Result<Vec<u8>, CommandError> {
    std::fs::read(file).map_err(|reason| CommandError::UnreadableFile { file: file.to_owned(), reason })
}

fn addresses(matches: &Matches) -> Result<Vec<String>, CommandError> {
    let addresses = matches.opt_strs("at");
    if addresses.is_empty() { Err(CommandError::NoAddress) } else { Ok(addresses) }
}

fn print(text: &str) -> Result<(), CommandError> {
    let mut out = io::stdout();
    out.write_all(text.trim_end().as_bytes())?;
    out.write_all(b"\n")?;
    Ok(())
}
