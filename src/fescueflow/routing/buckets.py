"""Token buckets for rates that instances share."""

from fescueflow.core import UpstreamId, score_candidate


class TokenBuckets:
    """One token bucket for each upstream; not thread-safe.

    Parameters
    ----------
    name : str
        Name of this instance. It determines the initial tokens, so that the first
        requests of a fleet spread over the time in which each instance may send one.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        # Tokens of each upstream and when they were counted.
        self._tokens: dict[UpstreamId, tuple[float, float]] = {}

    def fill(
        self, upstream: UpstreamId, rate: float, depth: float, now: float
    ) -> float:
        """Add the tokens since the last call; return how many there are now.

        Parameters
        ----------
        upstream : UpstreamId
        rate : float
            Tokens a second.
        depth : float
            Most tokens that are kept.
        now : float
        """
        known = self._tokens.get(upstream)
        left, counted_at = known or (self._compute_initial(upstream), now)
        left = min(depth, left + max(0.0, now - counted_at) * rate)
        self._tokens[upstream] = (left, now)
        return left

    def pause(self, upstream: UpstreamId, now: float) -> None:
        """Add no tokens since the last call, and keep the initial ones at most.

        Notes
        -----
        A dropped bucket would have the initial tokens again after each pause.
        """
        if known := self._tokens.get(upstream):
            left = min(known[0], self._compute_initial(upstream))
            self._tokens[upstream] = (left, now)

    def take(self, upstream: UpstreamId) -> None:
        """Take one token of a bucket that was filled."""
        left, counted_at = self._tokens[upstream]
        self._tokens[upstream] = (left - 1.0, counted_at)

    def get_idle_s(self, upstream: UpstreamId, now: float) -> float | None:
        """Return the seconds since a bucket was filled, ``None`` if there is none."""
        known = self._tokens.get(upstream)
        return None if known is None else now - known[1]

    def start(self, upstream: UpstreamId, tokens: float, now: float) -> None:
        """Begin a bucket with so many tokens."""
        self._tokens[upstream] = (tokens, now)

    def drop(self, upstream: UpstreamId) -> None:
        """Drop a bucket; the next one begins with the initial tokens."""
        self._tokens.pop(upstream, None)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Drop all buckets except those of the kept upstreams."""
        for upstream in self._tokens.keys() - kept:
            del self._tokens[upstream]

    def _compute_initial(self, upstream: UpstreamId) -> float:
        """Return an initial token count, 0 to 1, that differs between instances."""
        return score_candidate(self._name, str(upstream)) / 2**64


__all__ = ["TokenBuckets"]
