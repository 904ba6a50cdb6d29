"""Command line of the randomised soak test."""

import argparse
import sys

from tests.soak.run import SoakRun


def main():
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    arguments = parser.parse_args()
    if not 5 <= arguments.seconds <= 3600:
        parser.error("--seconds must be between 5 and 3600")
    write = lambda line: print(line, flush=True)
    return 0 if SoakRun(arguments.seed, arguments.seconds, write).run() else 1


if __name__ == "__main__":
    sys.exit(main())
