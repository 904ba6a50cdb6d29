"""Identifiers, enumerations, errors, clock and random source of all packages."""

from fescueflow.core import addresses, clock, errors, identifiers, states
from fescueflow.core.addresses import *  # noqa: F403
from fescueflow.core.clock import *  # noqa: F403
from fescueflow.core.errors import *  # noqa: F403
from fescueflow.core.identifiers import *  # noqa: F403
from fescueflow.core.states import *  # noqa: F403

__all__ = ["addresses", "clock", "errors", "identifiers", "states"]
__all__ += addresses.__all__ + clock.__all__ + errors.__all__
__all__ += identifiers.__all__ + states.__all__
