"""HTTP gateway between callers and upstreams on the platform.

This package holds the I/O and the background threads; the decisions are made in
``fescueflow.routing``.
"""

from fescueflow.gateway.process import Gateway, run

__all__ = ["Gateway", "run"]
