"""Invariants that are checked at run time."""

from fescueflow.invariants.checks import Invariant, InvariantBreach, Invariants

__all__ = ["Invariant", "InvariantBreach", "Invariants"]
