"""Address endpoint: the instance that a caller uses, and request ids."""

import secrets
from collections.abc import Mapping
from typing import Any

from fescueflow.api.serving_instances import ServingInstances
from fescueflow.api.wsgi import parse_integer
from fescueflow.configuration import ConfigurationStore, Customer
from fescueflow.core import (
    CustomerId,
    GroupId,
    InvalidRequest,
    Moved,
    NotReady,
    UnknownCustomer,
    UnknownModel,
)
from fescueflow.membership import Member
from fescueflow.placement import PlacementService
from fescueflow.requests import RequestId, RequestService
from fescueflow.schema import Settings

REQUEST_IDS_MAX = 100


class AddressService:
    """Tells callers which instance to send their requests to."""

    def __init__(
        self,
        *,
        settings: Settings,
        serving_instances: ServingInstances,
        requests: RequestService,
        placement: PlacementService,
        store: ConfigurationStore,
    ) -> None:
        self._settings = settings
        self._serving_instances = serving_instances
        self._requests = requests
        self._placement = placement
        self._store = store

    def answer(self, query: Mapping[str, str]) -> dict[str, Any]:
        """Return the response as a JSON object.

        Parameters
        ----------
        query : mapping of str to str
            Query parameters: ``customer``, one of ``model`` and ``service``, and
            optionally ``affinity``, ``chat``, ``ids`` and ``placement``.

        Raises
        ------
        RequestError
            If the query is invalid or no instance serves callers.
        """
        configuration = self._store.get()
        if configuration is None:
            raise NotReady("no configuration is in force")
        customer = configuration.customers.get(CustomerId(query.get("customer", "")))
        if customer is None:
            raise UnknownCustomer("the customer is not configured")
        count = min(REQUEST_IDS_MAX, parse_integer(query.get("ids", "0"), "ids"))
        group = find_group(customer, query)
        affinity, chat = query.get("affinity"), query.get("chat")
        # A random key spreads callers without affinity: a fixed key would send all
        # callers of a service to one instance.
        key = secrets.token_hex(8)
        if affinity or chat:
            key = self._placement.choose_affinity_key(customer, affinity, chat, b"")
        ranked = self._placement.rank(customer, group, key, query.get("placement"))
        upstream = ranked[0] if ranked else None
        member = self._serving_instances.choose_instance(upstream, key)
        if member is None:
            raise NotReady("no instance serves callers")
        token = None
        if upstream is not None and "model" in query and (affinity or chat):
            token = self._placement.make_token(upstream.id, key)
        return {
            "address": member.http_address,
            "instance": member.instance,
            "keep_for_ms": self._settings.address_keep_ms,
            "placement": token,
            "request_ids": self._mint_request_ids(member, count),
        }

    def _mint_request_ids(self, member: Member, count: int) -> list[RequestId]:
        if not count:
            return []
        try:
            return self._requests.mint_at(member, count)
        except Moved:
            # The instance named here assigns the id of the caller's next request.
            return []


def find_group(customer: Customer, query: Mapping[str, str]) -> GroupId:
    """Return the group of the model or service that a query names.

    Raises
    ------
    InvalidRequest, UnknownModel
    """
    if ("model" in query) == ("service" in query):
        raise InvalidRequest(
            "exactly one of the parameters model and service is required"
        )
    if "model" in query:
        model = customer.models.get(query["model"])
        if model is not None:
            return model.group
    else:
        service = customer.services.get(query["service"])
        if service is not None:
            return service.group
    raise UnknownModel("the customer has no such model or service")


__all__ = ["AddressService"]
