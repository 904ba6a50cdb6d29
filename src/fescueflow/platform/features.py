"""Optional mechanisms that a deployment switches on or off."""

from collections.abc import Iterator, Mapping
from enum import Enum

# Environment variable with the names of the mechanisms in use, separated by commas; all
# are in use without it.
FEATURES_VARIABLE = "FESCUEFLOW_FEATURES"


class Feature(Enum):
    """A mechanism that can be switched off."""

    # Permits of a coordinator for services with few slots.
    PERMITS = "permits"
    # Speeds of upstreams in the cost of placements.
    SPEEDS = "speeds"
    # Step by step use of upstreams that start or recover.
    RAMPS = "ramps"
    # Copy sources that are named to presumed holders of a prefix.
    SECOND_SOURCES = "second-sources"


ALL_FEATURES = frozenset(Feature)


def read_features(environment: Mapping[str, str]) -> frozenset[Feature]:
    """Return the mechanisms in use.

    Raises
    ------
    ValueError
        If a name is unknown.
    """
    text = environment.get(FEATURES_VARIABLE)
    if text is None:
        return ALL_FEATURES
    return frozenset(Feature(name) for name in iterate_names(text))


def iterate_names(text: str) -> Iterator[str]:
    """Yield the names of a list that is separated by commas."""
    return (name.strip() for name in text.split(",") if name.strip())


__all__ = ["ALL_FEATURES", "FEATURES_VARIABLE", "Feature", "read_features"]
