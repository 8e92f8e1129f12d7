//! Rehearses failures: many processes of the program, faults between them, the rules checked on what they did.

use std::io::IsTerminal as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use ashvane_lab::hunt;
use ashvane_lab::process::{LAUNCH, launch};
use ashvane_lab::rehearsals::ALL;
use ashvane_lab::rig::{Bound, Options, Outcome, play};
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

/// Statuses of the program.
const BROKEN: u8 = 1;
const USAGE: u8 = 2;

struct Asked {
    name: String,
    seed: Option<u64>,
    gatherers: Option<u16>,
    seconds: Option<f64>,
    seeds: Option<String>,
    keepers: bool,
    json: bool,
    keep: Option<PathBuf>,
    program: Option<PathBuf>,
}

fn asked() -> Result<Option<Asked>, String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let wrong = |e: pico_args::Error| e.to_string();
    let asked = Asked {
        seed: arguments.opt_value_from_str("--seed").map_err(wrong)?,
        gatherers: arguments.opt_value_from_str("--gatherers").map_err(wrong)?,
        seconds: arguments.opt_value_from_str("--seconds").map_err(wrong)?,
        seeds: arguments.opt_value_from_str("--seeds").map_err(wrong)?,
        keepers: arguments.contains("--keepers"),
        json: arguments.contains("--json"),
        keep: arguments.opt_value_from_str("--keep").map_err(wrong)?,
        program: arguments.opt_value_from_str("--program").map_err(wrong)?,
        name: arguments.free_from_str().map_err(|_| "no rehearsal is named; see --help")?,
    };
    if asked.seeds.is_some() != (asked.name == "hunt") || (asked.keepers && asked.name != "hunt") {
        return Err("--seeds A..B goes with hunt, and hunt needs it; so does --keepers".into());
    }
    match arguments.finish().first() {
        Some(unknown) => Err(format!("unknown argument {unknown:?}")),
        None => Ok(Some(asked)),
    }
}

/// The rehearsal that is meant, with what was asked of it.
fn rehearsal(asked: &Asked) -> Result<Rehearsal, String> {
    let ships = ALL.iter().find(|(name, _)| *name == asked.name).map(|(_, text)| (*text).to_owned());
    let text = match ships {
        Some(text) => text,
        None if asked.name.ends_with(".toml") => {
            std::fs::read_to_string(&asked.name).map_err(|e| format!("{}: {e}", asked.name))?
        }
        None => return Err(format!("there is no rehearsal {:?}; see ashvane-rehearse list", asked.name)),
    };
    let mut rehearsal = Rehearsal::read(&text).map_err(|e| format!("{}: {e}", asked.name))?;
    rehearsal.gatherers = asked.gatherers.unwrap_or(rehearsal.gatherers);
    rehearsal.seconds = asked.seconds.unwrap_or(rehearsal.seconds);
    rehearsal.checked()
}

fn options(asked: &Asked, seed: u64) -> Result<Options, String> {
    let launcher = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = asked.program.clone().unwrap_or_else(|| launcher.with_file_name("ashvane"));
    if !program.exists() {
        return Err(format!("{} is not there: build it, or name it with --program", program.display()));
    }
    let folder = std::env::temp_dir().join(format!("ashvane-rehearse-{}", std::process::id()));
    let folder = asked.keep.clone().unwrap_or(folder);
    fn tell(line: &str) {
        eprint!("\r\x1b[K{line}");
    }
    let progress = std::io::stderr().is_terminal().then_some(tell as fn(&str));
    Ok(Options { program, launcher, seed, folder, progress })
}

fn bound(b: &Bound) -> String {
    let side = |word: &str, n: Option<f64>| n.map(|n| format!(" {word} {n}")).unwrap_or_default();
    let kept = if b.holds { "" } else { " BROKEN" };
    format!(
        "{} {:.3} ({}{}){kept}",
        b.name,
        b.measured,
        side("at most", b.most).trim(),
        side("at least", b.least).trim()
    )
}

fn keep(folder: &Path, report: &serde_json::Value, outcome: &Outcome) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let file = std::fs::File::create(folder.join("history.jsonl"))?;
    outcome.history.write(std::io::BufWriter::new(file))?;
    std::fs::write(folder.join("report.json"), report.to_string())
}

