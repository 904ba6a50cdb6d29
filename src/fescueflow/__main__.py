"""Run the command line with ``python -m fescueflow``."""

import sys

from fescueflow.cli import main

if __name__ == "__main__":
    sys.exit(main())
