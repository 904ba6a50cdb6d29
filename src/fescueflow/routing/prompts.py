"""Prompts as the headers of a request describe them."""

from dataclasses import dataclass

import xxhash

from fescueflow.routing.model import PartId

# Longest name of a prompt part that is kept as it is, several times that of a digest.
PART_NAME_CHARS_MAX = 64


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a prompt in tokens and the key of its shared prefix.

    ``shared_parts`` are the parts that other prompts may have too, in order.
    """

    key: str = ""
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    shared_parts: tuple[PartId, ...] = ()


def make_part_id(name: str) -> PartId:
    """Return the id of a prompt part; a digest replaces an unusual name.

    Notes
    -----
    Callers choose the names. Instances refuse reports with names that are long or not
    printable, and what is kept of a crash has a limited size.
    """
    name = name.strip()
    if len(name) <= PART_NAME_CHARS_MAX and name.isprintable():
        return PartId(name)
    digest = xxhash.xxh3_128_hexdigest(name.encode(errors="surrogatepass"))
    return PartId(f"digest-{digest}")


def parse_prompt(parts: str, token_counts: str) -> Prompt:
    """Parse the request headers that describe the prompt.

    Parameters
    ----------
    parts : str
        ``ID:TOKENS`` entries separated by commas; the last one is not shared.
    token_counts : str
        Tokens of the prompt and most tokens of the answer, separated by a comma.

    Raises
    ------
    ValueError
        If a size or count is not an integer.
    """
    counts = [int(text) for text in token_counts.split(",")] if token_counts else []
    total = counts[0] if counts else 0
    output = counts[1] if len(counts) > 1 else 0
    entries = [entry.rpartition(":") for entry in parts.split(",") if entry]
    sizes = [int(size) for _, _, size in entries]
    shared = sum(sizes[:-1])
    shared_parts = tuple(make_part_id(name) for name, _, _ in entries[:-1])
    key = shared_parts[-1] if shared_parts else ""
    return Prompt(key, shared, max(0, total - shared), output, shared_parts)


__all__ = ["Prompt", "parse_prompt"]
