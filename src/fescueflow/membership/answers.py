"""When the own pings that were answered had been sent."""

from collections import OrderedDict

PENDING_MAX = 256


class PingTimes:
    """Times of the latest own pings; the membership service's lock is held.

    Attributes
    ----------
    answered_at : float
        When the latest answered ping was sent, in monotonic seconds.

    Notes
    -----
    All datagrams come through one socket in order. So when the answer to a ping
    is read, everything that had arrived before that ping was sent has been read.
    """

    def __init__(self) -> None:
        self.answered_at = float("-inf")
        self._sent: OrderedDict[int, float] = OrderedDict()

    def note_sent(self, sequence: int, now: float) -> None:
        """Note a ping before it is sent."""
        self._sent[sequence] = now
        if len(self._sent) > PENDING_MAX:
            self._sent.popitem(last=False)

    def note_answer(self, sequence: int) -> None:
        """Note the answer to a ping."""
        sent_at = self._sent.pop(sequence, float("-inf"))
        self.answered_at = max(self.answered_at, sent_at)


__all__ = ["PingTimes"]
