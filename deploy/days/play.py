#!/usr/bin/env python3
"""Plays days on the users' bench, one line of results a day.

usage (at the root of the repository):
  deploy/days/play.py BENCH SITE... --days deploy/days/*.toml [--seeds 1-5] --why TEXT
  deploy/days/play.py BENCH SITE... --draw PROGRAM --seeds 1-25 --points none,1,2,3,4,5 --why TEXT

BENCH is the bench's program, SITE a site file, PROGRAM the one that draws a day from a seed. Files of days are played with their own seed,
or with each of --seeds. A line says: site, day, worth, time to the acknowledgement of a configuration (median and worst, ms), and the rules
that were broken, or how else the day failed. The last line counts. The program ends with 1 if a rule was broken, or if a day could not be
played.
"""
import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path


@dataclass
class Outcome:
    """What came of one day."""

    line: str
    played: bool = False
    broken: bool = False


@dataclass
class Day:
    """A day's file, and the seed that it is played with instead of its own."""

    file: Path
    seed: int | None = None


def arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--days", nargs="*", default=[], type=Path, help="files of days")
    parser.add_argument("--draw", help="the program that draws a day: PROGRAM SEED [--point N]")
    parser.add_argument("--seeds", default="", help="a seed, or the first and the last with a dash between")
    parser.add_argument("--points", default="none", help="what the drawn days lean towards, with commas between")
    parser.add_argument("--jobs", type=int, default=2, help="days under way at once")
    parser.add_argument("--why", required=True, help="why this is played, for the journal")
    return parser.parse_args()


def seeds(text):
    """The seeds from "3" or "3-7"."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1)) if first else []


def written_days(options):
    """The days that stand in files, with their own seed or with each of those that are asked for."""
    return [Day(file, seed) for seed in seeds(options.seeds) or [None] for file in options.days]


def drawn_days(options, folder):
    """The days that are drawn, one for each seed and point."""
    days = []
    for point in options.points.split(","):
        for seed in seeds(options.seeds):
            lean = [] if point == "none" else ["--point", point]
            text = subprocess.run([options.draw, str(seed), *lean], check=True, capture_output=True, text=True).stdout
            file = folder / f"drawn-{seed}-point-{point}.toml"
            file.write_text(text)
            days.append(Day(file))
    return days


def play(options, folder, site, day):
    """Plays one day on one site."""
    name = day.file.stem if day.seed is None else f"{day.file.stem} seed {day.seed}"
    report = folder / f"{site.stem} {name}.json"
    name = f"{site.stem:22} {name:42}"
    command = [options.bench, "run", site, day.file, "--report", report, "--jobs", "1", "--why", options.why]
    command += [] if day.seed is None else ["--seed", str(day.seed)]
    run = subprocess.run(command, capture_output=True, text=True)
    if not report.exists():
        last = (run.stdout + run.stderr).strip().splitlines()[-1:]
        return Outcome(f"{name} NOT PLAYED {' '.join(last)}")
    result = json.loads(report.read_text())
    report.unlink()
    broken = result["breaks"]
    acknowledged = result["times"]["config acked"] or ["-", "-"]
    line = f"{name} worth {result['G']:.3f} acknowledged {acknowledged[0]}/{acknowledged[1]}"
    if broken:
        line += f" BROKEN {json.dumps(broken)} {json.dumps(result['first'])[:400]}"
    for field in ("fault", "short", "missed"):
        if result[field]:
            line += f" {field} {json.dumps(result[field])[:300]}"
    return Outcome(line, played=True, broken=bool(broken or result["fault"]))


def main():
    options = arguments()
    subprocess.run([options.bench, "build"], check=True, stdout=subprocess.DEVNULL)
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.jobs) as pool:
        days = drawn_days(options, Path(folder)) if options.draw else written_days(options)
        # The sites take turns, so that the long days of the large ones don't come all at the end.
        pairs = [(site, day) for day in days for site in options.sites]
        outcomes = []
        for outcome in pool.map(lambda pair: play(options, Path(folder), *pair), pairs):
            print(outcome.line, flush=True)
            outcomes.append(outcome)
    played = sum(outcome.played for outcome in outcomes)
    broken = sum(outcome.broken for outcome in outcomes)
    print(f"{played} of {len(outcomes)} days played, {broken} broken")
    sys.exit(1 if broken or played < len(outcomes) else 0)


if __name__ == "__main__":
    main()
