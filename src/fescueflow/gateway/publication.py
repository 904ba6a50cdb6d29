"""Which updates of the store an instance sends to others.

Load pattern: one instance of a zone reads the store, the others hear of its changes.
An instance that has read for itself, or that hears of another zone, tells its own zone
only what that may not hear otherwise.
"""

from fescueflow.core import Revision, StoreEra
from fescueflow.gateway.relay import Role, StoreRelay, StoreUpdate
from fescueflow.platform import StoreResult


class UpdatePublisher:
    """Sends updates of the store to the zone and to other zones' readers.

    Parameters
    ----------
    relay : StoreRelay
    """

    def __init__(self, relay: StoreRelay) -> None:
        self._relay = relay

    def publish(
        self,
        result: StoreResult,
        after: Revision | None,
        age_s: float,
        is_fetch: bool,
    ) -> None:
        """Tell the others what was read, unless a reader has told it already.

        Parameters
        ----------
        result : StoreResult
        after : Revision or None
            Revision after which changes were asked for, ``None`` for a complete read.
        age_s : float
            Age of the state.
        is_fetch : bool
            Whether an update had told of these changes.
        """
        is_reader = self._relay.take_over()
        if not is_reader and (is_fetch or not self._relay.is_reader_quiet()):
            return
        self._relay.publish(
            base=result.revision if after is None else after,
            revision=result.revision,
            age_s=age_s,
            items=None if after is None else result.items,
            era=result.era,
        )

    def announce_era(
        self, era: StoreEra, revision: Revision | None, age_s: float
    ) -> None:
        """Tell the others of an era that a response to this instance has named.

        Notes
        -----
        Any instance tells it, once: the reader of the zone may be the last to notice.
        """
        known = Revision(0) if revision is None else revision
        self._relay.publish(
            base=known, revision=known, age_s=age_s, items=None, era=era
        )

    def forward(
        self, update: StoreUpdate, age_s: float, has_advanced: bool, has_failed: bool
    ) -> None:
        """Pass on an update of another zone if the own zone may not hear it otherwise.

        Parameters
        ----------
        update : StoreUpdate
        age_s : float
            Age of the state.
        has_advanced : bool
            Whether the update had changes for this instance.
        has_failed : bool
            Whether this instance's last call of the store failed.

        Notes
        -----
        A reader passes on changes that its own next call will not return any more. The
        instance takes over from a silent reader, whose followers would not read for
        themselves as long as updates of other zones reach them.
        """
        if not self._relay.is_from_other_zone(update):
            return
        is_silent = self._relay.is_zone_silent() and self._relay.take_over()
        is_reader = self._relay.role is Role.READER
        if has_failed or is_silent or (is_reader and has_advanced):
            self._pass_on(update, age_s)

    def forward_era(self, update: StoreUpdate, age_s: float) -> None:
        """Pass on an update of another zone that has told of a higher era.

        Notes
        -----
        Readers need not know each other, so any instance of the zone passes it on, once
        in an era.
        """
        if self._relay.is_from_other_zone(update):
            self._pass_on(update, age_s)

    def _pass_on(self, update: StoreUpdate, age_s: float) -> None:
        self._relay.publish(
            update.base,
            update.revision,
            age_s,
            update.items,
            update.omitted,
            update.era,
        )


__all__ = ["UpdatePublisher"]
