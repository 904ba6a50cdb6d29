"""Deterministic requests and answers, so that a caller can check every byte.

The last message of a prompt names the customer, the chat, the turn and the
number of tokens to generate. Engines derive each token from that message and
the token's index, so that an answer resumed on another engine continues
identically.
"""

import hashlib
import json
import re

TOKENS_DEFAULT = 16
CHARACTERS_PER_TOKEN = 4
MESSAGE_PATTERN = re.compile(r"customer=(\S+) chat=(\S+) turn=(\S+) tokens=(\d+)")


def make_message(customer, chat, turn, tokens=TOKENS_DEFAULT, text=""):
    """Return the content of a caller's last message."""
    return f"customer={customer} chat={chat} turn={turn} tokens={tokens} | {text}"


def make_other_message(message):
    """Return a different message whose answer has the same number of tokens."""
    return f"{message} of another request"


def count_answer_tokens(message):
    found = MESSAGE_PATTERN.match(message)
    return int(found[4]) if found else TOKENS_DEFAULT


def make_token(message, index):
    found = MESSAGE_PATTERN.match(message)
    customer, chat = (found[1], found[2]) if found else ("", "")
    seed = f"{customer}\0{chat}\0{message}\0{index}".encode()
    return hashlib.sha256(seed).hexdigest()[:7] + " "


def make_tokens(message, start=0):
    return [make_token(message, i) for i in range(start, count_answer_tokens(message))]


def make_answer(message):
    return "".join(make_tokens(message))


def count_prompt_tokens(text):
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def make_service_answer(method, path, body):
    """Return the response body of a plain service."""
    digest = hashlib.sha256(method.encode() + b"\0" + body).hexdigest()
    return json.dumps({"method": method, "path": path, "digest": digest}).encode()


def matches_service_answer(answer, method, path, body):
    """Return whether a response body belongs to this request.

    The path that the service received may have a prefix, such as
    ``/v1/services/NAME``.
    """
    try:
        actual = json.loads(answer)
        expected = json.loads(make_service_answer(method, path, body))
        return (
            actual["digest"] == expected["digest"]
            and actual["method"] == method
            and actual["path"].split("?")[0].strip("/").endswith(path.strip("/"))
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return False
