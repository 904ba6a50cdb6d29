"""Run one unmodified instance; it exits when the process that started it exits."""

import argparse
import os
import sys
import threading

from fescueflow.node import Node
from fescueflow.settings import add_arguments, load_settings
from tests.standins.serve import exit_with_parent


def main():
    parser = argparse.ArgumentParser(prog="measures.serve")
    add_arguments(parser)
    settings = load_settings(vars(parser.parse_args()), os.environ)
    parent = os.getppid()
    threading.Thread(target=exit_with_parent, args=(parent,), daemon=True).start()
    return Node(settings).run()


if __name__ == "__main__":
    sys.exit(main())
