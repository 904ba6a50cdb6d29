"""Run simulated days of the users' bench and print one line for each.

``make bench`` runs days of a site with a seed, ``make hunt`` days with random faults.
Exit codes: 0 every rule was kept, 1 a rule was broken, 2 the bench gave no result,
3 the bench program or the site file does not exist.
"""

import argparse
import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BENCH_PROGRAM = ROOT.parent / "given/kit/more/system/bin/fleetbench"
LOG_FOLDER = ROOT / "build/hunt"
EXIT_RULE_BROKEN, EXIT_FAILED, EXIT_BENCH_MISSING = 1, 2, 3
# Columns: name, machines and upstreams, score, worth, served, refused, failed, remarks.
DAY_ROW = re.compile(
    r"(?P<name>\S+)(?: --seed (?P<seed>\d+))? +\d+/\d+ +(?P<score>[\d.-]+) +"
    r"(?P<worth>-?[\d.]+) +[\d.]+ +[\d.]+ +[\d.]+ +(?P<remarks>.*)"
)
BROKEN_RULE = re.compile(r"BROKEN: (.*?)(?: \(else|$)")


@dataclass(frozen=True)
class Day:
    """Result of one simulated day.

    Attributes
    ----------
    broken : str
        The rule that was broken, empty if every rule was kept.
    """

    name: str
    seed: str
    score: float
    worth: float
    broken: str

    def describe(self, kind, site):
        """Return the line that reports the day."""
        rules = "broken" if self.broken else "kept"
        broken = self.broken.replace(" ", ":") or "-"
        return (
            f"{kind} {site} seed={self.seed} day={self.name} worth={self.worth:.3f} "
            f"score={self.score:.2f} rules={rules} broken={broken}"
        )


def parse_days(text, seed="-"):
    """Return the days in the bench's output; ``seed`` is for rows that name none."""
    days = []
    for line in text.splitlines():
        match = DAY_ROW.fullmatch(line.rstrip())
        if match is None:
            continue
        broken = BROKEN_RULE.search(match["remarks"])
        days.append(
            Day(
                match["name"],
                match["seed"] or seed,
                float(match["score"]),
                float(match["worth"]),
                broken[1] if broken else "",
            )
        )
    return days


def run_bench(arguments, log):
    """Run the bench, write its output to a file in ``build/hunt`` and return it."""
    LOG_FOLDER.mkdir(parents=True, exist_ok=True)
    command = [str(BENCH_PROGRAM), *arguments]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, errors="replace", check=False
    )
    output = done.stdout + done.stderr
    (LOG_FOLDER / log).write_text(output)
    return output


def list_days(site, count):
    """Return the names of the first ``count`` standard days of a site, 0 for all."""
    names = re.findall(r'^\[\[day\]\]\s*\nname = "([^"]+)"', site.read_text(), re.M)
    return names[:count] if count else names


def play_days(site, seed, count):
    """Yield the standard days that ``make bench`` runs."""
    for name in list_days(site, count):
        arguments = ["run", str(site), name, *(["--seed", seed] if seed else [])]
        parsed = parse_days(
            run_bench(arguments, f"{site.stem}-{name}.txt"), seed or "-"
        )
        yield from parsed[:1]


def hunt_days(site, count):
    """Yield the days of ``make hunt``; log replays of those with a broken rule."""
    arguments = ["hunt", str(site), "--days", str(count)]
    for day in parse_days(run_bench(arguments, f"{site.stem}-hunt.txt")):
        if day.broken:
            name = [day.name] if day.seed == "-" else [day.name, "--seed", day.seed]
            arguments = ["replay", str(site), *name, "--log", "all"]
            run_bench(arguments, f"{site.stem}-{day.name}-{day.seed}.log")
        yield day


def main():
    """Run the days, print a line for each and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["bench", "hunt"])
    parser.add_argument("--site", required=True, type=Path)
    parser.add_argument("--seed", default="", help="of each day [the day's own]")
    parser.add_argument("--days", type=int, default=0, help="0: all standard days")
    options = parser.parse_args()
    if not BENCH_PROGRAM.exists() or not options.site.exists():
        print("the users' bench or the site file does not exist", file=sys.stderr)
        return EXIT_BENCH_MISSING
    site = options.site.resolve()
    days = []
    if options.kind == "bench":
        played = play_days(site, options.seed, options.days)
    else:
        played = hunt_days(site, options.days or 40)
    for day in played:
        days.append(day)
        print(day.describe(options.kind, site.stem), flush=True)
    if not days:
        print(f"the bench gave no result; see {LOG_FOLDER}", file=sys.stderr)
        return EXIT_FAILED
    broken_count = sum(bool(day.broken) for day in days)
    mean = sum(day.worth for day in days) / len(days)
    print(
        f"{options.kind} {site.stem} days={len(days)} red={broken_count} "
        f"mean_worth={mean:.3f}"
    )
    return EXIT_RULE_BROKEN if broken_count else 0


if __name__ == "__main__":
    sys.exit(main())
