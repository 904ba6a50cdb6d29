"""Print the entries of ``requirements.lock`` that are needed at run time."""

import re
import sys
import tomllib
from importlib.metadata import requires
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]+")


def normalize_name(name):
    return re.sub(r"[-_.]+", "-", name).lower()


def collect_names(requirements):
    """Return the normalized names of requirements and of their dependencies."""
    found = set()
    pending = [r for r in requirements if "extra ==" not in r]
    while pending:
        name = normalize_name(NAME_PATTERN.match(pending.pop()).group())
        if name not in found:
            found.add(name)
            pending += [r for r in requires(name) or [] if "extra ==" not in r]
    return found


def main():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    names = collect_names(project["dependencies"])
    for entry in re.split(r"\n(?=\S)", (ROOT / "requirements.lock").read_text()):
        matched = NAME_PATTERN.match(entry)
        if matched and normalize_name(matched.group()) in names:
            sys.stdout.write(entry.rstrip("\n") + "\n")


if __name__ == "__main__":
    main()
