"""Run-time invariants."""

from fescueflow.invariants.checks import Invariant, InvariantBreach, Invariants

__all__ = ["Invariant", "InvariantBreach", "Invariants"]
