"""Days of the users' bench, one line each.

``make bench`` plays days of a site with a seed, ``make hunt`` days with random
trouble. Exit codes: 0 every rule was kept, 1 a rule was broken, 2 the bench gave no
result, 3 the bench is not there.
"""

import argparse
import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = ROOT.parent / "given/kit/more/system/bin/fleetbench"
LOGS = ROOT / "build/hunt"
EXIT_BROKEN, EXIT_FAILED, EXIT_ABSENT = 1, 2, 3
# Name, machines and upstreams, score, worth, served, refused, failed, remarks.
ROW = re.compile(
    r"(?P<name>\S+)(?: --seed (?P<seed>\d+))? +\d+/\d+ +(?P<score>[\d.-]+) +"
    r"(?P<worth>-?[\d.]+) +[\d.]+ +[\d.]+ +[\d.]+ +(?P<remarks>.*)"
)
BROKEN = re.compile(r"BROKEN: (.*?)(?: \(else|$)")


@dataclass(frozen=True)
class Day:
    """Result of one day."""

    name: str
    seed: str
    score: float
    worth: float
    broken: str

    def describe(self, kind, site):
        """Return the line for a day."""
        rules = "broken" if self.broken else "kept"
        broken = self.broken.replace(" ", ":") or "-"
        return (
            f"{kind} {site} seed={self.seed} day={self.name} worth={self.worth:.3f} "
            f"score={self.score:.2f} rules={rules} broken={broken}"
        )


def parse_days(text, seed="-"):
    """Return the days in the bench's output."""
    days = []
    for line in text.splitlines():
        found = ROW.fullmatch(line.rstrip())
        if found is None:
            continue
        broken = BROKEN.search(found["remarks"])
        days.append(
            Day(
                found["name"],
                found["seed"] or seed,
                float(found["score"]),
                float(found["worth"]),
                broken[1] if broken else "",
            )
        )
    return days


def run_bench(arguments, log):
    """Run the bench, keep its output in a file, and return it."""
    LOGS.mkdir(parents=True, exist_ok=True)
    command = [str(PROGRAM), *arguments]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, errors="replace", check=False
    )
    output = done.stdout + done.stderr
    (LOGS / log).write_text(output)
    return output


def list_days(site, count):
    """Return the names of a site's standard days."""
    names = re.findall(r'^\[\[day\]\]\s*\nname = "([^"]+)"', site.read_text(), re.M)
    return names[:count] if count else names


def play_days(site, seed, count):
    """Yield the days of ``make bench``."""
    for name in list_days(site, count):
        arguments = ["run", str(site), name, *(["--seed", seed] if seed else [])]
        found = parse_days(run_bench(arguments, f"{site.stem}-{name}.txt"), seed or "-")
        yield from found[:1]


def hunt_days(site, count):
    """Yield the days of ``make hunt``, and keep the logs of each red one."""
    arguments = ["hunt", str(site), "--days", str(count)]
    for day in parse_days(run_bench(arguments, f"{site.stem}-hunt.txt")):
        if day.broken:
            name = [day.name] if day.seed == "-" else [day.name, "--seed", day.seed]
            arguments = ["replay", str(site), *name, "--log", "all"]
            run_bench(arguments, f"{site.stem}-{day.name}-{day.seed}.log")
        yield day


def main():
    """Play days and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["bench", "hunt"])
    parser.add_argument("--site", required=True, type=Path)
    parser.add_argument("--seed", default="", help="of each day [the day's own]")
    parser.add_argument("--days", type=int, default=0, help="0: all standard days")
    options = parser.parse_args()
    if not PROGRAM.exists() or not options.site.exists():
        print("the users' bench or this site file is not here", file=sys.stderr)
        return EXIT_ABSENT
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
        print(f"the bench gave no result; see {LOGS}", file=sys.stderr)
        return EXIT_FAILED
    red = sum(bool(day.broken) for day in days)
    mean = sum(day.worth for day in days) / len(days)
    print(
        f"{options.kind} {site.stem} days={len(days)} red={red} mean_worth={mean:.3f}"
    )
    return EXIT_BROKEN if red else 0


if __name__ == "__main__":
    sys.exit(main())
