//! The command line.

use std::process::ExitCode;

use ashvane_node::client;
use ashvane_node::program::{self, Role};
use ashvane_node::settings::Settings;
use ashvane_node::verdict::StartError;
use getopts::Options;
use slog::Level;

const WORDS: &str = "ashvane-node: a search front over sharded indexes

    ashvane-node gateway     take clients' requests and gather their answers
    ashvane-node control     keep the configuration, hear servers and operators
    ashvane-node check FILE  ok, or all faults of a settings file or a configuration (.json)
    ashvane-node get         the configuration that a majority of the disks holds
    ashvane-node put FILE    send a configuration, checked here first
    ashvane-node show [all|process|configuration|duties|disks|nodes|servers|allotments]
    ashvane-node version

The settings file is named by ASHVANE_CONFIG or --settings. get, put and show call the control address that
--at names (or a gateway's readiness address, for show); it may be given several times: the next one is called
where one does not answer.";

fn settings_file(stated: Option<String>) -> Result<String, StartError> {
    let named = stated.or_else(|| std::env::var("ASHVANE_CONFIG").ok());
    named.ok_or_else(|| StartError::Usage { why: "ASHVANE_CONFIG names no settings file".to_owned() })
}

fn addresses(matches: &getopts::Matches) -> Result<Vec<String>, StartError> {
    let at = matches.opt_strs("at");
    if at.is_empty() {
        return Err(StartError::Usage { why: "--at names no address".to_owned() });
    }
    Ok(at)
}

fn print(text: String) -> Result<(), StartError> {
    use std::io::Write as _;
    let written =
        std::io::stdout().write_all(text.trim_end().as_bytes()).and_then(|()| writeln!(std::io::stdout()));
    written.map_err(|why| StartError::Runtime { why })
}

fn check(file: Option<&String>) -> Result<(), StartError> {
    let file = file.ok_or_else(|| StartError::Usage { why: "check needs a file".to_owned() })?;
    if !file.ends_with(".json") {
        return Settings::load(file).map(|_| println!("ok"));
    }
    let fault = |why: String| StartError::Settings { file: file.clone(), why };
    let text = std::fs::read(file).map_err(|e| fault(e.to_string()))?;
    let config = ashvane_node::config::Config::parse(&text).map_err(|faults| fault(faults.join("; ")))?;
    println!("ok, version {}, {} routes", config.version, config.routes().count());
    Ok(())
}

fn run() -> Result<(), StartError> {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings file", "FILE");
    options.optopt("", "log", "critical, error, warning, info, debug or trace", "LEVEL");
    options.optmulti("", "at", "an address to call", "ADDRESS");
    options.optflag("", "json", "show as JSON");
    options.optflag("h", "help", "these words");
    let usage = |why: String| StartError::Usage { why };
    let matches = options.parse(std::env::args().skip(1)).map_err(|e| usage(e.to_string()))?;
    let level = matches.opt_str("log").unwrap_or_else(|| "info".to_owned());
    let level: Level = level.parse().map_err(|()| usage(format!("{level} is no level")))?;
    let role = match matches.free.first().map(String::as_str) {
        Some("gateway") => Role::Gateway,
        Some("control") => Role::Control,
        Some("check") => return check(matches.free.get(1)),
        Some("get") => return print(client::get(&addresses(&matches)?)?),
        Some("put") => {
            let file = matches.free.get(1).ok_or_else(|| usage("put needs a file".to_owned()))?;
            let text = std::fs::read(file).map_err(|e| usage(format!("{file}: {e}")))?;
            return print(client::put(&addresses(&matches)?, text)?);
        }
        Some("show") => {
            let what = matches.free.get(1).map_or("all", String::as_str);
            return print(client::show(&addresses(&matches)?, what, matches.opt_present("json"))?);
        }
        Some("version") => {
            println!("ashvane-node {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        None | Some("help") => {
            println!("{}", options.usage(WORDS));
            return Ok(());
        }
        Some(other) if !matches.opt_present("help") => {
            return Err(usage(format!("{other} is no sub-command")));
        }
        Some(_) => {
            println!("{}", options.usage(WORDS));
            return Ok(());
        }
    };
    let file = settings_file(matches.opt_str("settings"))?;
    program::run(role, Settings::load(&file)?, &file, program::logger(level))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ashvane-node: {e}");
            ExitCode::FAILURE
        }
    }
}
