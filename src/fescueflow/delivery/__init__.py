"""Dispatch of requests to upstreams, with retries, streaming and cache imports."""

from fescueflow.delivery.budget import RetryBudget
from fescueflow.delivery.calls import Answer, Call
from fescueflow.delivery.dispatcher import Dispatcher, make_executor
from fescueflow.delivery.executor import UpstreamExecutor
from fescueflow.delivery.imports import CacheImporter
from fescueflow.delivery.streams import StreamBody, StreamCut
from fescueflow.delivery.transfers import PrefixTransfers

__all__ = [
    "Answer",
    "CacheImporter",
    "Call",
    "Dispatcher",
    "PrefixTransfers",
    "RetryBudget",
    "StreamBody",
    "StreamCut",
    "UpstreamExecutor",
    "make_executor",
]
