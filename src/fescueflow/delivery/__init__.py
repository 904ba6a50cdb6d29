"""Dispatch of requests to upstreams, with retries, streaming and cache imports."""

from fescueflow.delivery.budget import RetryBudget
from fescueflow.delivery.calls import CallerRequest, Response
from fescueflow.delivery.dispatcher import Dispatcher, make_executor
from fescueflow.delivery.executor import UpstreamExecutor
from fescueflow.delivery.imports import CacheImporter
from fescueflow.delivery.streams import StreamBody, StreamTruncated
from fescueflow.delivery.transfers import PrefixTransfers

__all__ = [
    "CacheImporter",
    "CallerRequest",
    "Dispatcher",
    "PrefixTransfers",
    "Response",
    "RetryBudget",
    "StreamBody",
    "StreamTruncated",
    "UpstreamExecutor",
    "make_executor",
]
