#!/bin/sh
# The stand-ins need nothing but Python's standard library; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins.py poison.py */*.py