/// Tells an outcome: the figures, what was broken, and the last line.
fn tell(asked: &Asked, seed: u64, outcome: &Outcome) -> Result<bool, String> {
    let passed = outcome.passed();
    let report = json!({
        "rehearsal": asked.name, "seed": seed, "passed": passed, "not_measured": outcome.not_measured,
        "bounds": outcome.bounds, "broken": outcome.broken, "figures": outcome.figures, "ended": outcome.unexpected_exits,
    });
    if let Some(folder) = &asked.keep {
        keep(folder, &report, outcome).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    if asked.json {
        println!("{report}");
        return Ok(passed);
    }
    for (name, value) in &outcome.figures {
        println!("{name:>22} {value:.3}");
    }
    outcome.unexpected_exits.iter().for_each(|words| println!("{words}"));
    outcome
        .broken
        .iter()
        .for_each(|b| println!("broken: {}, {} times; first at {}", b.rule, b.times, b.first));
    let why = outcome.not_measured.iter().map(|why| format!("not measured: {why}"));
    let rules = outcome.broken.iter().map(|b| format!("{} BROKEN {} times", b.rule, b.times));
    let all: Vec<String> = why.chain(rules).chain(outcome.bounds.iter().map(bound)).collect();
    println!("{} {} seed {seed}: {}", if passed { "PASS" } else { "FAIL" }, asked.name, all.join("; "));
    Ok(passed)
}

/// Plays a script for each seed; tells the shortest that breaks a rule, cut down.
async fn hunt(asked: &Asked) -> Result<bool, String> {
    let seeds = asked.seeds.as_deref().and_then(|s| s.split_once(".."));
    let seeds = seeds.and_then(|(a, b)| Some(a.parse::<u64>().ok()?..b.parse::<u64>().ok()?));
    let seeds = seeds.ok_or("--seeds is not A..B")?;
    let breaks = async |rehearsal: &Rehearsal, seed| -> Result<Option<String>, String> {
        let outcome = play(rehearsal, &options(asked, seed)?).await?;
        if let Some(why) = &outcome.not_measured {
            eprintln!("seed {seed}: not measured: {why}");
            return Ok(None);
        }
        Ok(outcome.broken.first().map(|b| format!("{}, {} times; first at {}", b.rule, b.times, b.first)))
    };
    let (mut played, mut found) = (0, Vec::new());
    for seed in seeds.clone() {
        let rehearsal = hunt::generate(seed, asked.keepers)?;
        played += 1;
        let Some(broken) = breaks(&rehearsal, seed).await? else { continue };
        eprintln!("seed {seed}: {broken}");
        let acts = hunt::shrink(rehearsal.act.clone(), async |acts| {
            let fewer = Rehearsal { act: acts.to_vec(), ..rehearsal.clone() };
            matches!(breaks(&fewer, seed).await, Ok(Some(_)))
        });
        found.push((seed, broken, Rehearsal { act: acts.await, ..rehearsal.clone() }));
    }
    found.sort_by_key(|(_, _, rehearsal)| rehearsal.act.len());
    let written = |r: &Rehearsal| toml::to_string(r).unwrap_or_default();
    if asked.json {
        let rows = found
            .iter()
            .map(|(seed, broken, r)| json!({"seed": seed, "broken": broken, "script": written(r)}));
        println!(
            "{}",
            json!({"played": played, "found": rows.collect::<Vec<_>>(), "passed": found.is_empty()})
        );
        return Ok(found.is_empty());
    }
    if let Some((seed, broken, shortest)) = found.first() {
        println!("# seed {seed} breaks {broken}\n{}", written(shortest));
    }
    let verdict = if found.is_empty() { "PASS" } else { "FAIL" };
    println!(
        "{verdict} hunt seeds {}..{}: {played} played, {} broke a rule",
        seeds.start,
        seeds.end,
        found.len()
    );
    Ok(found.is_empty())
}

async fn run(asked: &Asked) -> Result<bool, (u8, String)> {
    let usage = |words| (USAGE, words);
    if asked.name == "hunt" {
        return hunt(asked).await.map_err(usage);
    }
    let rehearsal = rehearsal(asked).map_err(usage)?;
    let seed = asked.seed.unwrap_or(1);
    let options = options(asked, seed).map_err(usage)?;
    let outcome = play(&rehearsal, &options).await.map_err(|words| (BROKEN, words))?;
    if options.progress.is_some() {
        eprint!("\r\x1b[K");
    }
    tell(asked, seed, &outcome).map_err(usage)
}

/// Runs until done, or until told to end; then all that it started ends with it.
async fn until_told(asked: &Asked) -> Result<bool, (u8, String)> {
    let listen = |kind| signal(kind).map_err(|e| (BROKEN, format!("no signals: {e}")));
    let (mut interrupt, mut terminate) = (listen(SignalKind::interrupt())?, listen(SignalKind::terminate())?);
    tokio::select! {
        done = run(asked) => done,
        _ = interrupt.recv() => Err((BROKEN, "interrupted".into())),
        _ = terminate.recv() => Err((BROKEN, "told to end".into())),
    }
}

fn main() -> ExitCode {
    let mut words = std::env::args_os().skip(1);
    if words.next().is_some_and(|word| word == LAUNCH) {
        eprintln!("ashvane-rehearse: {}", launch(words));
        return ExitCode::FAILURE;
    }
    let asked = match asked() {
        Ok(Some(asked)) if asked.name == "list" => {
            for (name, text) in ALL {
                let about = Rehearsal::read(text).map(|r| r.about).unwrap_or_else(|e| e);
                println!("{name:14} {about}");
            }
            return ExitCode::SUCCESS;
        }
        Ok(Some(asked)) => asked,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(words) => {
            eprintln!("ashvane-rehearse: {words}");
            return ExitCode::from(USAGE);
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("ashvane-rehearse: {e}");
            return ExitCode::from(BROKEN);
        }
    };
    let ended = runtime.block_on(until_told(&asked));
    runtime.shutdown_background();
    if asked.keep.is_none() {
        let folder = std::env::temp_dir().join(format!("ashvane-rehearse-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(folder);
    }
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err((status, words)) => {
            eprintln!("ashvane-rehearse: {words}");
            ExitCode::from(status)
        }
    }
}
