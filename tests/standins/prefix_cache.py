"""Prompt prefix cache of an engine stand-in, limited in tokens."""

import hashlib
from collections import OrderedDict

from tests.standins.content import count_prompt_tokens


def hash_prefixes(messages):
    """Yield (hash of the messages up to this one, tokens of this one)."""
    state = hashlib.sha256()
    for message in messages:
        text = str(message.get("content", ""))
        state.update(f"{message.get('role')}\0{text}\0".encode())
        yield state.copy().digest(), count_prompt_tokens(text)


class PrefixCache:
    """LRU cache of message prefixes, stored and evicted by cache key.

    Parameters
    ----------
    capacity : int
        Limit in tokens over all keys. The most recently used key stays cached
        even if it exceeds the limit alone.

    Notes
    -----
    Not thread-safe; the engine calls it with its state lock held.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.size = 0
        self._entries = OrderedDict()

    def match(self, key, messages):
        """Return (cached tokens, total tokens) of a prompt."""
        entry = self._entries.get(key, {})
        cached = total = 0
        matching = True
        for digest, tokens in hash_prefixes(messages):
            total += tokens
            matching = matching and digest in entry
            cached += tokens if matching else 0
        return cached, total

    def store(self, key, messages):
        """Cache all prefixes of a prompt and return the evicted keys."""
        entry = self._entries.setdefault(key, {})
        self._entries.move_to_end(key)
        for digest, tokens in hash_prefixes(messages):
            self.size += tokens if digest not in entry else 0
            entry.setdefault(digest, tokens)
        return self._evict()

    def export_prefixes(self, key):
        """Return the prefixes of a key as JSON values; empty if none are cached."""
        entry = self._entries.get(key, {})
        return [[digest.hex(), tokens] for digest, tokens in entry.items()]

    def import_prefixes(self, key, prefixes):
        """Cache the exported prefixes of a key and return the evicted keys."""
        entry = self._entries.setdefault(key, {})
        self._entries.move_to_end(key)
        for text, tokens in prefixes:
            digest = bytes.fromhex(text)
            self.size += tokens if digest not in entry else 0
            entry.setdefault(digest, tokens)
        return self._evict()

    def _evict(self):
        evicted = []
        while self.size > self.capacity and len(self._entries) > 1:
            old_key, old = self._entries.popitem(last=False)
            self.size -= sum(old.values())
            evicted.append(old_key)
        return evicted

    def clear(self):
        self._entries.clear()
        self.size = 0
