"""Selection of instances that serve callers."""

import threading

from fescueflow.configuration import ConfigurationStore
from fescueflow.core import Clock, ListState, choose_candidate
from fescueflow.membership import ListService, Member, MembershipService
from fescueflow.platform import ListedUpstream
from fescueflow.rights import RightsService
from fescueflow.schema import MemberState, Settings


class ServingInstances:
    """Chooses instances for callers and tells whether this one still serves.

    Notes
    -----
    An instance that is leaving, or whose zone is withdrawn, keeps serving for
    ``address_keep_ms``, the time that callers cache an address, counted from when
    it noticed the change. An instance that started in this state was never
    advertised to callers and serves none.

    After a pause of the process, the instance takes no calls until its
    configuration is current. If it was withdrawn during the pause, it does not
    serve again, because the other instances stopped advertising it long ago. The
    time is therefore counted from the moment of the change only if the instance
    has served, unpaused, since its last pause.
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
        """Return whether this instance is leaving or its zone is withdrawn."""
        own = self._membership.get_own_member()
        return (
            own.state is MemberState.LEAVING
            or self._settings.availability_zone in self._get_withdrawn()
            or self._settings.instance_id in self._get_listed_leaving()
        )

    def must_redirect(self) -> bool:
        """Return whether callers must now use another instance."""
        leaving_since = self._update_state()
        if leaving_since is None:
            return False
        keep_s = self._settings.address_keep_ms / 1000
        return self._clock.monotonic() - leaving_since >= keep_s

    def choose_instance(
        self, upstream: ListedUpstream | None, key: str
    ) -> Member | None:
        """Return the instance for a caller, ``None`` if no instance serves callers.

        Parameters
        ----------
        upstream : ListedUpstream or None
            First candidate of the placement. Its home is chosen if it serves
            callers, else an instance in the upstream's zone, in its region, or
            anywhere, in this order.
        key : str
            Key of the rendezvous hash that spreads callers over instances.
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
        """Update the state and return the time at which the instance began to leave.

        Minus infinity during a pause, or if callers were no longer sent here when it
        began to leave; ``None`` if it is not leaving.
        """
        # The end of a pause makes the configuration current. The pause is read first,
        # so that a withdrawal that arrives with its end counts as part of the pause.
        recovering = self._rights.is_recovering()
        leaving, now = self.is_leaving(), self._clock.monotonic()
        with self._lock:
            if leaving and self._leaving_since is None:
                was_advertised = self._was_advertised() and not recovering
                self._leaving_since = now if was_advertised else float("-inf")
            elif not leaving:
                self._leaving_since = None
                if not recovering and self._store.get() is not None:
                    self._last_served_at = now
            return float("-inf") if recovering else self._leaving_since

    def _was_advertised(self) -> bool:
        """Return whether callers may have been sent here since the last pause."""
        last_pause_end = self._rights.get_last_pause_end()
        last_served_at = self._last_served_at
        return last_served_at is not None and (
            last_pause_end is None or last_served_at > last_pause_end
        )

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
    """Return the member with the highest rendezvous-hash score for a key."""
    by_instance: dict[str, Member] = {member.instance: member for member in members}
    chosen = choose_candidate(key, list(by_instance))
    return by_instance[chosen] if chosen is not None else None


__all__ = ["ServingInstances"]
