//! Plays failure rehearsals: starts many processes of the program, injects faults and checks the recorded
//! history against the rules and bounds of the script.

use std::io::IsTerminal as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use ashvane_lab::hunt;
use ashvane_lab::process::{LAUNCH, launch};
use ashvane_lab::rehearsals::ALL;
use ashvane_lab::rig::{Bound, Options, Outcome, run_rehearsal};
use ashvane_lab::script::Rehearsal;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
ashvane-rehearse: many processes of the program, faults between them, histories checked

Usage: ashvane-rehearse NAME [--seed N] [--gatherers N] [--seconds N] [--json] [--keep DIR] [--program PATH]
       ashvane-rehearse hunt --seeds A..B [--keepers] [--json] [--keep DIR] [--program PATH]
       ashvane-rehearse list

NAME is a rehearsal that ships (see list) or a TOML file like them; docs/rehearse.md has its keys. --keep leaves the
history (one JSON object a line), the configurations and the report in DIR. --program is the gatherer; without it the
ashvane beside this program is started. hunt draws a script for each seed and cuts down what breaks a rule;
with --keepers it draws acts on keepers and on owners as well.

The last line is PASS or FAIL, with each bound, what was measured and the seed. Status 0; 1 for a broken bound or rule,
or where the machine was too busy to measure; 2 for a fault in what was asked for.
";

/// Exit status for a broken bound or rule, a run that could not be measured, or a failure of the run itself.
const EXIT_FAILURE: u8 = 1;
/// Exit status for invalid arguments or scripts.
const EXIT_USAGE: u8 = 2;

/// Parsed command line.
struct CommandLine {
    /// Name or file of a rehearsal, `hunt` or `list`.
    name: String,
    seed: Option<u64>,
    gatherers: Option<u16>,
    seconds: Option<f64>,
    /// Range of seeds of a hunt, as `A..B`.
    seeds: Option<String>,
    keepers: bool,
    json: bool,
    /// Folder in which the history, the configurations and the report are kept.
    keep: Option<PathBuf>,
    /// Gatherer executable.
    program: Option<PathBuf>,
}

/// Parses the command line. Returns `None` if help is requested.
fn parse_command_line() -> Result<Option<CommandLine>, String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let argument_error = |e: pico_args::Error| e.to_string();
    let command_line = CommandLine {
        seed: arguments.opt_value_from_str("--seed").map_err(argument_error)?,
        gatherers: arguments.opt_value_from_str("--gatherers").map_err(argument_error)?,
        seconds: arguments.opt_value_from_str("--seconds").map_err(argument_error)?,
        seeds: arguments.opt_value_from_str("--seeds").map_err(argument_error)?,
        keepers: arguments.contains("--keepers"),
        json: arguments.contains("--json"),
        keep: arguments.opt_value_from_str("--keep").map_err(argument_error)?,
        program: arguments.opt_value_from_str("--program").map_err(argument_error)?,
        name: arguments.free_from_str().map_err(|_| "missing NAME of a rehearsal; see --help")?,
    };
    if command_line.seeds.is_some() != (command_line.name == "hunt")
        || (command_line.keepers && command_line.name != "hunt")
    {
        return Err("hunt requires --seeds A..B; --seeds and --keepers are valid only with hunt".into());
    }
    match arguments.finish().first() {
        Some(unknown) => Err(format!("unknown argument {unknown:?}")),
        None => Ok(Some(command_line)),
    }
}

/// Loads the built-in rehearsal or the file named on the command line and applies overrides from it.
fn load_rehearsal(command_line: &CommandLine) -> Result<Rehearsal, String> {
    let built_in =
        ALL.iter().find(|(name, _)| *name == command_line.name).map(|(_, text)| (*text).to_owned());
    let text = match built_in {
        Some(text) => text,
        None if command_line.name.ends_with(".toml") => std::fs::read_to_string(&command_line.name)
            .map_err(|e| format!("cannot read rehearsal {}: {e}", command_line.name))?,
        None => {
            return Err(format!(
                "unknown rehearsal {:?}; ashvane-rehearse list prints the built-in ones",
                command_line.name
            ));
        }
    };
    let mut rehearsal =
        Rehearsal::parse(&text).map_err(|e| format!("invalid rehearsal {}: {e}", command_line.name))?;
    rehearsal.gatherers = command_line.gatherers.unwrap_or(rehearsal.gatherers);
    rehearsal.seconds = command_line.seconds.unwrap_or(rehearsal.seconds);
    rehearsal.validated()
}

