"""Servers crash under a prompt part right after the first write of their answer.

With ``EVENTS_PER_WRITE=1`` the first write holds one event instead of two.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import poison
import standins as s


def check(record):
    """Run the case."""
    events_per_write = int(os.environ.get("EVENTS_PER_WRITE", "2"))
    traffic = poison.Traffic(
        events_per_write=events_per_write, is_faulty=s.is_troubled()
    )
    return poison.Case(record, traffic).run()


if __name__ == "__main__":
    sys.exit(s.run_case(check, Path(__file__).resolve().parent))
