"""Payments of ordinary callers after a crowd has sent many small requests at once."""

import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bed"))

from payments import Play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Callers at each instance, below the 3,000 connections that it takes.
CROWD = 800
SMALL = b"GET / HTTP/1.1\r\n\r\n"
# Without trouble, each caller sends one request.
REQUESTS = 455 if TROUBLE else 1
# Fewer requests than this are no sign of more than half of them.
OPEN_MIN = 8

play = Play(HERE, CROWD, SMALL * REQUESTS, last_s=18.0, wait_s=0.0)
if not play.run():
    sys.exit(2)
play.describe()
open_, late = play.list_late()
is_broken = len(open_) >= OPEN_MIN and len(late) > len(open_) / 2
play.record.say("CONFIG is broken" if is_broken else "CONFIG holds")
sys.exit(1 if is_broken else 0)