/// Returns the options for playing a script with `seed`.
fn play_options(command_line: &CommandLine, seed: u64) -> Result<Options, String> {
    let launcher = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = command_line.program.clone().unwrap_or_else(|| launcher.with_file_name("ashvane"));
    if !program.exists() {
        return Err(format!(
            "program {} does not exist; build it or pass its path with --program",
            program.display()
        ));
    }
    let folder = std::env::temp_dir().join(format!("ashvane-rehearse-{}", std::process::id()));
    let folder = command_line.keep.clone().unwrap_or(folder);
    fn print_progress(line: &str) {
        eprint!("\r\x1b[K{line}");
    }
    let progress = std::io::stderr().is_terminal().then_some(print_progress as fn(&str));
    Ok(Options { program, launcher, seed, folder, progress })
}

/// Formats a bound with its measured value.
fn format_bound(bound: &Bound) -> String {
    let side = |word: &str, n: Option<f64>| n.map(|n| format!(" {word} {n}")).unwrap_or_default();
    let suffix = if bound.holds { "" } else { " BROKEN" };
    format!(
        "{} {:.3} ({}{}){suffix}",
        bound.name,
        bound.measured,
        side("at most", bound.most).trim(),
        side("at least", bound.least).trim()
    )
}

/// Writes the history and the report into `folder`.
fn write_report(folder: &Path, report: &serde_json::Value, outcome: &Outcome) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let file = std::fs::File::create(folder.join("history.jsonl"))?;
    outcome.history.write(std::io::BufWriter::new(file))?;
    std::fs::write(folder.join("report.json"), report.to_string())
}

/// Prints the outcome: the figures, the broken rules, and the verdict on the last line. Returns the verdict.
fn print_outcome(command_line: &CommandLine, seed: u64, outcome: &Outcome) -> Result<bool, String> {
    let passed = outcome.passed();
    let report = json!({
        "rehearsal": command_line.name, "seed": seed, "passed": passed, "not_measured": outcome.not_measured,
        "bounds": outcome.bounds, "broken": outcome.broken, "figures": outcome.figures, "ended": outcome.unexpected_exits,
    });
    if let Some(folder) = &command_line.keep {
        write_report(folder, &report, outcome)
            .map_err(|e| format!("cannot write the report to {}: {e}", folder.display()))?;
    }
    if command_line.json {
        println!("{report}");
        return Ok(passed);
    }
    for (name, value) in &outcome.figures {
        println!("{name:>22} {value:.3}");
    }
    outcome.unexpected_exits.iter().for_each(|message| println!("{message}"));
    outcome
        .broken
        .iter()
        .for_each(|b| println!("broken: {}, {} times; first at {}", b.rule, b.times, b.first));
    let why = outcome.not_measured.iter().map(|why| format!("not measured: {why}"));
    let rules = outcome.broken.iter().map(|b| format!("{} BROKEN {} times", b.rule, b.times));
    let all: Vec<String> = why.chain(rules).chain(outcome.bounds.iter().map(format_bound)).collect();
    println!(
        "{} {} seed {seed}: {}",
        if passed { "PASS" } else { "FAIL" },
        command_line.name,
        all.join("; ")
    );
    Ok(passed)
}

