"""The product's placement and load bound for simulations, without a fleet."""

from types import SimpleNamespace

from fescueflow.admission.loads import compute_load_bound
from fescueflow.core import ListState, SystemClock
from fescueflow.placement import PlacementService
from fescueflow.platform import ListedUpstream
from fescueflow.transport import Keyring

GROUP = "engines"


class PlacementFixture:
    """``PlacementService`` with a fixed configuration and a list set by the caller."""

    def __init__(self):
        self._snapshot = SimpleNamespace(upstreams=())
        self._live = None
        configuration = SimpleNamespace(leaving=frozenset(), withdrawn=frozenset())
        self._customer = SimpleNamespace(zones=frozenset())
        self._service = PlacementService(
            store=SimpleNamespace(get=lambda: configuration),
            list_service=SimpleNamespace(get_snapshot=lambda: self._snapshot),
            keyring=Keyring("5c" * 32),
            clock=SystemClock(),
        )

    def set_live(self, names):
        if names != self._live:
            self._live = list(names)
            self._snapshot = SimpleNamespace(
                upstreams=tuple(
                    ListedUpstream(name, GROUP, "a", "r", "", ListState.LIVE)
                    for name in names
                )
            )

    def rank(self, key, token):
        ranked = self._service.rank(self._customer, GROUP, key, token)
        return [upstream.id for upstream in ranked]

    def make_token(self, name, key):
        return self._service.make_token(name, key)


__all__ = ["PlacementFixture", "compute_load_bound"]
