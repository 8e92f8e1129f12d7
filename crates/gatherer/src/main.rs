//! ashvane, the gatherer: takes clients' queries, asks shard servers for their parts, answers.

mod log_lines;
mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

use program::Program;

const HELP: &str = "\
ashvane co-ordinates queries over replicated shards

Usage: ashvane serve   [--log LEVEL]    serve clients until told to end (SIGTERM)
       ashvane version                  print the version
       ashvane help                     print this

Levels: error, warn, info (unless given), debug.

serve reads its configuration, as JSON, from the file that GW_CONFIG names. GW_NAME, GW_LISTEN
and GW_DISCOVERY hold over what it says. At SIGHUP the file is read again, and what it says
of discovery holds.
";

fn serve(level: log::LevelFilter) -> Result<(), String> {
    let path = std::env::var("GW_CONFIG");
    let path = path.map_err(|_| "GW_CONFIG is not set: it names the configuration file")?;
    let config = protocol::config::load(&path, false)?;
    log_lines::start(&config.name, level);
    Program::run(config, path)
}

fn command() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    let level = arguments.opt_value_from_str("--log").map_err(|e| e.to_string())?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("unknown argument {unknown:?}; see ashvane help"));
    }
    match command.as_deref() {
        Some("serve") => serve(level.unwrap_or(log::LevelFilter::Info)),
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
    match command() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("ashvane: {reason}");
            ExitCode::FAILURE
        }
    }
}
