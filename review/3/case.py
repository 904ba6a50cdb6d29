"""Servers crash under one of the many parts of long chats' prompts.

``CHAT_PARTS`` changes the number of parts of a chat.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import poison
import standins as s


def check(record):
    """Run the case."""
    chat_parts = int(os.environ.get("CHAT_PARTS", "120"))
    traffic = poison.Traffic(chat_parts=chat_parts, is_faulty=s.is_troubled())
    return poison.Case(record, traffic).run()


if __name__ == "__main__":
    sys.exit(s.run_case(check, Path(__file__).resolve().parent))
