"""Ranking of the upstreams of a group, and placement tokens."""

import json
from collections.abc import Sequence

import xxhash

from fescueflow.configuration import (
    Affinity,
    ConfigurationStore,
    Customer,
    accepts_new_requests,
)
from fescueflow.core import (
    Clock,
    GroupId,
    UpstreamId,
    choose_candidate,
    rank_candidates,
)
from fescueflow.membership import ListService
from fescueflow.metrics import Metrics
from fescueflow.platform import ListedUpstream
from fescueflow.transport import Keyring

TOKEN_LIFETIME_S = 1800
TOKEN_PURPOSE = "placement"  # noqa: S105
TOKEN_MAX_LENGTH = 512  # characters


class PlacementService:
    """Ranks the upstreams for a request and issues placement tokens.

    Parameters
    ----------
    store : ConfigurationStore
    list_service : ListService
    keyring : Keyring
    clock : Clock
    metrics : Metrics, optional
        Counts the tokens that are ignored.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        list_service: ListService,
        keyring: Keyring,
        clock: Clock,
        metrics: Metrics | None = None,
    ) -> None:
        self._store = store
        self._list_service = list_service
        self._keyring = keyring
        self._clock = clock
        self._metrics = metrics or Metrics()

    def rank(
        self,
        customer: Customer,
        group: GroupId,
        affinity_key: str,
        token: str | None,
    ) -> list[ListedUpstream]:
        """Return the candidates of a group, the preferred one first.

        Parameters
        ----------
        customer : Customer
        group : GroupId
        affinity_key : str
        token : str or None
            Placement token. The upstream that it names is ranked first if it is a
            candidate.

        Returns
        -------
        list of ListedUpstream

        Notes
        -----
        If a candidate refuses the request, the caller tries the next one. This is the
        order of consistent hashing with bounded loads: Mirrokni, Thorup and
        Zadimoghaddam, SODA 2018.
        """
        candidates = {u.id: u for u in self._list_candidates(customer, group)}
        names: list[str] = rank_candidates(affinity_key, list(candidates))
        preferred = self._read_token(token, affinity_key) if token else None
        if preferred in candidates:
            names = [preferred, *(name for name in names if name != preferred)]
        return [candidates[UpstreamId(name)] for name in names]

    def find_departing_upstream(
        self,
        customer: Customer,
        group: GroupId,
        affinity_key: str,
        token: str | None,
        leaving: Sequence[ListedUpstream],
    ) -> ListedUpstream | None:
        """Return the leaving upstream that would have come first in ``rank``.

        Parameters
        ----------
        customer : Customer
        group : GroupId
        affinity_key : str
        token : str or None
        leaving : sequence of ListedUpstream
            Upstreams of the group that are leaving service.

        Returns
        -------
        ListedUpstream or None
            ``None`` if an upstream in service would come first.
        """
        departing = {
            u.id: u for u in leaving if not customer.zones or u.zone in customer.zones
        }
        names = [str(u.id) for u in self._list_candidates(customer, group)]
        names = [*(name for name in names if name not in departing), *departing]
        preferred = self._read_token(token, affinity_key) if token else None
        if preferred not in names:
            preferred = choose_candidate(affinity_key, names)
        return departing.get(UpstreamId(preferred or ""))

    def _list_candidates(
        self, customer: Customer, group: GroupId
    ) -> list[ListedUpstream]:
        configuration = self._store.get()
        snapshot = self._list_service.get_snapshot()
        if configuration is None or snapshot is None:
            return []
        return [
            u
            for u in snapshot.upstreams
            if u.group == group
            and accepts_new_requests(u, configuration)
            and (not customer.zones or u.zone in customer.zones)
        ]

    def make_token(self, upstream_id: UpstreamId, affinity_key: str) -> str:
        """Return a token that makes an upstream preferred for an affinity key."""
        expires_at = int(self._clock.wall_time()) + TOKEN_LIFETIME_S
        text = f"{upstream_id}~{hash_key(affinity_key)}~{expires_at}"
        return f"{text}~{self._keyring.sign_text(TOKEN_PURPOSE, text)}"

    def _read_token(self, token: str, affinity_key: str) -> str | None:
        """Return the upstream of a valid token; count and ignore an invalid one."""
        text, _, mac = token.rpartition("~")
        parts = text.rsplit("~", 2)
        if len(token) > TOKEN_MAX_LENGTH or len(parts) != 3 or not token.isascii():
            return self._count_ignored("malformed")
        if not self._keyring.verify_text(TOKEN_PURPOSE, text, mac):
            return self._count_ignored("forged")
        upstream, key_hash, expires_at = parts
        if int(expires_at) < self._clock.wall_time():
            return self._count_ignored("expired")
        if key_hash != hash_key(affinity_key):
            return self._count_ignored("other_key")
        return upstream

    def _count_ignored(self, reason: str) -> str | None:
        self._metrics.count("placement_tokens_ignored", reason=reason)
        return None

    def choose_affinity_key(
        self,
        customer: Customer,
        affinity: str | None,
        chat: str | None,
        body: bytes,
    ) -> str:
        """Return the key by which a request is assigned to an upstream.

        Parameters
        ----------
        customer : Customer
            Its ``affinity`` determines which of the two headers takes precedence.
        affinity : str or None
            Header that identifies a long prompt shared by many chats.
        chat : str or None
            Header that identifies the chat.
        body : bytes
            Its first message determines the key if both headers are missing.

        Returns
        -------
        str
        """
        first, second = ("brief", affinity), ("chat", chat)
        if customer.affinity is Affinity.CHAT:
            first, second = second, first
        for kind, value in (first, second):
            if value:
                return f"{customer.id}/{kind}/{value}"
        return f"{customer.id}/message/{hash_first_message(body)}"


def hash_key(affinity_key: str) -> str:
    """Return the hash of an affinity key that a token contains."""
    return xxhash.xxh64_hexdigest(affinity_key)


def hash_first_message(body: bytes) -> str:
    """Return a hash of the first message, or of the whole body if there is none."""
    try:
        first = json.loads(body)["messages"][0]
        return xxhash.xxh64_hexdigest(json.dumps(first, sort_keys=True))
    except (ValueError, KeyError, IndexError, TypeError):
        return xxhash.xxh64_hexdigest(body)


__all__ = ["PlacementService"]
