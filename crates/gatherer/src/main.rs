//! ashvane, the gatherer: receives queries from clients, requests their parts from shard servers, and
//! answers.

mod live;
mod log_lines;
mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

use program::{Files, Program};

const HELP: &str = "\
ashvane co-ordinates queries over replicated shards

Usage: ashvane serve [--settings FILE] [--log LEVEL] [--log-form FORM]
                                        serve clients until told to end (SIGTERM)
       ashvane check --settings FILE [--memory-mb N]
                                        check our own settings file: ok, or all its faults and status 1
       ashvane version                  print the version
       ashvane help                     print this

Levels: error, warn, info (unless given), debug. Forms: text (unless given), json; the settings file holds
over the flag.

serve reads its configuration, as JSON, from the file that GW_CONFIG names. GW_NAME, GW_LISTEN
and GW_DISCOVERY hold over what it says. At SIGHUP the file is read again, and what it says
of discovery holds; the settings file is read again too, and both are taken over, or neither.
SIGUSR1 logs what memory is used for. docs/memory.md has the settings.
";

/// Memory that a settings file is checked against if neither the command line nor the configuration states
/// it.
const DEFAULT_MEMORY_MB: u64 = 192;

/// Loads the configuration and runs the program.
fn serve(level: log::LevelFilter, settings: Option<String>, as_json: bool) -> Result<(), String> {
    let path = std::env::var("GW_CONFIG");
    let path = path.map_err(|_| "GW_CONFIG is not set; it must name the configuration file")?;
    let config = protocol::config::load(&path, false)?;
    Program::run(config, Files { config: path, settings }, level, as_json)
}

/// Checks a settings file, for `memory` bytes if given, else for the memory in the configuration.
fn check(file: &str, memory: Option<u64>) -> Result<(), String> {
    let configured = || {
        let config = protocol::config::load(&std::env::var("GW_CONFIG").ok()?, false).ok()?;
        Some(config.memory_mb << 20)
    };
    let memory = memory.or_else(configured).unwrap_or(DEFAULT_MEMORY_MB << 20);
    match Program::check(file, memory)? {
        faults if faults.is_empty() => {
            println!("ok");
            Ok(())
        }
        faults => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            Err(format!("{file} has {} faults", faults.len()))
        }
    }
}

/// Parses the command line and runs the command.
fn run_command() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let parse_error = |e: pico_args::Error| e.to_string();
    let command = arguments.subcommand().map_err(parse_error)?;
    let level = arguments.opt_value_from_str("--log").map_err(parse_error)?;
    let form: Option<String> = arguments.opt_value_from_str("--log-form").map_err(parse_error)?;
    let settings: Option<String> = arguments.opt_value_from_str("--settings").map_err(parse_error)?;
    let memory_mb: Option<u64> = arguments.opt_value_from_str("--memory-mb").map_err(parse_error)?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("unknown argument {unknown:?}; see ashvane help"));
    }
    let as_json = match form.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(other) => return Err(format!("--log-form {other:?} is neither text nor json")),
    };
    match command.as_deref() {
        Some("serve") => serve(level.unwrap_or(log::LevelFilter::Info), settings, as_json),
        Some("check") => {
            let file = settings.ok_or("check requires --settings FILE")?;
            check(&file, memory_mb.map(|mb| mb << 20))
        }
        Some("version") => {
            println!("ashvane {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") | None => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("unknown command {other:?}; see ashvane help")),
    }
}

fn main() -> ExitCode {
    let result = run_command();
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("ashvane: {reason}");
            ExitCode::FAILURE
        }
    }
}
