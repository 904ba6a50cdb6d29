"""Application of the store's entries to the local state."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import logbook

from fescueflow.core import Clock, UpstreamId, ZoneId
from fescueflow.gateway.platform_state import PlatformState
from fescueflow.platform import (
    OPERATOR_PREFIX,
    TABLE_KEY,
    UPSTREAMS_PREFIX,
    WITHDRAWN_PREFIX,
    MalformedResponse,
    StoreItem,
    parse_table,
    parse_upstream,
)

log = logbook.Logger("store")


class UnreadableEntries(Exception):
    """Raised after all readable entries were applied.

    Parameters
    ----------
    keys : list of str
        Keys of the others.
    """

    def __init__(self, keys: list[str]) -> None:
        super().__init__(f"unreadable entries: {keys}")
        self.keys = keys


class ChangeHandler(ABC):
    """Applies the store's entries below one prefix to the local state."""

    prefix: str

    @abstractmethod
    def replace_all(self, items: Iterable[StoreItem]) -> None:
        """Apply a complete result of a read.

        Raises
        ------
        UnreadableEntries
        """

    @abstractmethod
    def apply(self, item: StoreItem) -> None:
        """Apply one change.

        Raises
        ------
        UnreadableEntries
        """


class UpstreamChangeHandler(ChangeHandler):
    """Applies changes of the upstreams.

    Parameters
    ----------
    platform_state : PlatformState
    clock : Clock
    """

    prefix = UPSTREAMS_PREFIX

    def __init__(self, platform_state: PlatformState, clock: Clock) -> None:
        self._platform_state = platform_state
        self._clock = clock

    def replace_all(self, items: Iterable[StoreItem]) -> None:
        """Apply a complete result of a read."""
        now = self._clock.monotonic()
        found, unreadable = [], []
        for item in items:
            try:
                found.append(parse_upstream(item.key, item.value or b"", now))
            except MalformedResponse as error:
                log.warning("entry {} ignored: {}", item.key, error)
                unreadable.append(item.key)
        self._platform_state.replace_upstreams(found, now)
        log.info("upstreams read: {}", len(found))
        if unreadable:
            raise UnreadableEntries(unreadable)

    def apply(self, item: StoreItem) -> None:
        """Apply one change."""
        now = self._clock.monotonic()
        name = UpstreamId(item.key.removeprefix(UPSTREAMS_PREFIX))
        if item.value is None:
            at_once = self._platform_state.remove_upstream(name, now)
            log.info(
                "upstream removed", extra={"upstream": str(name), "at_once": at_once}
            )
            return
        try:
            upstream = parse_upstream(item.key, item.value, now)
        except MalformedResponse as error:
            # Without a readable entry, the upstream must not be used.
            self._platform_state.remove_upstream(name, now)
            log.warning("entry {} ignored: {}", item.key, error)
            raise UnreadableEntries([item.key]) from error
        if self._platform_state.is_gone(upstream):
            log.info("entry of an upstream that is gone", extra={"upstream": str(name)})
            return
        self._platform_state.put_upstream(upstream)
        log.info(
            "upstream listed",
            extra={
                "upstream": str(name),
                "state": upstream.state.value,
                "zone": str(upstream.zone),
                "cold_ms": round(max(0.0, upstream.cold_until - now) * 1000),
            },
        )


class OperatorChangeHandler(ChangeHandler):
    """Applies changes of the configuration and of the withdrawn zones.

    Parameters
    ----------
    platform_state : PlatformState
    clock : Clock
    """

    prefix = OPERATOR_PREFIX

    def __init__(self, platform_state: PlatformState, clock: Clock) -> None:
        self._platform_state = platform_state
        self._clock = clock

    def replace_all(self, items: Iterable[StoreItem]) -> None:
        """Apply a complete result of a read."""
        listed = list(items)
        zones = {
            ZoneId(item.key.removeprefix(WITHDRAWN_PREFIX))
            for item in listed
            if item.key.startswith(WITHDRAWN_PREFIX)
        }
        self._set_withdrawn_zones(zones)
        for item in listed:
            if item.key == TABLE_KEY:
                self.apply(item)

    def apply(self, item: StoreItem) -> None:
        """Apply one change."""
        if item.key.startswith(WITHDRAWN_PREFIX):
            zone = ZoneId(item.key.removeprefix(WITHDRAWN_PREFIX))
            listed = self._platform_state.get_listed_zones()
            change = listed - {zone} if item.value is None else listed | {zone}
            self._set_withdrawn_zones(change, [zone])
        elif item.key == TABLE_KEY and item.value is not None:
            try:
                table = parse_table(item.value)
            except MalformedResponse as error:
                log.error("configuration refused, keeping the last one: {}", error)
                raise UnreadableEntries([item.key]) from error
            accepted = self._platform_state.accept_table(table)
            log.info("configuration {} in force: {}", table.version, accepted)

    def _set_withdrawn_zones(
        self, zones: Iterable[ZoneId], written: Iterable[ZoneId] = ()
    ) -> None:
        before = self._platform_state.get_withdrawn_zones()
        now = self._clock.monotonic()
        self._platform_state.set_withdrawn_zones(zones, now, written)
        after = self._platform_state.get_withdrawn_zones()
        if after != before:
            log.info("withdrawn zones: {}", sorted(after))


__all__ = [
    "ChangeHandler",
    "OperatorChangeHandler",
    "UnreadableEntries",
    "UpstreamChangeHandler",
]