/// Plays a generated script for each seed, shrinks the scripts that break a rule and prints the shortest one.
/// Returns whether no script broke a rule.
async fn run_hunt(command_line: &CommandLine) -> Result<bool, String> {
    let seeds = command_line.seeds.as_deref().and_then(|s| s.split_once(".."));
    let seeds = seeds.and_then(|(a, b)| Some(a.parse::<u64>().ok()?..b.parse::<u64>().ok()?));
    let seeds = seeds.ok_or("invalid --seeds: expected A..B with whole numbers")?;
    let first_violation = async |rehearsal: &Rehearsal, seed| -> Result<Option<String>, String> {
        let outcome = run_rehearsal(rehearsal, &play_options(command_line, seed)?).await?;
        if let Some(why) = &outcome.not_measured {
            eprintln!("seed {seed}: not measured: {why}");
            return Ok(None);
        }
        Ok(outcome.broken.first().map(|b| format!("{}, {} times; first at {}", b.rule, b.times, b.first)))
    };
    let (mut played, mut failures) = (0, Vec::new());
    for seed in seeds.clone() {
        let rehearsal = hunt::generate(seed, command_line.keepers)?;
        played += 1;
        let Some(broken) = first_violation(&rehearsal, seed).await? else { continue };
        eprintln!("seed {seed} breaks {broken}; shrinking its script");
        let shrunk_actions = hunt::shrink(rehearsal.act.clone(), async |candidate| {
            let shorter = Rehearsal { act: candidate.to_vec(), ..rehearsal.clone() };
            matches!(first_violation(&shorter, seed).await, Ok(Some(_)))
        });
        failures.push((seed, broken, Rehearsal { act: shrunk_actions.await, ..rehearsal.clone() }));
    }
    failures.sort_by_key(|(_, _, rehearsal)| rehearsal.act.len());
    let to_toml = |r: &Rehearsal| toml::to_string(r).unwrap_or_default();
    if command_line.json {
        let rows = failures
            .iter()
            .map(|(seed, broken, r)| json!({"seed": seed, "broken": broken, "script": to_toml(r)}));
        println!(
            "{}",
            json!({"played": played, "found": rows.collect::<Vec<_>>(), "passed": failures.is_empty()})
        );
        return Ok(failures.is_empty());
    }
    if let Some((seed, broken, shortest)) = failures.first() {
        println!("# seed {seed} breaks {broken}\n{}", to_toml(shortest));
    }
    let verdict = if failures.is_empty() { "PASS" } else { "FAIL" };
    println!(
        "{verdict} hunt seeds {}..{}: {played} played, {} broke a rule",
        seeds.start,
        seeds.end,
        failures.len()
    );
    Ok(failures.is_empty())
}

/// Runs the hunt or plays the rehearsal. Returns whether it passed, or an exit status and a message.
async fn run(command_line: &CommandLine) -> Result<bool, (u8, String)> {
    let usage_error = |message| (EXIT_USAGE, message);
    if command_line.name == "hunt" {
        return run_hunt(command_line).await.map_err(usage_error);
    }
    let rehearsal = load_rehearsal(command_line).map_err(usage_error)?;
    let seed = command_line.seed.unwrap_or(1);
    let options = play_options(command_line, seed).map_err(usage_error)?;
    let outcome = run_rehearsal(&rehearsal, &options).await.map_err(|message| (EXIT_FAILURE, message))?;
    if options.progress.is_some() {
        eprint!("\r\x1b[K");
    }
    print_outcome(command_line, seed, &outcome).map_err(usage_error)
}

/// Runs until done or until SIGINT or SIGTERM arrives. Dropping the run ends all processes it started.
async fn run_until_signal(command_line: &CommandLine) -> Result<bool, (u8, String)> {
    let signal_stream =
        |kind| signal(kind).map_err(|e| (EXIT_FAILURE, format!("cannot install a signal handler: {e}")));
    let (mut interrupt, mut terminate) =
        (signal_stream(SignalKind::interrupt())?, signal_stream(SignalKind::terminate())?);
    tokio::select! {
        done = run(command_line) => done,
        _ = interrupt.recv() => Err((EXIT_FAILURE, "interrupted".into())),
        _ = terminate.recv() => Err((EXIT_FAILURE, "terminated by SIGTERM".into())),
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    if arguments.next().is_some_and(|argument| argument == LAUNCH) {
        eprintln!("ashvane-rehearse: {}", launch(arguments));
        return ExitCode::FAILURE;
    }
    let command_line = match parse_command_line() {
        Ok(Some(command_line)) if command_line.name == "list" => {
            for (name, text) in ALL {
                let about = Rehearsal::parse(text).map(|r| r.about).unwrap_or_else(|e| e);
                println!("{name:14} {about}");
            }
            return ExitCode::SUCCESS;
        }
        Ok(Some(command_line)) => command_line,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(message) => {
            eprintln!("ashvane-rehearse: {message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("ashvane-rehearse: cannot start the async runtime: {e}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let result = runtime.block_on(run_until_signal(&command_line));
    runtime.shutdown_background();
    if command_line.keep.is_none() {
        let folder = std::env::temp_dir().join(format!("ashvane-rehearse-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(folder);
    }
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILURE),
        Err((status, message)) => {
            eprintln!("ashvane-rehearse: {message}");
            ExitCode::from(status)
        }
    }
}
