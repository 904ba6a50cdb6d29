"""Run one instance with ``python -m fescueflow.gateway``."""

import sys

from fescueflow.gateway.process import run

if __name__ == "__main__":
    sys.exit(run())
