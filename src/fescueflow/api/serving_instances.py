"""Whether this instance serves callers, and which others do."""

import threading

from fescueflow.configuration import ConfigurationStore
from fescueflow.core import Clock, ListState, choose_candidate
from fescueflow.membership import ListService, Member, MembershipService
from fescueflow.platform import ListedUpstream
from fescueflow.rights import RightsService
from fescueflow.schema import MemberState, Settings


class ServingInstances:
    """Instances that callers may be sent to, and the state of this one.

    Notes
    -----
    An instance that leaves, or whose zone is withdrawn, goes on serving for the
    time that callers keep an address, counted from when it noticed. One that
    started in this state was never named to callers and serves none. After a
    pause it takes no calls until its configuration is current, and does not serve
    on if it was withdrawn meanwhile: others stopped naming it long ago. So what it
    notices counts from now only if it has served, unpaused, since its last pause.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        membership: MembershipService,
        list_service: ListService,
        store: ConfigurationStore,
        rights: RightsService,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._list_service = list_service
        self._store = store
        self._rights = rights
        self._clock = clock
        self._lock = threading.Lock()
        self._leaving_since: float | None = None
        self._last_served_at: float | None = None
        membership.subscribe(self._handle_change)
        list_service.subscribe(self._handle_change)
        store.subscribe(self._handle_change)
        self._update_state()

    def is_leaving(self) -> bool:
        """Return whether this instance leaves or its zone is withdrawn."""
        own = self._membership.get_own()
        return (
            own.state is MemberState.LEAVING
            or self._settings.availability_zone in self._get_withdrawn()
            or self._settings.instance_id in self._get_listed_leaving()
        )

    def must_redirect(self) -> bool:
        """Return whether callers must use another instance by now."""
        leaving_since = self._update_state()
        if leaving_since is None:
            return False
        keep_s = self._settings.address_keep_ms / 1000
        return self._clock.monotonic() - leaving_since >= keep_s

    def choose_instance(
        self, upstream: ListedUpstream | None, key: str
    ) -> Member | None:
        """Return the instance for a caller.

        Parameters
        ----------
        upstream : ListedUpstream or None
            The first candidate; its home is used if it serves callers, else an
            instance near the upstream.
        key : str
            Spreads callers over instances.
        """
        serving = {member.instance: member for member in self._get_serving_members()}
        if upstream is not None:
            home = self._rights.choose_home(upstream)
            if home is not None and home.instance in serving:
                return serving[home.instance]
            near = [m for m in serving.values() if m.zone == upstream.zone]
            near = near or [m for m in serving.values() if m.region == upstream.region]
            return choose_member(key, near or list(serving.values()))
        return choose_member(key, list(serving.values()))

    def choose_redirect_address(self, key: str) -> str | None:
        """Return the address of another instance that serves callers."""
        others = [
            member
            for member in self._get_serving_members()
            if member.instance != self._settings.instance_id
        ]
        chosen = choose_member(key, others)
        return chosen.http_address if chosen else None

    def _handle_change(self, *changed: object) -> None:
        self._update_state()

    def _update_state(self) -> float | None:
        """Return since when callers are to go elsewhere, ``None`` if they are not."""
        # The end of a pause makes the configuration current, so the pause is asked
        # about first: its end and a change that comes with it are then one.
        paused = self._rights.is_paused()
        leaving, now = self.is_leaving(), self._clock.monotonic()
        with self._lock:
            if leaving and self._leaving_since is None:
                was_advertised = self._was_advertised() and not paused
                self._leaving_since = now if was_advertised else float("-inf")
            elif not leaving:
                self._leaving_since = None
                if not paused and self._store.get() is not None:
                    self._last_served_at = now
            return float("-inf") if paused else self._leaving_since

    def _was_advertised(self) -> bool:
        """Return whether callers may have been sent here since the last pause."""
        pause = self._rights.get_last_pause()
        last_served_at = self._last_served_at
        return last_served_at is not None and (pause is None or last_served_at > pause)

    def _get_serving_members(self) -> list[Member]:
        withdrawn, leaving = self._get_withdrawn(), self._get_listed_leaving()
        return [
            member
            for member in self._membership.get_live()
            if member.state is MemberState.LIVE
            and member.zone not in withdrawn
            and member.instance not in leaving
        ]

    def _get_withdrawn(self) -> frozenset[str]:
        configuration = self._store.get()
        return frozenset(configuration.withdrawn) if configuration else frozenset()

    def _get_listed_leaving(self) -> set[str]:
        snapshot = self._list_service.get_snapshot()
        instances = snapshot.instances if snapshot else ()
        return {i.id for i in instances if i.state is ListState.LEAVING}


def choose_member(key: str, members: list[Member]) -> Member | None:
    """Return the member with the highest rendezvous score for a key."""
    by_instance: dict[str, Member] = {member.instance: member for member in members}
    chosen = choose_candidate(key, list(by_instance))
    return by_instance[chosen] if chosen is not None else None


__all__ = ["ServingInstances"]
