"""Usual time to the first event, by service and size of the prompt."""

from fescueflow.routing.model import ServiceId

# Weight of the latest sample in the moving average.
SAMPLE_WEIGHT = 0.1
# Age after which an average is not used any more, in seconds: engines change their
# speed many times a second, and the load of a service within some seconds.
USUAL_AGE_MAX_S = 30.0


class FirstEventTimes:
    """Moving averages for prompts of similar sizes; not thread-safe.

    Notes
    -----
    Sizes are similar if they have as many binary digits.
    """

    def __init__(self) -> None:
        # Average in seconds, and when its latest sample came.
        self._times: dict[tuple[ServiceId, int], tuple[float, float]] = {}

    def record(
        self, service: ServiceId, tokens: int, seconds: float, now: float
    ) -> None:
        """Add a sample; ``tokens`` are those that had to be read."""
        key = (service, tokens.bit_length())
        known = self._times.get(key)
        mean = seconds
        if known is not None and now - known[1] < USUAL_AGE_MAX_S:
            mean = known[0] + SAMPLE_WEIGHT * (seconds - known[0])
        self._times[key] = (mean, now)

    def find(
        self, service: ServiceId, tokens: int, now: float
    ) -> tuple[float, float] | None:
        """Return the usual time and its age in seconds, ``None`` if it is unknown."""
        known = self._times.get((service, tokens.bit_length()))
        if known is None or now - known[1] >= USUAL_AGE_MAX_S:
            return None
        return known[0], now - known[1]


__all__ = ["FirstEventTimes"]
