"""Print the part of ``requirements.lock`` that the program needs at run time."""

import re
import sys
import tomllib
from importlib.metadata import requires
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NAME = re.compile(r"[A-Za-z0-9._-]+")


def normalise(name):
    return re.sub(r"[-_.]+", "-", name).lower()


def collect_names(requirements):
    """Return the normalised names of requirements and of what they need."""
    found = set()
    waiting = [r for r in requirements if "extra ==" not in r]
    while waiting:
        name = normalise(NAME.match(waiting.pop()).group())
        if name not in found:
            found.add(name)
            waiting += [r for r in requires(name) or [] if "extra ==" not in r]
    return found


def main():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    names = collect_names(project["dependencies"])
    for entry in re.split(r"\n(?=\S)", (ROOT / "requirements.lock").read_text()):
        matched = NAME.match(entry)
        if matched and normalise(matched.group()) in names:
            sys.stdout.write(entry.rstrip("\n") + "\n")


if __name__ == "__main__":
    main()
