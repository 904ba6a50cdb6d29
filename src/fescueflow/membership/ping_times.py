"""Send times of this instance's answered pings."""

from collections import OrderedDict

UNANSWERED_PINGS_MAX = 256


class PingTimes:
    """Send times of pings, by sequence.

    Not thread-safe: callers hold the membership service's lock.

    Attributes
    ----------
    answered_ping_sent_at : float
        Latest send time of a ping that was answered, in monotonic seconds;
        minus infinity before the first answer.

    Notes
    -----
    All datagrams are read from one socket in order of arrival. Once the answer to
    a ping has been read, every datagram that arrived before that ping was sent has
    been read too.
    """

    def __init__(self) -> None:
        self.answered_ping_sent_at = float("-inf")
        self._sent_at: OrderedDict[int, float] = OrderedDict()

    def add_sent(self, sequence: int, now: float) -> None:
        """Record a ping; called before it is sent."""
        self._sent_at[sequence] = now
        if len(self._sent_at) > UNANSWERED_PINGS_MAX:
            self._sent_at.popitem(last=False)

    def add_answer(self, sequence: int) -> None:
        """Record the answer to a ping."""
        sent_at = self._sent_at.pop(sequence, float("-inf"))
        self.answered_ping_sent_at = max(self.answered_ping_sent_at, sent_at)


__all__ = ["PingTimes"]
