"""The path between callers and upstreams on the platform.

Input, output and tasks; what they decide is in ``fescueflow.routing``.
"""

from fescueflow.gateway.process import Gateway, run

__all__ = ["Gateway", "run"]
