"""Clients of the platform: instance list and configuration service."""

from fescueflow.platform.clients import (
    ConfigurationClient,
    HttpConfigurationClient,
    HttpInstanceListClient,
    InstanceListClient,
)
from fescueflow.platform.http import Connect, Limits, connect_directly
from fescueflow.platform.records import (
    ListedInstance,
    ListedUpstream,
    ListSnapshot,
    MalformedAnswer,
    parse_list,
    render_list,
)

__all__ = [
    "ConfigurationClient",
    "Connect",
    "HttpConfigurationClient",
    "HttpInstanceListClient",
    "InstanceListClient",
    "Limits",
    "ListSnapshot",
    "ListedInstance",
    "ListedUpstream",
    "MalformedAnswer",
    "connect_directly",
    "parse_list",
    "render_list",
]
